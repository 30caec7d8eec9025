package chiveharness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/chiveyoke/chiveyoke/internal/bench/chivestandin"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivecaller"
	"github.com/chiveyoke/chiveyoke/internal/peer/chiveengine"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

// A Caller sends requests as a client of a workspace does: it asks for
// addresses, keeps the answer for its lifetime and connects to the best that
// takes its connection.
type Caller struct {
	// Key is the workspace's key.
	Key string
	// SeedAddresses holds the addresses that are asked first, as IP:port.
	SeedAddresses []string
	// RequestTimeout is the deadline that is stated with calls of services, in seconds.
	RequestTimeout string

	client    http.Client
	mu        sync.Mutex
	addresses []string
	expires   time.Time
}

// NewCaller returns a new Caller of a workspace of the fleet.
func (f *Fleet) NewCaller(workspace string) *Caller {
	c := &Caller{Key: "demo-" + workspace}
	for _, vm := range f.VMs {
		c.SeedAddresses = append(c.SeedAddresses, vm.CallerAddress)
	}
	c.client.Transport = &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return c
}

// A Result is what a caller got.
type Result struct {
	// Status is the HTTP status, 0 where there was no answer.
	Status int
	// Verdict is what the system said of the request.
	Verdict chiveverdict.Verdict
	// Complete says that the answer ended in order.
	Complete bool
	// Text is the answer.
	Text string
	// Error is why the answer is not whole.
	Error string
	// RetryAfter is when the caller was told to come back.
	RetryAfter time.Duration
	// FirstTokenTime is the time to the first token, Total that to the end.
	FirstTokenTime time.Duration
	TotalTime      time.Duration
	// TokenGaps holds the times between tokens.
	TokenGaps []time.Duration
	// Replayed says that the answer is of an earlier run under the same key.
	Replayed bool
	// ID is the request's identity.
	ID string
	// Gateway is the address that was used.
	Gateway string
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Addresses returns the gateways that the workspace is to use.
func (c *Caller) Addresses(ctx context.Context) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.addresses
	}
	for _, seed := range c.SeedAddresses {
		answer, err := c.fetchAddresses(ctx, seed)
		if err == nil && len(answer.Addresses) > 0 {
			c.addresses = answer.Addresses
			c.expires = time.Now().Add(time.Duration(answer.Lifetime * float64(time.Second)))
			break
		}
	}
	return c.addresses
}

func (c *Caller) fetchAddresses(ctx context.Context, addr string) (*chivecaller.GatewayAddresses, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := c.newRequest(ctx, http.MethodGet, addr, "/v1/addresses", nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, Error.New("%s", resp.Status)
	}
	answer := &chivecaller.GatewayAddresses{}
	return answer, json.NewDecoder(resp.Body).Decode(answer)
}

func (c *Caller) newRequest(ctx context.Context, method, addr, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// do sends a request to the first address that takes the connection.
func (c *Caller) do(ctx context.Context, method, path string, body []byte, header map[string]string) (*http.Response, *Result) {
	result := &Result{Verdict: chiveverdict.NotRun, Error: "no address"}
	for _, addr := range c.Addresses(ctx) {
		req, err := c.newRequest(ctx, method, addr, path, body)
		if err != nil {
			result.Error = err.Error()
			return nil, result
		}
		for name, value := range header {
			req.Header.Set(name, value)
		}
		result.Gateway = addr
		resp, err := c.client.Do(req)
		if err == nil {
			return resp, result
		}
		result.Error = err.Error()
		if !strings.Contains(result.Error, "connect: ") {
			result.Verdict = chiveverdict.MayHaveRun
			return nil, result
		}
	}
	return nil, result
}

// ChatBody returns the body of a generation request.
func ChatBody(model, prompt string, tokens uint64, stream bool) []byte {
	content, _ := json.Marshal(prompt)
	return fmt.Appendf(nil, `{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%s}]}`, model, stream, tokens, content)
}

// ExpectedAnswer returns the answer that the stand-ins give to a prompt.
func ExpectedAnswer(prompt string, tokens uint64) string {
	content, _ := json.Marshal(prompt)
	return chivestandin.Answer(string(content), tokens)
}

// Generate sends a generation request and reads its streamed answer.
func (c *Caller) Generate(ctx context.Context, model, prompt string, tokens uint64) *Result {
	began := time.Now()
	resp, result := c.do(ctx, http.MethodPost, "/v1/chat/completions", ChatBody(model, prompt, tokens, true), nil)
	if resp == nil {
		return result
	}
	defer func() { _ = resp.Body.Close() }()
	result.ID = resp.Header.Get("X-Request-Id")
	result.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		result.readError(resp)
		return result
	}
	result.Verdict = chiveverdict.MayHaveRun
	result.readStream(resp.Body, began)
	result.TotalTime = time.Since(began)
	return result
}

// GenerateDirect sends a generation request to an engine, with nothing in between.
func (c *Caller) GenerateDirect(ctx context.Context, engine, model, prompt string, tokens uint64) *Result {
	c.PinAddress(engine)
	return c.Generate(ctx, model, prompt, tokens)
}

// readStream reads a streamed answer to its end event.
func (r *Result) readStream(body io.Reader, began time.Time) {
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	r.Error = "answer ended early"
	last := began
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			r.Error = err.Error()
			return
		}
		if event.Data == "[DONE]" {
			r.Complete, r.Error, r.Verdict = true, "", chiveverdict.Ran
			return
		}
		if event.Type == "error" {
			r.Error = event.Data
			return
		}
		now := time.Now()
		if r.FirstTokenTime == 0 {
			r.FirstTokenTime = now.Sub(began)
		} else {
			r.TokenGaps = append(r.TokenGaps, now.Sub(last))
		}
		last = now
		r.appendText(&text, event.Data)
	}
}

func (r *Result) appendText(text *strings.Builder, data string) {
	var chunk chiveengine.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
		return
	}
	var s string
	if json.Unmarshal(chunk.Choices[0].Delta.Content, &s) == nil {
		text.WriteString(s)
	}
}

// readError reads the body of an error.
func (r *Result) readError(resp *http.Response) {
	var body chivecaller.ErrorBody
	data, _ := io.ReadAll(resp.Body)
	if json.Unmarshal(data, &body) != nil || body.Error.Message == "" {
		r.Verdict, r.Error = chiveverdict.MayHaveRun, string(data)
		return
	}
	r.Verdict = body.Error.Verdict
	r.Error = fmt.Sprintf("%s: %s", body.Error.Code, body.Error.Message)
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		r.RetryAfter = time.Duration(seconds) * time.Second
	}
}

// Post calls a service with POST, under an idempotency key where it is given.
func (c *Caller) Post(ctx context.Context, service, path, body, key string) *Result {
	began := time.Now()
	header := map[string]string{}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	if c.RequestTimeout != "" {
		header["X-Request-Timeout"] = c.RequestTimeout
	}
	resp, result := c.do(ctx, http.MethodPost, "/v1/services/"+service+path, []byte(body), header)
	if resp == nil {
		return result
	}
	defer func() { _ = resp.Body.Close() }()
	result.Status = resp.StatusCode
	result.ID = resp.Header.Get("X-Request-Id")
	if resp.StatusCode != http.StatusCreated {
		result.readError(resp)
		return result
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		result.Verdict, result.Error = chiveverdict.MayHaveRun, err.Error()
		return result
	}
	result.Text, result.Complete, result.Verdict, result.Error = string(data), true, chiveverdict.Ran, ""
	result.Replayed = resp.Header.Get("Idempotency-Replayed") == "true"
	result.TotalTime = time.Since(began)
	return result
}

// MintKey asks for an idempotency key of a service.
func (c *Caller) MintKey(ctx context.Context, service string) (string, error) {
	resp, result := c.do(ctx, http.MethodPost, "/v1/services/"+service+"/keys", nil, nil)
	if resp == nil {
		return "", Error.New("%s", result.Error)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		result.readError(resp)
		return "", Error.New("%s", result.Error)
	}
	minted := &chivecaller.MintedKey{}
	return minted.Key, Error.Wrap(json.NewDecoder(resp.Body).Decode(minted))
}

// ExpireAddresses drops the kept answer of addresses once its lifetime allows a new
// question: a caller whose address failed asks again.
func (c *Caller) ExpireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// PinAddress makes the caller use one address only.
func (c *Caller) PinAddress(addr string) {
	const forever = 24 * time.Hour
	c.mu.Lock()
	defer c.mu.Unlock()
	c.SeedAddresses, c.addresses, c.expires = []string{addr}, []string{addr}, time.Now().Add(forever)
}
