package chiveharness

import (
	"os"
	"os/exec"
	"syscall"
	"time"
)

// A Process is one process of a fleet.
type Process struct {
	Name string

	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
}

func startProcess(name, program, logPath string, args ...string) (*Process, error) {
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = logFile.Close() }()
	p := &Process{Name: name, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	if err := p.cmd.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// Suspend stops the process until Thaw.
func (p *Process) Suspend() {
	p.Signal(syscall.SIGSTOP)
}

// Resume lets a frozen process run on.
func (p *Process) Resume() {
	p.Signal(syscall.SIGCONT)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// PID returns the process's number.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// WaitExit waits for the end of the process. It returns an error where that
// takes too long or the process failed.
func (p *Process) WaitExit(timeout time.Duration) error {
	select {
	case <-p.exited:
	case <-time.After(timeout):
		return Error.New("%s did not end within %v", p.Name, timeout)
	}
	if p.exitErr != nil {
		return Error.New("%s: %v", p.Name, p.exitErr)
	}
	return nil
}
