package chivestandin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveobject"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivetable"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivevm"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverow"
)

// counter counts the bytes that cross a server's connections.
type counter struct {
	net.Listener
	bytes *atomic.Int64
}

func (c counter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countedConn{conn, c.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// serve returns the URL of a handler and the bytes that cross its connections.
func serve(t testing.TB, h http.Handler) (string, *atomic.Int64) {
	t.Helper()
	bytes := &atomic.Int64{}
	server := httptest.NewUnstartedServer(h)
	server.Listener = counter{server.Listener, bytes}
	server.Start()
	t.Cleanup(server.Close)
	return server.URL, bytes
}

func newTableClient(t testing.TB) (*chivetable.Table, *table, *atomic.Int64) {
	t.Helper()
	stand := newTable()
	url, bytes := serve(t, stand)
	return chivetable.New(chivetable.Settings{URL: url, Name: "t", Region: "local", Access: "a", Secret: "s"}), stand, bytes
}

func TestTable(t *testing.T) {
	ctx := context.Background()
	client, stand, _ := newTableClient(t)
	if _, err := client.Get(ctx, "k"); !errors.Is(err, chiverow.ErrNotFound) {
		t.Fatalf("get of nothing: %v", err)
	}
	if v, err := client.Version(ctx, "k"); v != 0 || err != nil {
		t.Fatalf("version of nothing: %d, %v", v, err)
	}
	for version := uint64(1); version <= 3; version++ {
		if err := client.Put(ctx, chiverow.Row{Key: "k", Version: version, Value: []byte{byte(version)}}); err != nil {
			t.Fatalf("put %d: %v", version, err)
		}
	}
	for _, version := range []uint64{1, 3, 5} {
		if err := client.Put(ctx, chiverow.Row{Key: "k", Version: version}); !errors.Is(err, chiverow.ErrConflict) {
			t.Fatalf("put of version %d on 3: %v", version, err)
		}
	}
	row, err := client.Get(ctx, "k")
	if err != nil || row.Version != 3 || row.Value[0] != 3 {
		t.Fatalf("got %+v, %v", row, err)
	}
	stand.set(Fault{Kind: KindLost, Count: 1})
	if err := client.Put(ctx, chiverow.Row{Key: "k", Version: 4, Value: []byte{4}}); err == nil || errors.Is(err, chiverow.ErrConflict) {
		t.Fatalf("put with a lost answer: %v", err)
	}
	if v, err := client.Version(ctx, "k"); v != 4 || err != nil {
		t.Fatalf("after a lost answer: version %d, %v", v, err)
	}
	stand.set(Fault{Kind: KindDown})
	if _, err := client.Get(ctx, "k"); err == nil || errors.Is(err, chiverow.ErrNotFound) {
		t.Fatalf("get while down: %v", err)
	}
}

func TestObjects(t *testing.T) {
	ctx := context.Background()
	url, _ := serve(t, newObject())
	client := chiveobject.New(chiveobject.Settings{URL: url, Bucket: "b", Region: "local", Access: "a", Secret: "s"})
	if _, err := client.Get(ctx, "sheet/x"); !errors.Is(err, chiverow.ErrNotFound) {
		t.Fatalf("get of nothing: %v", err)
	}
	want := strings.Repeat("text ", 100_000)
	if err := client.Put(ctx, "sheet/x", []byte(want)); err != nil {
		t.Fatal(err)
	}
	if got, err := client.Get(ctx, "sheet/x"); err != nil || string(got) != want {
		t.Fatalf("got %d bytes, %v", len(got), err)
	}
}

// BenchmarkControlBytes measures the bytes of the platform requests that
// gateways make at rest, at the target's sizes. Run it with -benchtime 100x,
// since the table has a rate limit.
func BenchmarkControlBytes(b *testing.B) {
	ctx := context.Background()
	client, _, bytes := newTableClient(b)
	const headBytes = 8 << 10
	if err := client.Put(ctx, chiverow.Row{Key: "head", Version: 1, Value: make([]byte, headBytes)}); err != nil {
		b.Fatal(err)
	}
	vms := &vmList{}
	for range 320 {
		vms.shown = append(vms.shown, chivevm.VM{Name: "entry-100", Zone: "zone-1", CallerAddress: "10.100.100.100:8080", LinkAddress: "10.100.100.100:7443", State: chivevm.StateLive})
	}
	url, vmBytes := serve(b, vms)
	list := chivevm.NewClient(url)
	lease := uint64(0)
	cases := []struct {
		name  string
		bytes *atomic.Int64
		do    func() error
	}{
		{"version", bytes, func() error { _, err := client.Version(ctx, "head"); return err }},
		{"head", bytes, func() error { _, err := client.Get(ctx, "head"); return err }},
		{"lease", bytes, func() error {
			lease++
			return client.Put(ctx, chiverow.Row{Key: "lease", Version: lease, Value: make([]byte, 60)})
		}},
		{"list", vmBytes, func() error { _, err := list.List(ctx); return err }},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			if err := c.do(); err != nil {
				b.Fatal(err)
			}
			before := c.bytes.Load()
			for b.Loop() {
				if err := c.do(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(c.bytes.Load()-before)/float64(b.N), "wire-B/op")
		})
	}
}
