package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	clientCount = 60
	thinkTime   = 60 * time.Millisecond
)

// outcome is what a client has seen of one client attempt.
type outcome struct {
	id       string
	sentAt   time.Time
	kept     bool
	status   int
	seal     string
	complete bool
	timedOut bool
}

// traffic is the clients of a site.
type traffic struct {
	end     context.CancelFunc
	clients sync.WaitGroup
	mu      sync.Mutex
	list    []outcome
}

// startClients starts the clients.
func (s *site) startClients() *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{end: cancel}
	for i := range clientCount {
		c := &client{site: s, number: i, zone: zones[i%len(zones)], rng: rand.New(rand.NewPCG(1, uint64(i)))}
		t.clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if o, ok := c.request(n); ok {
					t.mu.Lock()
					t.list = append(t.list, o)
					t.mu.Unlock()
				}
			}
			c.drop()
		})
	}
	return t
}

// stop ends the clients after their requests and returns what they have seen.
func (t *traffic) stop() []outcome {
	t.end()
	t.clients.Wait()
	return t.list
}

// client sends one request after the other over a kept connection.
type client struct {
	site      *site
	number    int
	zone      string
	rng       *rand.Rand
	addresses []string
	until     time.Time

	conn    net.Conn
	reader  *bufio.Reader
	address string
	used    bool
}

// drop closes the connection.
func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// resolve asks up to three machines where to connect, when the last answer has run out.
func (c *client) resolve() {
	if time.Now().Before(c.until) {
		return
	}
	web := &http.Client{Timeout: time.Second}
	for k := range 3 {
		n := c.site.nodes[(c.number+k)%len(zones)]
		resp, err := web.Get(fmt.Sprintf("http://%s:%d/-/resolve?name=site.example&region=region&zone=%s", n.ip, c.site.port+portDirectory, c.zone))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			Seconds   float64  `json:"ttl-s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		c.addresses, c.until = answer.Addresses, time.Now().Add(time.Duration(answer.Seconds*float64(time.Second)))
		listed := false
		for _, a := range c.addresses {
			listed = listed || a == c.address
		}
		if !listed {
			c.drop()
		}
		return
	}
}

// connect opens a connection, unless there is one.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	if len(c.addresses) == 0 {
		return false
	}
	c.address = c.addresses[c.rng.IntN(len(c.addresses))]
	conn, err := net.DialTimeout("tcp4", c.address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	return true
}

// request sends a request and reads its answer. It returns false if there was no connection.
func (c *client) request(n int) (o outcome, ok bool) {
	time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(thinkTime)))
	c.resolve()
	if !c.connect() {
		return o, false
	}
	route, deadline := "draft", 8*time.Second
	switch k := c.rng.IntN(10); {
	case k >= 8:
		route, deadline = "look", 3*time.Second
	case k >= 4:
		route, deadline = "order", 3*time.Second
	}
	o = outcome{id: fmt.Sprintf("%s-%d-%d", route, c.number, n), sentAt: time.Now(), kept: c.used}
	body, path := "body of "+o.id, "x"
	if route == "order" {
		path = c.site.itemPath + path
	}
	text := fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: site.example\r\nChiveyoke-Attempt-Id: %s\r\nChiveyoke-Deadline-Ms: %d\r\nAuthorization: Token key\r\n", route, path, o.id, deadline.Milliseconds())
	if route == "draft" {
		text += fmt.Sprintf("Chiveyoke-Model: m\r\nChiveyoke-Token-Usage: 674,96\r\nChiveyoke-Prefix-Hash: %x:40,%x:634\r\n", c.rng.IntN(60), c.rng.Uint32())
	}
	text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	c.used = true
	c.site.record.event("sent", o.id, "/"+route+"/"+path+" to "+c.address)
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.fail(&o, err)
		return o, true
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.fail(&o, err)
		return o, true
	}
	_, err = io.ReadAll(resp.Body)
	o.status, o.seal, o.complete = resp.StatusCode, resp.Header.Get("Chiveyoke-Response-Seal"), err == nil
	c.site.record.event("answered", o.id, fmt.Sprintf("%d complete %t", o.status, o.complete))
	if err != nil || resp.Close {
		c.drop()
	}
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		time.Sleep(min(time.Duration(after*float64(time.Second)), deadline/3))
	}
	return o, true
}

// fail records a request without an answer.
func (c *client) fail(o *outcome, err error) {
	o.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	c.site.record.event("no answer", o.id, strings.ReplaceAll(err.Error(), "\n", " "))
	c.drop()
}
