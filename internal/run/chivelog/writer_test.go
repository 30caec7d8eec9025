package chivelog

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput is an output that blocks until it is freed.
type blockedOutput struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestWriteNeverBlocks writes far more than a stuck output takes.
func TestWriteNeverBlocks(t *testing.T) {
	out := &blockedOutput{unblock: make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = w.Run(ctx) })
	began := time.Now()
	const lines = 100_000
	for i := range lines {
		if _, err := fmt.Fprintf(w, "{\"line\":%d}\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("writing took %v", took)
	}
	close(out.unblock)
	cancel()
	running.Wait()
	text := out.text.String()
	kept := strings.Count(text, `"line"`)
	if kept == 0 || kept > maxLinesPerPeriod+1 {
		t.Errorf("%d lines were kept", kept)
	}
	if !strings.Contains(text, fmt.Sprintf(`"count":%d`, lines-kept)) {
		t.Errorf("what was left out is not told: %q", text[max(0, len(text)-200):])
	}
}

// BenchmarkWrite is what a log line costs the process that writes it.
func BenchmarkWrite(b *testing.B) {
	w := NewWriter(&bytes.Buffer{})
	line := []byte(`{"time":"2026-12-04T10:00:00.000Z","level":"info","process":"e","prefix":"relay","msg":"Request served."}` + "\n")
	for b.Loop() {
		_, _ = w.Write(line)
		w.linesInPeriod.Store(0)
		<-w.pending
	}
}
