package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	began  time.Time
	counts map[string]int
	ran    map[string]int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), began: time.Now(), counts: map[string]int{}, ran: map[string]int{}}, nil
}

// event writes an event of a kind about a request or a process.
func (r *record) event(kind, id, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[kind]++
	if kind == "run" {
		r.ran[id]++
	}
	_, _ = fmt.Fprintf(r.out, "%.3f %s %s %s\n", time.Since(r.began).Seconds(), kind, id, detail)
}

// note writes a line and prints it.
func (r *record) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%.3f note %s\n", time.Since(r.began).Seconds(), text)
	fmt.Println(text)
}

// count returns the number of events of a kind.
func (r *record) count(kind string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[kind]
}

// arrived reports whether a runner of the system has run a request.
func (r *record) arrived(id string) bool {
	return r.runs(id) > 0
}

// runs returns how often runners of the system have run a request.
func (r *record) runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
