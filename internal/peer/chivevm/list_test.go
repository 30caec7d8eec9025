package chivevm

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

const entryFormat = `{"name":"entry-1","zone":"north","caller":"127.0.0.1:1","link":"127.0.0.1:2","state":%q}`

// TestListIsSentOnlyIfChanged checks that the client requests the list conditionally, so
// that an unchanged list is not transferred again.
func TestListIsSentOnlyIfChanged(t *testing.T) {
	state, sent := "live", 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tag := `"` + state + `"`
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		w.Header().Set("ETag", tag)
		_, _ = fmt.Fprintf(w, "["+entryFormat+"]", state)
	}))
	defer server.Close()
	c := NewClient(server.URL)
	for i := range 6 {
		if i == 3 {
			state = "leaving"
		}
		list, err := c.List(context.Background())
		if err != nil || len(list) != 1 || string(list[0].State) != state {
			t.Fatalf("read %d: %+v, %v", i, list, err)
		}
	}
	if sent != 2 {
		t.Fatalf("list was sent %d times in 6 reads with one change, want 2", sent)
	}
}

// TestListRejectsInvalidResponses checks that an error status and a malformed list are
// returned as errors, and not as an empty or partial list.
func TestListRejectsInvalidResponses(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
	}{
		{"error status", 500, ""},
		{"malformed JSON", 200, "{"},
		{"unknown state", 200, "[" + fmt.Sprintf(entryFormat, "gone") + "]"},
		{"malformed address", 200, `[{"name":"a","zone":"b","caller":"x","link":"127.0.0.1:2","state":"live"}]`},
		{"missing name", 200, `[{"zone":"b","caller":"127.0.0.1:1","link":"127.0.0.1:2","state":"live"}]`},
	}
	for _, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		if list, err := NewClient(server.URL).List(context.Background()); err == nil {
			t.Errorf("%s: accepted as %+v", c.name, list)
		}
		server.Close()
	}
}
