package chivecrowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// longHead is the size of a long head in bytes. It is below the limit of entry VMs.
	longHead = 250_000
	// endless is the number of bytes after which a client gives up that sends without an end.
	endless = 4 << 20
	// blockSize is the number of bytes of one write.
	blockSize = 32 << 10
	// trickleBytes is the number of bytes that are sent one at a time, trickleInterval the time
	// between two of them.
	trickleBytes    = 1500
	trickleInterval = time.Millisecond
	// answerTimeout bounds the wait for an answer of a connection that is kept.
	answerTimeout = 10 * time.Second
)

// Door is a port to which clients connect.
type Door struct {
	Name, Address string
	// Line is the request line of a proper request, Fields are the lines of its head.
	Line, Fields string
}

// start returns the request line and the first lines of a head, without the blank line.
func (d Door) start() string {
	return d.Line + " HTTP/1.1\r\nHost: site.example\r\n" + d.Fields
}

// Kind is what a client sends.
type Kind struct {
	Name string
	// Send writes to a connection until it has sent all or the connection ends.
	Send func(c net.Conn, d Door) error
}

// Kinds returns what clients send that keep to no limit: before, in and after a head.
func Kinds() []Kind {
	return []Kind{
		{"short fields", func(c net.Conn, d Door) error { return send(c, d.start()+shortFields(longHead)) }},
		{"fields of one name", func(c net.Conn, d Door) error {
			return send(c, d.start()+strings.Repeat("a:\r\n", longHead/len("a:\r\n")))
		}},
		{"long field", func(c net.Conn, d Door) error { return send(c, d.start()+"X: "+strings.Repeat("x", longHead)) }},
		{"fields without an end", func(c net.Conn, d Door) error { return sendEndless(c, d.start(), shortFields(longHead)) }},
		{"line without an end", func(c net.Conn, _ Door) error { return sendEndless(c, "GET /", strings.Repeat("x", blockSize)) }},
		{"body held back", func(c net.Conn, d Door) error {
			return send(c, d.start()+"Content-Length: 900000\r\n"+shortFields(longHead)+"\r\n")
		}},
		{"body cut short", func(c net.Conn, d Door) error {
			return send(c, d.start()+"Content-Length: 900000\r\n\r\n"+strings.Repeat("x", 800_000))
		}},
		{"blank lines", func(c net.Conn, _ Door) error { return sendEndless(c, "", strings.Repeat("\r\n", blockSize/2)) }},
		{"blank lines after a request", func(c net.Conn, d Door) error {
			return sendEndless(c, d.start()+"Content-Length: 0\r\n"+shortFields(longHead/5)+"\r\n", strings.Repeat("\r\n", blockSize/2))
		}},
		{"one byte at a time", trickle},
		{"chunks without an end", func(c net.Conn, d Door) error {
			return sendEndless(c, d.start()+"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1;x=y\r\nz\r\n", blockSize/10))
		}},
		{"trailers without an end", func(c net.Conn, d Door) error {
			return sendEndless(c, d.start()+"Transfer-Encoding: chunked\r\nTrailer: Aaa\r\n\r\n0\r\n", shortFields(longHead))
		}},
		{"answers not read", func(c net.Conn, d Door) error {
			return sendEndless(c, "", strings.Repeat(d.start()+"Content-Length: 0\r\n\r\n", 100))
		}},
		{"no requests", noise},
		{"idle after a long head", func(c net.Conn, d Door) error { return exchange(c, d, shortFields(longHead/2)) }},
	}
}

// Idle returns what clients send that keep connections and little else.
func Idle() []Kind {
	return []Kind{
		{"silent", func(net.Conn, Door) error { return nil }},
		{"idle", func(c net.Conn, d Door) error { return exchange(c, d, "") }},
		{"begun", func(c net.Conn, d Door) error { return send(c, d.Line) }},
	}
}

// shortFields returns short lines of a head of about a size in bytes. Few have the same name.
func shortFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789-_"
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		n := len(letters)
		_, _ = fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i%n], letters[i/n%n], letters[i/n/n%n])
	}
	return b.String()
}

// send writes a text in blocks.
func send(c net.Conn, text string) error {
	for len(text) > 0 {
		n := min(len(text), blockSize)
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// sendEndless writes a text and then another one again and again.
func sendEndless(c net.Conn, start, again string) error {
	if err := send(c, start); err != nil {
		return err
	}
	for sent := 0; sent < endless; sent += len(again) {
		if err := send(c, again); err != nil {
			return err
		}
	}
	return nil
}

// trickle sends a head one byte at a time.
func trickle(c net.Conn, d Door) error {
	for _, b := range []byte(d.start() + shortFields(trickleBytes))[:trickleBytes] {
		if _, err := c.Write([]byte{b}); err != nil {
			return err
		}
		time.Sleep(trickleInterval)
	}
	return nil
}

// noise sends bytes that are drawn at random, among them many ends of lines.
func noise(c net.Conn, _ Door) error {
	random := rand.New(rand.NewPCG(1, 1))
	block := make([]byte, blockSize)
	for i := range block {
		block[i] = byte(random.Uint32())
		if random.IntN(8) == 0 {
			block[i] = '\n'
		}
	}
	return sendEndless(c, "", string(block))
}

// exchange sends a whole request with more fields and reads its answer.
func exchange(c net.Conn, d Door, fields string) error {
	if err := send(c, d.start()+"Content-Length: 0\r\n"+fields+"\r\n"); err != nil {
		return err
	}
	// It fails only if the connection is closed already.
	_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	return err
}
