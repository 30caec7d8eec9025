package chiverelay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivebudget"
	"github.com/chiveyoke/chiveyoke/internal/run/chivelog"
)

// BenchmarkMemoryLimit measures what a limit on memory costs a stream of 12 events whose caller
// keeps up.
func BenchmarkMemoryLimit(b *testing.B) {
	for _, memory := range []int64{0, 136e6} {
		b.Run(fmt.Sprint("memory=", memory), func(b *testing.B) {
			s := newTestCluster(b, 9, 0)
			s.relay.Memory.Budget = chivebudget.ForMemory(memory)
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, "/stream/x", strings.NewReader("body"))
				r.Host = "127.0.0.1"
				r.Header.Set("Id", "bench")
				r.Header.Set("Key", "k")
				s.relay.ServeHTTP(httptest.NewRecorder(), r)
			}
		})
	}
}

// BenchmarkRequest measures a call and a stream of 12 events through the relay, with
// and without logging.
func BenchmarkRequest(b *testing.B) {
	for _, kind := range []string{"any", "stream"} {
		for _, logs := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/logs=%t", kind, logs), func(b *testing.B) {
				s := newTestCluster(b, 9, 0)
				if logs {
					w := chivelog.NewWriter(&bytes.Buffer{})
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					go func() { _ = w.Run(ctx) }()
					s.relay.Log = log.NewWithOptions(w, log.Options{Prefix: "relay", Formatter: log.JSONFormatter, ReportTimestamp: true})
				} else {
					s.relay.Log = log.NewWithOptions(io.Discard, log.Options{Level: log.FatalLevel})
				}
				b.ReportAllocs()
				for b.Loop() {
					r := httptest.NewRequest(http.MethodPost, "/"+kind+"/x", strings.NewReader("body"))
					r.Host = "127.0.0.1"
					r.Header.Set("Id", "bench")
					r.Header.Set("Key", "k")
					s.relay.ServeHTTP(httptest.NewRecorder(), r)
				}
			})
		}
	}
}
