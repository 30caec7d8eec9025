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

// Caller sends requests as a client of a workspace does: it asks a gateway for the
// addresses to use, caches the answer for its lifetime and connects to the first
// address that accepts a connection.
type Caller struct {
	// Key is the API key of the workspace.
	Key string
	// SeedAddresses holds the gateway addresses, as IP:port, that are asked for the
	// addresses to use.
	SeedAddresses []string
	// RequestTimeout is the value of X-Request-Timeout, in seconds, that calls of
	// services send; if empty, none is sent.
	RequestTimeout string

	client http.Client
	// mu guards addresses, which are cached until expires.
	mu        sync.Mutex
	addresses []string
	expires   time.Time
}

// NewCaller returns a Caller of a workspace that knows all gateways of the fleet.
func (f *Fleet) NewCaller(workspace string) *Caller {
	c := &Caller{Key: "demo-" + workspace}
	for _, vm := range f.VMs {
		c.SeedAddresses = append(c.SeedAddresses, vm.CallerAddress)
	}
	c.client.Transport = &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return c
}

// Result is the outcome of one attempt of a request.
type Result struct {
	// Status is the HTTP status, or 0 without an answer.
	Status int
	// Verdict says whether the request ran. The caller determines it from the response
	// or from the error of the connection.
	Verdict chiveverdict.Verdict
	// Complete reports whether the answer was read to its regular end.
	Complete bool
	// Text is the answer, or the part of it that was received.
	Text string
	// Error says why the answer is not complete.
	Error string
	// RetryAfter is the duration in the Retry-After header of an error, 0 without one.
	RetryAfter time.Duration
	// FirstTokenTime is the time from the start to the first token, TotalTime the time
	// from the start to the end of the answer.
	FirstTokenTime time.Duration
	TotalTime      time.Duration
	// TokenGaps holds the times between successive tokens.
	TokenGaps []time.Duration
	// Replayed reports whether the answer was produced by an earlier request with the
	// same idempotency key.
	Replayed bool
	// ID is the request ID that the gateway assigned.
	ID string
	// Gateway is the address that the request was sent to last.
	Gateway string
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Addresses returns the gateway addresses that the workspace is to use, the preferred
// one first. If no gateway answers, it returns the previous ones.
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

// fetchAddresses asks a gateway for the addresses to use.
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
		return nil, Error.New("request for gateway addresses: status %s", resp.Status)
	}
	answer := &chivecaller.GatewayAddresses{}
	return answer, json.NewDecoder(resp.Body).Decode(answer)
}

// newRequest returns a request with the key of the workspace. It has no GetBody, so the
// HTTP client never resends it on its own.
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

// do sends a request to the first address that accepts a connection. Without a response
// it returns nil and a result whose verdict is not-run if no connection was made, and
// may-have-run otherwise.
func (c *Caller) do(ctx context.Context, method, path string, body []byte, header map[string]string) (*http.Response, *Result) {
	result := &Result{Verdict: chiveverdict.NotRun, Error: "no gateway address is known"}
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

// ChatBody returns the JSON body of a generation request.
func ChatBody(model, prompt string, tokens uint64, stream bool) []byte {
	content, _ := json.Marshal(prompt)
	return fmt.Appendf(nil, `{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%s}]}`, model, stream, tokens, content)
}

// ExpectedAnswer returns the answer that the stand-ins give to a prompt with the given
// number of tokens.
func ExpectedAnswer(prompt string, tokens uint64) string {
	content, _ := json.Marshal(prompt)
	return chivestandin.Answer(string(content), tokens)
}

// Generate sends a generation request and reads the streamed answer.
func (c *Caller) Generate(ctx context.Context, model, prompt string, tokens uint64) *Result {
	start := time.Now()
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
	result.readStream(resp.Body, start)
	result.TotalTime = time.Since(start)
	return result
}

// GenerateDirect sends a generation request to the address of an engine, without a
// gateway. The caller uses only this address from then on.
func (c *Caller) GenerateDirect(ctx context.Context, engine, model, prompt string, tokens uint64) *Result {
	c.PinAddress(engine)
	return c.Generate(ctx, model, prompt, tokens)
}

// readStream reads a streamed answer up to its end event and records the times of its
// tokens relative to start.
func (r *Result) readStream(body io.Reader, start time.Time) {
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	r.Error = "answer ended without an end event"
	last := start
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
			r.FirstTokenTime = now.Sub(start)
		} else {
			r.TokenGaps = append(r.TokenGaps, now.Sub(last))
		}
		last = now
		r.appendText(&text, event.Data)
	}
}

// appendText appends the text of a chunk. Chunks without text are ignored.
func (r *Result) appendText(text *strings.Builder, data string) {
	var chunk chiveengine.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
		return
	}
	var content string
	if json.Unmarshal(chunk.Choices[0].Delta.Content, &content) == nil {
		text.WriteString(content)
	}
}

// readError sets the verdict, the error and RetryAfter from an error response. A body
// that is not an error object gives the verdict may-have-run.
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

// Post sends a POST request to a service, with an idempotency key unless it is empty.
// It expects status 201.
func (c *Caller) Post(ctx context.Context, service, path, body, key string) *Result {
	start := time.Now()
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
	result.TotalTime = time.Since(start)
	return result
}

// MintKey returns a new idempotency key for a service.
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

// ExpireAddresses makes the next request ask for addresses again. Callers use it after
// a request failed.
func (c *Caller) ExpireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// PinAddress makes the caller use only the given address.
func (c *Caller) PinAddress(addr string) {
	const pinDuration = 24 * time.Hour
	c.mu.Lock()
	defer c.mu.Unlock()
	c.SeedAddresses, c.addresses, c.expires = []string{addr}, []string{addr}, time.Now().Add(pinDuration)
}
