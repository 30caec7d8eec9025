package chivehub

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
)

// countingWriter counts the bytes of a response body.
type countingWriter struct {
	http.ResponseWriter
	count *atomic.Int64
}

// Write implements io.Writer.
func (w countingWriter) Write(b []byte) (int, error) {
	w.count.Add(int64(len(b)))
	return w.ResponseWriter.Write(b)
}

// TestReplicaTransfer reads a hub's replica over HTTP, whole and in part. It guards
// against an overloaded network link of the hub when a configuration of many routes
// goes to all members of a zone at once: at most a tenth of its size may be sent.
func TestReplicaTransfer(t *testing.T) {
	var config strings.Builder
	for i := range 2000 {
		_, _ = fmt.Fprintf(&config, `{"name":"route-%d","hostname":"host.example","prefix":"/p%d/","service":"s"},`, i, i*7919%10007)
	}
	s := &Source{Clock: simulatedNow, Log: log.New(io.Discard)}
	j := s.Journal(tableName)
	j.Apply(chivefollow.Page{Snapshot: true, Version: 7, Confirmed: simulatedNow(), Rows: []chivefollow.Row{
		{Key: "config", Value: []byte(config.String()), Version: 7}, {Key: "old", Version: 3},
	}})
	j.Apply(chivefollow.Page{Version: 9, Rows: []chivefollow.Row{{Key: "old", Removed: true}}})
	var count atomic.Int64
	handler := s.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(countingWriter{w, &count}, r)
	}))
	defer server.Close()
	hub := &Hub{Name: "h", Addr: strings.TrimPrefix(server.URL, "http://")}
	tests := []struct {
		after int64
		rows  int
		whole bool
	}{{-1, 1, true}, {7, 1, false}, {9, 0, false}}
	for _, tt := range tests {
		page, err := NewClient().Changes(t.Context(), hub, tableName, chivefollow.Position{Version: tt.after})
		if err != nil || page.Version != 9 || page.Snapshot != tt.whole || len(page.Rows) != tt.rows {
			t.Errorf("after %d: version %d, whole %t, %d rows, %v", tt.after, page.Version, page.Snapshot, len(page.Rows), err)
		}
		if tt.whole && string(page.Rows[0].Value) != config.String() {
			t.Errorf("after %d: the configuration that arrived differs from the one sent", tt.after)
		}
	}
	if got := count.Load(); got > int64(config.Len())/10 {
		t.Errorf("%d bytes were sent for a configuration of %d bytes", got, config.Len())
	}
	if _, err := NewClient().Changes(t.Context(), hub, "unknown", chivefollow.Position{}); err == nil {
		t.Error("a read of an unknown table succeeded")
	}
}
