package chivestandin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivemap"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

const (
	// hitSteps and missSteps are the steps before the first token of a prompt
	// whose prefix is cached or not.
	hitSteps  = 1
	missSteps = 6
	// cacheSize is the number of prefixes that an engine keeps.
	cacheSize = 64
	// experts is the number of experts whose load an engine reports.
	experts = 64
)

// engine plays a model engine that batches continuously by steps. The group's
// lock guards it.
type engine struct {
	faulty
	group *group
	sheet chivesheet.Endpoint

	start     float64
	running   map[*generation]bool
	completed int
	cache     []string
	lax       bool
	// staged holds the digests of the maps whose weights are loaded.
	staged    map[string]bool
	fence     uint64
	held      bool
	expertMap string
	// placed is the map in use, nil before the first.
	placed *chivemap.Map
	loads  []uint64
	steps  uint64
	count  EngineReport
}

// reset begins a new incarnation: all streams break and the engine is cold. The
// caller holds the lock or has the only reference.
func (e *engine) reset() {
	for g := range e.running {
		g.kill()
	}
	e.start = float64(time.Now().UnixNano()) / 1e9
	e.running = map[*generation]bool{}
	e.completed = 0
	e.cache = nil
	e.fence = 0
	e.expertMap = ""
	e.placed = nil
	e.staged = map[string]bool{}
	e.held = e.othersHaveMap()
	e.loads = make([]uint64, experts)
}

// othersHaveMap reports whether another rank of the group uses a map. A rank
// that restarts beside it is held until it is set.
func (e *engine) othersHaveMap() bool {
	for _, o := range e.group.engines {
		if o != e && o.expertMap != "" {
			return true
		}
	}
	return false
}

// bears returns the number of requests that the engine bears now: what it bears
// cold and one more for each that it completed.
func (e *engine) bears() int {
	return min(e.sheet.Full, e.sheet.Cold+e.completed)
}

func (e *engine) setFault(f Fault) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	switch f.Kind {
	case KindRestart:
		e.reset()
	case KindCold:
		e.completed = 0
	case KindLax:
		e.lax = true
	default:
		e.set(f)
	}
}

// advance gives every running request its next token.
func (e *engine) advance() {
	e.steps++
	if e.faulty.peek() == KindStall {
		return
	}
	for g := range e.running {
		if g.wait > 0 {
			g.wait--
			continue
		}
		e.loads[(g.next+uint64(len(g.prompt)))%experts]++
		if g.advance() {
			delete(e.running, g)
			e.completed++
			e.count.Completed++
		}
	}
}

// peek returns the kind of the fault without counting it.
func (f *faulty) peek() Kind {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault.Kind
}

// admit begins a request. An engine that is given more than it bears falls
// over.
func (e *engine) admit(g *generation) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.count.Started++
	if len(e.running)+1 > e.bears() {
		e.count.Overloads++
		e.reset()
		g.kill()
		return
	}
	g.wait = e.prefill(g.prefix)
	e.running[g] = true
}

// prefill returns the steps before the first token and caches the prefix.
func (e *engine) prefill(prefix string) int {
	for i, p := range e.cache {
		if p == prefix {
			e.cache = append(append(e.cache[:i], e.cache[i+1:]...), prefix)
			e.count.PrefixHits++
			return hitSteps
		}
	}
	e.count.PrefixMisses++
	e.cache = append(e.cache, prefix)
	if len(e.cache) > cacheSize {
		e.cache = e.cache[1:]
	}
	return missSteps
}

// cancel ends a request whose caller is gone.
func (e *engine) cancel(g *generation) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	delete(e.running, g)
}

func (e *engine) report() EngineReport {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.count.Running = len(e.running)
	return e.count
}

func (e *engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.generate)
	mux.HandleFunc("GET /metrics", e.metrics)
	mux.HandleFunc("GET /rank", e.getRank)
	mux.HandleFunc("POST /rank/{step}", e.postRank)
	return mux
}

// metrics answers with the engine's metrics in the Prometheus format.
func (e *engine) metrics(w http.ResponseWriter, _ *http.Request) {
	if !e.hit().begin(w) {
		return
	}
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	held := 0
	if e.held {
		held = 1
	}
	_, _ = io.WriteString(w, "process_start_time_seconds "+strconv.FormatFloat(e.start, 'f', 9, 64)+"\n"+
		"vllm:num_requests_running "+strconv.Itoa(len(e.running))+"\n"+
		"vllm:num_requests_waiting 0\n"+
		"rank_held "+strconv.Itoa(held)+"\n")
}

// rank answers GET /rank.
type rank struct {
	Map   string     `json:"map"`
	Held  bool       `json:"held"`
	Step  uint64     `json:"step"`
	Loads [][]uint64 `json:"loads"`
}

func (e *engine) getRank(w http.ResponseWriter, _ *http.Request) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	writeJSON(w, http.StatusOK, rank{Map: e.expertMap, Held: e.held, Step: e.steps, Loads: [][]uint64{e.loads}})
	e.loads = make([]uint64, experts)
}

func (e *engine) postRank(w http.ResponseWriter, r *http.Request) {
	fence, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	body, readErr := io.ReadAll(r.Body)
	if err != nil || readErr != nil {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	if !e.allows(fence) {
		http.Error(w, "fencing token is old", http.StatusConflict)
		return
	}
	if err := e.carryOut(r.PathValue("step"), body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// allows reports whether an order under a fencing token is carried out.
func (e *engine) allows(fence uint64) bool {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	if !e.lax && fence < e.fence {
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

func (e *engine) carryOut(step string, body []byte) error {
	if step == "stage" || step == "set" {
		if err := e.load(body); err != nil {
			return err
		}
	}
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	switch step {
	case "hold":
		e.held = true
	case "set":
		e.use(body)
	case "release":
		e.held = false
	}
	return nil
}

// load fetches the weights of a map from the weight store, unless they were
// staged.
func (e *engine) load(body []byte) error {
	next := &chivemap.Map{}
	if err := cbor.Unmarshal(body, next); err != nil {
		return err
	}
	e.group.mu.Lock()
	digest := digestOf(body)
	known, moves := e.staged[digest], e.moves(next)
	e.group.mu.Unlock()
	if !known {
		e.group.weights.wait(moves)
	}
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.staged[digest] = true
	return nil
}

// moves returns the number of experts that this rank lacks for a map.
func (e *engine) moves(next *chivemap.Map) int {
	now := e.placed
	if now == nil || now.Ranks != next.Ranks || now.Slots != next.Slots {
		return next.Slots * len(next.Layers)
	}
	return (now.Moves(next) + now.Ranks - 1) / now.Ranks
}

func (e *engine) use(body []byte) {
	e.placed = &chivemap.Map{}
	_ = cbor.Unmarshal(body, e.placed)
	e.expertMap = digestOf(body)
	e.group.count.MapSwitches++
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
