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

// countingListener counts the bytes sent and received on the connections of a server.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{conn, c.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// startServer serves a handler. It returns its URL and a counter of the bytes sent and
// received on its connections.
func startServer(t testing.TB, h http.Handler) (string, *atomic.Int64) {
	t.Helper()
	bytes := &atomic.Int64{}
	server := httptest.NewUnstartedServer(h)
	server.Listener = countingListener{server.Listener, bytes}
	server.Start()
	t.Cleanup(server.Close)
	return server.URL, bytes
}

// newTableClient returns a client of a new table, the table and its byte counter.
func newTableClient(t testing.TB) (*chivetable.Table, *table, *atomic.Int64) {
	t.Helper()
	server := newTable()
	url, bytes := startServer(t, server)
	return chivetable.New(chivetable.Settings{URL: url, Name: "t", Region: "local", Access: "a", Secret: "s"}), server, bytes
}

// TestTable checks the table client against the stand-in: conditional writes by
// version, a write whose response is lost, and an unavailable table.
func TestTable(t *testing.T) {
	ctx := context.Background()
	client, server, _ := newTableClient(t)
	if _, err := client.Get(ctx, "k"); !errors.Is(err, chiverow.ErrNotFound) {
		t.Fatalf("get of a missing row: %v", err)
	}
	if v, err := client.Version(ctx, "k"); v != 0 || err != nil {
		t.Fatalf("version of a missing row: %d, %v", v, err)
	}
	for version := uint64(1); version <= 3; version++ {
		if err := client.Put(ctx, chiverow.Row{Key: "k", Version: version, Value: []byte{byte(version)}}); err != nil {
			t.Fatalf("put of version %d: %v", version, err)
		}
	}
	for _, version := range []uint64{1, 3, 5} {
		if err := client.Put(ctx, chiverow.Row{Key: "k", Version: version}); !errors.Is(err, chiverow.ErrConflict) {
			t.Fatalf("put of version %d after version 3: %v", version, err)
		}
	}
	row, err := client.Get(ctx, "k")
	if err != nil || row.Version != 3 || row.Value[0] != 3 {
		t.Fatalf("got row %+v, %v", row, err)
	}
	server.set(Fault{Kind: KindLost, Count: 1})
	if err := client.Put(ctx, chiverow.Row{Key: "k", Version: 4, Value: []byte{4}}); err == nil || errors.Is(err, chiverow.ErrConflict) {
		t.Fatalf("put whose response is lost: %v", err)
	}
	if v, err := client.Version(ctx, "k"); v != 4 || err != nil {
		t.Fatalf("version after a put whose response is lost: %d, %v", v, err)
	}
	server.set(Fault{Kind: KindDown})
	if _, err := client.Get(ctx, "k"); err == nil || errors.Is(err, chiverow.ErrNotFound) {
		t.Fatalf("get from an unavailable table: %v", err)
	}
}

// TestObjects checks the object store client against the stand-in: a missing object has
// its own error, and a large object is read as it was written.
func TestObjects(t *testing.T) {
	ctx := context.Background()
	url, _ := startServer(t, newObjectStore())
	client := chiveobject.New(chiveobject.Settings{URL: url, Bucket: "b", Region: "local", Access: "a", Secret: "s"})
	if _, err := client.Get(ctx, "sheet/x"); !errors.Is(err, chiverow.ErrNotFound) {
		t.Fatalf("get of a missing object: %v", err)
	}
	want := strings.Repeat("text ", 100_000)
	if err := client.Put(ctx, "sheet/x", []byte(want)); err != nil {
		t.Fatal(err)
	}
	if got, err := client.Get(ctx, "sheet/x"); err != nil || string(got) != want {
		t.Fatalf("got %d bytes, %v", len(got), err)
	}
}

// BenchmarkControlBytes measures the bytes on the wire of the requests that idle
// gateways send to the platform, with a head and a VM list of the size that the system
// is designed for. Run it with -benchtime 100x, since the table limits its request rate.
func BenchmarkControlBytes(b *testing.B) {
	ctx := context.Background()
	client, _, bytes := newTableClient(b)
	const headBytes = 8 << 10
	if err := client.Put(ctx, chiverow.Row{Key: "head", Version: 1, Value: make([]byte, headBytes)}); err != nil {
		b.Fatal(err)
	}
	list := &vmList{}
	for range 320 {
		list.visible = append(list.visible, chivevm.VM{Name: "entry-100", Zone: "zone-1", CallerAddress: "10.100.100.100:8080", LinkAddress: "10.100.100.100:7443", State: chivevm.StateLive})
	}
	url, listBytes := startServer(b, list)
	listClient := chivevm.NewClient(url)
	leaseVersion := uint64(0)
	cases := []struct {
		name    string
		bytes   *atomic.Int64
		request func() error
	}{
		{"version", bytes, func() error { _, err := client.Version(ctx, "head"); return err }},
		{"head", bytes, func() error { _, err := client.Get(ctx, "head"); return err }},
		{"lease", bytes, func() error {
			leaseVersion++
			return client.Put(ctx, chiverow.Row{Key: "lease", Version: leaseVersion, Value: make([]byte, 60)})
		}},
		{"list", listBytes, func() error { _, err := listClient.List(ctx); return err }},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			if err := c.request(); err != nil {
				b.Fatal(err)
			}
			before := c.bytes.Load()
			for b.Loop() {
				if err := c.request(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(c.bytes.Load()-before)/float64(b.N), "wire-B/op")
		})
	}
}
