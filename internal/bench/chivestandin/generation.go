package chivestandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// defaultMaxTokens is the length of an answer in tokens if max_tokens is not given.
const defaultMaxTokens = 32

// generation is one request that an engine runs.
type generation struct {
	prompt string
	// prefix is the first message, which engines cache.
	prefix string
	// waitSteps is the number of remaining prefill steps.
	waitSteps int
	// nextToken is the index of the next token, endToken one more than the index of the
	// last.
	nextToken uint64
	endToken  uint64
	// cutAfter is the number of tokens after which the stream is aborted, 0 for none.
	cutAfter   uint64
	sentTokens uint64
	tokens     chan uint64
	aborted    chan struct{}
	isAborted  bool
}

// advance produces one token and reports whether it was the last. It produces none
// while the buffer of the stream is full.
func (g *generation) advance() bool {
	if g.isAborted {
		return false
	}
	if g.cutAfter > 0 && g.sentTokens >= g.cutAfter {
		g.abort()
		return false
	}
	select {
	case g.tokens <- g.nextToken:
		g.nextToken++
		g.sentTokens++
	default:
	}
	if g.nextToken < g.endToken {
		return false
	}
	close(g.tokens)
	return true
}

// abort aborts the stream.
func (g *generation) abort() {
	if !g.isAborted {
		g.isAborted = true
		close(g.aborted)
	}
}

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model     string `json:"model"`
	MaxTokens uint64 `json:"max_tokens"`
	Messages  []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	// Continue says that the last message is a partial answer to resume.
	Continue bool `json:"continue_final_message"`
}

// generate serves POST /v1/chat/completions and streams the answer.
func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	fault := e.nextFault()
	if !fault.applyBefore(w) {
		return
	}
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g := newGeneration(&req)
	if fault.Kind == KindCut {
		g.cutAfter = uint64(fault.After)
	}
	e.admit(g)
	defer e.cancel(g)
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, r, g, fault)
}

// newGeneration returns the generation for a request. A partial answer is resumed
// after its tokens.
func newGeneration(req *chatRequest) *generation {
	g := &generation{endToken: req.MaxTokens, tokens: make(chan uint64, 1024), aborted: make(chan struct{})}
	if g.endToken == 0 {
		g.endToken = defaultMaxTokens
	}
	messages := req.Messages
	if req.Continue && len(messages) > 0 {
		var partial string
		_ = json.Unmarshal(messages[len(messages)-1].Content, &partial)
		g.nextToken = uint64(len(strings.Fields(partial)))
		g.endToken += g.nextToken
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

// stream writes the tokens as they are produced.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, g *generation, fault Fault) {
	control := http.NewResponseController(w)
	first := g.nextToken
	for {
		select {
		case <-g.aborted:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case token, ok := <-g.tokens:
			if !ok {
				fault.applyAfter()
				e.writeEnd(w, g, first)
				return
			}
			text, _ := json.Marshal(TokenText(g.prompt, token))
			_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%s},\"finish_reason\":null}]}\n\n", text)
			_ = control.Flush()
		}
	}
}

// writeEnd writes the finish reason, the token usage and the end marker of a stream.
func (e *engine) writeEnd(w http.ResponseWriter, g *generation, first uint64) {
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"length\"}]}\n\n"+
		"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\n"+
		"data: [DONE]\n\n", len(g.prompt)/4, g.endToken-first, uint64(len(g.prompt)/4)+g.endToken-first)
}
