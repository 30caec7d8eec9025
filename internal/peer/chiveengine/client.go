package chiveengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/tidwall/sjson"
	"github.com/tmaxmax/go-sse"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

// Error is the class of errors of this package.
var Error = errs.Class("engine")

// Limits of what is read from an engine.
const (
	maxEventSize    = 1 << 20
	maxResponseSize = 8 << 20
)

// doneMarker is the data of the event that ends a streamed answer.
const doneMarker = "[DONE]"

// A Client speaks to one engine.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a new Client of the engine at an address.
func NewClient(addr string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}
	return &Client{base: "http://" + addr, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// A Generation is one run of a generation request.
type Generation struct {
	// Body is the request as the caller sent it.
	Body []byte
	// Offset is the number of tokens that the caller has, Partial their text.
	Offset  uint64
	Partial string
}

// An Output is what an engine says in one event.
type Output struct {
	// Text is a JSON string; it is valid until the next event.
	Text         []byte
	FinishReason string
	Usage        *Usage
}

// Generate runs a generation request and passes every event to emit. It returns
// nil only after the whole answer.
func (c *Client) Generate(ctx context.Context, g Generation, emit func(Output) error) error {
	body, err := g.requestBody()
	if err != nil {
		return chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "%v", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	resp, err := c.http.Do(req)
	if err != nil {
		return chiveverdict.MayHaveRunf(chiveverdict.CodeUnreachable, "engine: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return statusFailure(resp)
	}
	return readEvents(resp.Body, emit)
}

// requestBody returns the request with streaming on and with the partial answer as the
// message to continue.
func (g *Generation) requestBody() ([]byte, error) {
	body, err := sjson.SetBytes(g.Body, "stream", true)
	if err != nil {
		return nil, err
	}
	if body, err = sjson.SetBytes(body, "stream_options.include_usage", true); err != nil {
		return nil, err
	}
	if g.Offset == 0 {
		return body, nil
	}
	return g.continuationBody(body)
}

// jsonField is a jsonField of a JSON body to set.
type jsonField struct {
	path  string
	value any
}

func (g *Generation) continuationBody(body []byte) ([]byte, error) {
	chat, err := UnmarshalChat(g.Body)
	if err != nil {
		return nil, err
	}
	partial := struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", g.Partial}
	sets := []jsonField{
		{"messages.-1", partial},
		{"continue_final_message", true},
		{"add_generation_prompt", false},
	}
	if chat.MaxTokens != nil {
		sets = append(sets, jsonField{"max_tokens", *chat.MaxTokens - int64(g.Offset)})
	}
	for _, s := range sets {
		if body, err = sjson.SetBytes(body, s.path, s.value); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// statusFailure returns the failure of an answer that is not a stream.
func statusFailure(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if resp.StatusCode >= http.StatusInternalServerError && resp.StatusCode != http.StatusServiceUnavailable {
		return chiveverdict.MayHaveRunf(chiveverdict.CodeCut, "engine answered %s: %s", resp.Status, text)
	}
	code := chiveverdict.CodeInvalid
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		code = chiveverdict.CodeOverload
	}
	return chiveverdict.NotRunf(code, time.Second, "engine answered %s: %s", resp.Status, text)
}

func readEvents(r io.Reader, emit func(Output) error) error {
	var chunk Chunk
	for event, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEventSize}) {
		if err != nil {
			return chiveverdict.MayHaveRunf(chiveverdict.CodeCut, "engine: %v", err)
		}
		if event.Data == doneMarker {
			return nil
		}
		chunk = Chunk{}
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return chiveverdict.MayHaveRunf(chiveverdict.CodeCut, "engine sent a malformed event: %v", err)
		}
		if err := emit(chunk.output()); err != nil {
			return err
		}
	}
	return chiveverdict.MayHaveRunf(chiveverdict.CodeCut, "engine ended the answer early")
}

func (c *Chunk) output() Output {
	out := Output{Usage: c.Usage}
	if len(c.Choices) == 0 {
		return out
	}
	out.Text = c.Choices[0].Delta.Content
	if f := c.Choices[0].FinishReason; f != nil {
		out.FinishReason = *f
	}
	return out
}

// get reads a small reply of the engine.
func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return c.do(req)
}

func (c *Client) do(req *http.Request) ([]byte, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, Error.Wrap(errors.New(fmt.Sprint(resp.Status, " ", string(data))))
	}
	return data, nil
}
