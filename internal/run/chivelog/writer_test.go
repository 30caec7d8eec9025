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

// blockedOutput is a writer that blocks until unblock is closed.
type blockedOutput struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.unblock
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// TestWriteNeverBlocks checks that writing to a Writer whose output is blocked
// takes little time, that no more lines are kept than the rate limit allows, and
// that the reported number of dropped lines is right.
func TestWriteNeverBlocks(t *testing.T) {
	out := &blockedOutput{unblock: make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = w.Run(ctx) })
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
	wg.Wait()
	text := out.text.String()
	kept := strings.Count(text, `"line"`)
	if kept == 0 || kept > maxLinesPerPeriod+1 {
		t.Errorf("%d lines were kept", kept)
	}
	if !strings.Contains(text, fmt.Sprintf(`"count":%d`, lines-kept)) {
		t.Errorf("number of dropped lines is wrong or missing in %q", text[max(0, len(text)-200):])
	}
}

// BenchmarkWrite measures the cost of a log line for the code that logs it.
func BenchmarkWrite(b *testing.B) {
	w := NewWriter(&bytes.Buffer{})
	line := []byte(`{"time":"2026-12-04T10:00:00.000Z","level":"info","process":"e","prefix":"relay","msg":"Request served."}` + "\n")
	for b.Loop() {
		_, _ = w.Write(line)
		w.linesInPeriod.Store(0)
		<-w.pending
	}
}
