package chiverelay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// TestSlowSoundStream checks that a stream whose whole events keep coming is not cut, however
// slowly they come and arrive, and that one whose bytes trickle without completing an event ends
// by a bound and is resumed at another runner where its route allows that.
func TestSlowSoundStream(t *testing.T) {
	const deadline = 20 * time.Second
	start := "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n\r\n"
	tests := []struct {
		give, path     string
		begin, trickle string
		pause          time.Duration
		resumed        bool
		// want is the beginning of what the caller receives.
		want string
	}{
		{"an event of few bytes at a time", "/stream/x", start + "id: 0\ndata: a\n\nid: 1\ndata: ", "x", 200 * time.Millisecond, true, "id: 0\ndata: a\n\n"},
		{"blank lines", "/stream/x", start + "id: 0\ndata: a\n\n", "\n", 200 * time.Millisecond, true, "id: 0\ndata: a\n\n"},
		{"whole events", "/stream/x", start, ": alive\n\n", 1500 * time.Millisecond, false, ": alive\n\n: alive\n\n: alive\n\n: alive\n\n: alive\n\n"},
		{"an event that is not resumed", "/fixed/x", start + "id: 0\ndata: a\n\nid: 1\ndata: ", "x", 200 * time.Millisecond, false, "id: 0\ndata: a\n\n"},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 82, 0)
			fixed := s.fleet.Config.Routes[2]
			fixed.Name, fixed.Prefix, fixed.Resumable = "fixed", "/fixed/", false
			config := *s.fleet.Config
			config.Routes = append(config.Routes, fixed)
			if err := config.Index(); err != nil {
				t.Fatal(err)
			}
			s.fleet.Config = &config
			slow := newEndlessRunner(t, tt.begin, tt.trickle, tt.pause)
			s.setEndless(slow)
			time.AfterFunc(time.Second, func() {
				s.register(map[string]*chivefleet.Runner{
					"e0": {ID: "e0", Service: "s", Address: slow.listener.Addr().String(), Slots: 100},
					"r0": {ID: "r0", Service: "s", Address: s.runners[0].listener.Addr().String(), Slots: 100},
				})
			})
			ctx, cancel := context.WithTimeout(t.Context(), deadline/2)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+tt.path, strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			req.Header = http.Header{"Id": {"trickle"}, "Key": {"k"}, "Deadline": {deadline.String()}}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			body, complete := readAvailable(resp)
			if !strings.HasPrefix(body, tt.want) {
				t.Errorf("the caller got %q", body)
			}
			if complete != tt.resumed {
				t.Errorf("complete: %t, body %q", complete, body)
			}
			if tt.resumed {
				want := ""
				for i := range 12 {
					want += fmt.Sprintf("id: %d\ndata: piece %d of trickle\n\n", i, i)
				}
				_, rest, _ := strings.Cut(want, "\n\n")
				if !strings.HasSuffix(body, rest) {
					t.Errorf("resumed as %q", body)
				}
			}
			ended := ctx.Err() == nil
			if sound := tt.give == "whole events"; ended == sound {
				t.Errorf("ended by the relay within %v: %t", deadline/2, ended)
			}
		})
	}
}

// readAvailable reads a body until its end or an error, and reports whether it is complete.
func readAvailable(resp *http.Response) (string, bool) {
	var b strings.Builder
	part := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(part)
		b.Write(part[:n])
		if err != nil {
			return b.String(), err.Error() == "EOF"
		}
	}
}
