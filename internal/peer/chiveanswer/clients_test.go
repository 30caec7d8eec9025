package chiveanswer_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveanswer"
	"github.com/chiveyoke/chiveyoke/internal/peer/chiveengine"
	"github.com/chiveyoke/chiveyoke/internal/peer/chiveobject"
	"github.com/chiveyoke/chiveyoke/internal/peer/chiveoperator"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivescout"
	"github.com/chiveyoke/chiveyoke/internal/peer/chiveservice"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivetable"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivevm"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/run/chivehub"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverow"
	"github.com/chiveyoke/chiveyoke/platform"
)

// serve answers each request on a connection of its own with what answer returns, until the end of the
// test, and returns the address.
func serve(t *testing.T, answer func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				answer(c)
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads a request to its end.
func readRequest(c net.Conn) bool {
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, q.Body)
	return err == nil
}

// encode returns a value in CBOR.
func encode(t *testing.T, v any) string {
	t.Helper()
	data, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// client is a place of the product where answers are read.
type client struct {
	name string
	// body is that of a sound answer, call reads one.
	body string
	call func(ctx context.Context, addr string) error
}

// clients returns the places where answers are read through net/http.
func clients(t *testing.T) []client {
	port := func(addr string) int {
		_, text, _ := net.SplitHostPort(addr)
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Error(err)
		}
		return n
	}
	const report = `{"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"step":1,"map":0,"pace":1}`
	member := func(addr string) chiverank.Member { return chiverank.Member{ID: "i", Address: addr} }
	return []client{
		{"service", "whole", func(ctx context.Context, addr string) error {
			_, err := chiveservice.NewClient(addr).Do(ctx, chiveservice.Request{Method: http.MethodPost, Path: "/x"})
			return err
		}},
		{"generation", "data: [DONE]\n\n", func(ctx context.Context, addr string) error {
			return chiveengine.NewClient(addr).Generate(ctx, chiveengine.Generation{Body: []byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`)}, func(chiveengine.Output) error { return nil })
		}},
		{"order to an engine", "", func(ctx context.Context, addr string) error { return chiveengine.NewClient(addr).Hold(ctx, 1) }},
		{"report of a rank", report, func(ctx context.Context, addr string) error {
			_, err := platform.NewEngine().Report(ctx, member(addr))
			return err
		}},
		{"order to a rank", "", func(ctx context.Context, addr string) error {
			return platform.NewEngine().Order(ctx, member(addr), chiverank.Order{Op: chiverank.Go})
		}},
		{"reply of a scout", encode(t, chivescout.Reply{Report: &chiverank.Report{Epoch: 1, Open: true, Held: -1}}), func(ctx context.Context, addr string) error {
			_, err := chivescout.NewClient(port(addr), nil).Report(ctx, member(addr))
			return err
		}},
		{"page of the store", `{"rows":[],"ver":1}`, func(ctx context.Context, addr string) error {
			_, err := platform.NewStore(addr).Changes(ctx, "t", chivefollow.Position{}, 0)
			return err
		}},
		{"page of a hub", encode(t, chivehub.ReplicaPage{Version: 1}), func(ctx context.Context, addr string) error {
			_, err := chivehub.NewClient().Changes(ctx, &chivehub.Hub{Name: "h", Addr: addr}, "t", chivefollow.Position{})
			return err
		}},
		{"list of VMs", `[]`, func(ctx context.Context, addr string) error {
			_, err := chivevm.NewClient("http://" + addr).List(ctx)
			return err
		}},
		{"gateway to an operator", `{}`, func(ctx context.Context, addr string) error {
			_, err := chiveoperator.NewClient([]string{addr}, "t").Head(ctx)
			return err
		}},
		{"write to the table", `{}`, func(ctx context.Context, addr string) error {
			return chivetable.New(chivetable.Settings{URL: "http://" + addr, Name: "t", Region: "r", Access: "a", Secret: "s"}).Put(ctx, chiverow.Row{Key: "k", Value: []byte("v")})
		}},
		{"write to the object store", "", func(ctx context.Context, addr string) error {
			return chiveobject.New(chiveobject.Settings{URL: "http://" + addr, Bucket: "b", Region: "r", Access: "a", Secret: "s"}).Put(ctx, "n", []byte("v"))
		}},
	}
}

// TestMalformedAnswersAnywhere guards against answers that are none in the protocol and count as success
// at some place where answers are read: by a status without a class, by the name of a field, or by a
// version.
func TestMalformedAnswersAnywhere(t *testing.T) {
	for _, c := range clients(t) {
		fields := fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\nConnection: close\r\n", len(c.body))
		for _, tt := range []struct{ give, answer string }{
			{"", "HTTP/1.1 200 OK\r\n" + fields},
			{"status 000", "HTTP/1.1 000 OK\r\n" + fields},
			{"status 099", "HTTP/1.1 099 OK\r\n" + fields},
			{"status +20", "HTTP/1.1 +20 OK\r\n" + fields},
			{"status 101", "HTTP/1.1 101 OK\r\n" + fields},
			{"status 999", "HTTP/1.1 999 OK\r\n" + fields},
			{"name with a blank", "HTTP/1.1 200 OK\r\nX Y: v\r\n" + fields},
			{"blank after a name", "HTTP/1.1 200 OK\r\nX : v\r\n" + fields},
			{"blank before the colon of the length", "HTTP/1.1 200 OK\r\n" + strings.Replace(fields, "Length:", "Length :", 1)},
			{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Y: v\r\n" + fields},
			{"control byte in a value", "HTTP/1.1 200 OK\r\nX: a\x01b\r\n" + fields},
			{"another version", "HTTP/2.0 200 OK\r\n" + fields},
		} {
			addr := serve(t, func(conn net.Conn) {
				if readRequest(conn) {
					// The client may have closed it.
					_, _ = io.WriteString(conn, tt.answer+"\r\n"+c.body)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			err := c.call(ctx, addr)
			cancel()
			if sound := tt.give == ""; (err == nil) != sound {
				t.Errorf("%s, %s: error %v", c.name, tt.give, err)
			}
			var failure *chiveverdict.Failure
			if errors.As(err, &failure) && failure.Verdict == chiveverdict.NotRun {
				t.Errorf("%s, %s: counts as not run", c.name, tt.give)
			}
		}
	}
}

// TestResetDuringUploadAnywhere guards against a part of an answer without a length that counts as whole
// since its connection was reset while a body was being written.
func TestResetDuringUploadAnywhere(t *testing.T) {
	const attempts, upload = 20, 8 << 20
	addr := serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\na part"); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	for range attempts {
		_, err := chiveservice.NewClient(addr).Do(t.Context(), chiveservice.Request{Method: http.MethodPost, Path: "/x", Body: make([]byte, upload)})
		var failure *chiveverdict.Failure
		if !errors.As(err, &failure) || failure.Verdict != chiveverdict.MayHaveRun {
			t.Errorf("service: error %v", err)
		}
		client := &http.Client{Transport: chiveanswer.NewTransport(&http.Transport{}, &net.Dialer{})}
		resp, err := client.Post("http://"+addr, "text/plain", strings.NewReader(strings.Repeat("x", upload)))
		if err != nil {
			continue
		}
		if _, err = io.ReadAll(resp.Body); err == nil {
			t.Error("transport: the answer looks whole")
		}
		_ = resp.Body.Close()
	}
}
