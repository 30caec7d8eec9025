// Package chiveguard keeps a panic in one task of a process from ending the whole process.
package chiveguard

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// restartPause is the time after which Repeat calls a task again.
const restartPause = time.Second

// panics counts the panics that were recovered.
var panics atomic.Int64

// Panics returns the number of panics that this process has recovered.
func Panics() int64 {
	return panics.Load()
}

// PanicError is a panic that was recovered.
type PanicError struct {
	// Task names what panicked.
	Task string
	// Value is the value of the panic, Stack the stack of its goroutine.
	Value any
	Stack []byte
}

// Error implements error. It has no stack.
func (e *PanicError) Error() string {
	return fmt.Sprintf("%s panicked: %v", e.Task, e.Value)
}

// Call calls f and returns its error, or a *PanicError if f panics. Locks that f releases by
// defer are free afterwards.
func Call(task string, f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			panics.Add(1)
			err = &PanicError{Task: task, Value: v, Stack: debug.Stack()}
		}
	}()
	return f()
}

// Do calls f, and logs a panic of f with its stack. It reports whether f returned.
func Do(logger *log.Logger, task string, f func()) bool {
	err := Call(task, func() error {
		f()
		return nil
	})
	Log(logger, err)
	return err == nil
}

// Go calls f in a new goroutine of the group as Do does.
func Go(group *sync.WaitGroup, logger *log.Logger, task string, f func()) {
	group.Go(func() { Do(logger, task, f) })
}

// Repeat calls f, and calls it again after restartPause whenever it has panicked, until it returns
// or the context ends. It returns the error of f.
func Repeat(ctx context.Context, logger *log.Logger, task string, f func() error) error {
	for {
		err := Call(task, f)
		if !Log(logger, err) {
			return err
		}
		if chiveclock.Sleep(ctx, restartPause) != nil {
			return nil
		}
	}
}

// Log logs an error with its stack if it is a *PanicError, and reports whether it is one.
func Log(logger *log.Logger, err error) bool {
	var p *PanicError
	ok := errors.As(err, &p)
	if ok {
		logger.Error("Task panicked.", "task", p.Task, "panic", p.Value, "stack", string(p.Stack))
	}
	return ok
}
