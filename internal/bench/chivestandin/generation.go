package chivestandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// defaultTokens is the length of an answer where no max_tokens is given.
const defaultTokens = 32

// generation is one request that an engine runs.
type generation struct {
	prompt string
	prefix string
	// wait is the number of steps before the next token.
	wait int
	next uint64
	end  uint64
	// cut is the number of tokens after which the stream breaks off, 0 for none.
	cut    uint64
	sent   uint64
	tokens chan uint64
	dead   chan struct{}
	killed bool
}

// advance produces one token and reports whether it was the last. A stream
// whose reader is behind waits.
func (g *generation) advance() bool {
	if g.killed {
		return false
	}
	if g.cut > 0 && g.sent >= g.cut {
		g.kill()
		return false
	}
	select {
	case g.tokens <- g.next:
		g.next++
		g.sent++
	default:
	}
	if g.next < g.end {
		return false
	}
	close(g.tokens)
	return true
}

// kill breaks the stream off.
func (g *generation) kill() {
	if !g.killed {
		g.killed = true
		close(g.dead)
	}
}

// chatRequest is a generation request.
type chatRequest struct {
	Model     string `json:"model"`
	MaxTokens uint64 `json:"max_tokens"`
	Messages  []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Continue bool `json:"continue_final_message"`
}

// generate answers POST /v1/chat/completions as a stream.
func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	fault := e.hit()
	if !fault.begin(w) {
		return
	}
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g := newGeneration(&req)
	if fault.Kind == KindCut {
		g.cut = uint64(fault.After)
	}
	e.admit(g)
	defer e.cancel(g)
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, r, g, fault)
}

func newGeneration(req *chatRequest) *generation {
	g := &generation{end: req.MaxTokens, tokens: make(chan uint64, 1024), dead: make(chan struct{})}
	if g.end == 0 {
		g.end = defaultTokens
	}
	messages := req.Messages
	if req.Continue && len(messages) > 0 {
		var partial string
		_ = json.Unmarshal(messages[len(messages)-1].Content, &partial)
		g.next = uint64(len(strings.Fields(partial)))
		g.end += g.next
		messages = messages[:len(messages)-1]
	}
	for i, m := range messages {
		g.prompt += string(m.Content)
		if i == 0 {
			g.prefix = string(m.Content)
		}
	}
	return g
}

// stream writes tokens as they come.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, g *generation, fault Fault) {
	control := http.NewResponseController(w)
	first := g.next
	for {
		select {
		case <-g.dead:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case i, ok := <-g.tokens:
			if !ok {
				fault.loses()
				e.finish(w, g, first)
				return
			}
			text, _ := json.Marshal(TokenText(g.prompt, i))
			_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%s},\"finish_reason\":null}]}\n\n", text)
			_ = control.Flush()
		}
	}
}

func (e *engine) finish(w http.ResponseWriter, g *generation, first uint64) {
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"length\"}]}\n\n"+
		"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\n"+
		"data: [DONE]\n\n", len(g.prompt)/4, g.end-first, uint64(len(g.prompt)/4)+g.end-first)
}
