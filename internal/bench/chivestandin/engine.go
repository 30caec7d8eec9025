package chivestandin

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivemap"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

const (
	// cachedPrefillSteps is the number of steps before the first token of a prompt
	// whose prefix is cached, uncachedPrefillSteps the number for any other prompt.
	cachedPrefillSteps   = 1
	uncachedPrefillSteps = 6
	// maxCachedPrefixes is the capacity of an engine's prefix cache.
	maxCachedPrefixes = 64
	// reportedExperts is the number of experts whose load an engine reports.
	reportedExperts = 64
)

// engine simulates a model engine with continuous batching: each step of its group
// gives every running request a token. group.mu guards its fields.
type engine struct {
	faultInjector
	group *group
	sheet chivesheet.Endpoint

	// startTime is the start of the incarnation in Unix seconds.
	startTime float64
	running   map[*generation]bool
	// completed counts the requests finished since the last restart or KindCold.
	completed int
	// cachedPrefixes holds the least recently used prefix first.
	cachedPrefixes []string
	ignoreFencing  bool
	// stagedMaps holds the digests of the expert maps whose weights are loaded.
	stagedMaps map[string]bool
	// fencingToken is the highest token seen.
	fencingToken uint64
	// held means that the group makes no steps until this rank is released.
	held bool
	// mapDigest and currentMap are the digest and the content of the expert map in use.
	// They are empty until a map is set.
	mapDigest  string
	currentMap *chivemap.Map
	// expertLoads counts the tokens of each expert since the last report.
	expertLoads []uint64
	steps       uint64
	counters    EngineReport
}

// restart begins a new incarnation: it aborts all streams and empties the caches. The
// caller must hold the group's lock or have the only reference to the engine.
func (e *engine) restart() {
	for g := range e.running {
		g.abort()
	}
	e.startTime = float64(time.Now().UnixNano()) / 1e9
	e.running = map[*generation]bool{}
	e.completed = 0
	e.cachedPrefixes = nil
	e.fencingToken = 0
	e.mapDigest = ""
	e.currentMap = nil
	e.stagedMaps = map[string]bool{}
	e.held = e.peerHasMap()
	e.expertLoads = make([]uint64, reportedExperts)
}

// peerHasMap reports whether another rank of the group uses an expert map. If so, a
// rank that restarts is held until its own map is set.
func (e *engine) peerHasMap() bool {
	for _, peer := range e.group.engines {
		if peer != e && peer.mapDigest != "" {
			return true
		}
	}
	return false
}

// capacity returns the number of requests that the engine can run now. It grows from
// the cold limit to the full limit, by one for each completed request.
func (e *engine) capacity() int {
	return min(e.sheet.Full, e.sheet.Cold+e.completed)
}

// setFault applies a fault that changes the state of the engine at once, and sets
// any other fault for the requests that follow.
func (e *engine) setFault(f Fault) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	switch f.Kind {
	case KindRestart:
		e.restart()
	case KindCold:
		e.completed = 0
	case KindLax:
		e.ignoreFencing = true
	default:
		e.set(f)
	}
}

// advance makes one step: every running request past its prefill gets a token. The
// caller must hold the group's lock.
func (e *engine) advance() {
	e.steps++
	if e.faultInjector.activeKind() == KindStall {
		return
	}
	for g := range e.running {
		if g.waitSteps > 0 {
			g.waitSteps--
			continue
		}
		e.expertLoads[(g.nextToken+uint64(len(g.prompt)))%reportedExperts]++
		if g.advance() {
			delete(e.running, g)
			e.completed++
			e.counters.Completed++
		}
	}
}

// activeKind returns the kind of the active fault without counting a request.
func (f *faultInjector) activeKind() Kind {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active.Kind
}

// admit starts a request. A request above the capacity makes the engine restart.
func (e *engine) admit(g *generation) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.counters.Started++
	if len(e.running)+1 > e.capacity() {
		e.counters.Overloads++
		e.restart()
		g.abort()
		return
	}
	g.waitSteps = e.prefill(g.prefix)
	e.running[g] = true
}

// prefill caches a prefix and returns the number of steps before the first token.
func (e *engine) prefill(prefix string) int {
	for i, p := range e.cachedPrefixes {
		if p == prefix {
			e.cachedPrefixes = append(append(e.cachedPrefixes[:i], e.cachedPrefixes[i+1:]...), prefix)
			e.counters.PrefixHits++
			return cachedPrefillSteps
		}
	}
	e.counters.PrefixMisses++
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > maxCachedPrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return uncachedPrefillSteps
}

// cancel removes a request that has ended or whose caller has disconnected.
func (e *engine) cancel(g *generation) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	delete(e.running, g)
}

func (e *engine) report() EngineReport {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.counters.Running = len(e.running)
	return e.counters
}

func (e *engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.generate)
	mux.HandleFunc("GET /metrics", e.metrics)
	mux.HandleFunc("GET /rank", e.getRank)
	mux.HandleFunc("POST /rank/{step}", e.postRank)
	return mux
}

// metrics writes the engine's metrics in the Prometheus text format.
func (e *engine) metrics(w http.ResponseWriter, _ *http.Request) {
	if !e.nextFault().applyBefore(w) {
		return
	}
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	held := 0
	if e.held {
		held = 1
	}
	_, _ = io.WriteString(w, "process_start_time_seconds "+strconv.FormatFloat(e.startTime, 'f', 9, 64)+"\n"+
		"vllm:num_requests_running "+strconv.Itoa(len(e.running))+"\n"+
		"vllm:num_requests_waiting 0\n"+
		"rank_held "+strconv.Itoa(held)+"\n")
}

// rankStatus is the body of the response to GET /rank.
type rankStatus struct {
	Map   string     `json:"map"`
	Held  bool       `json:"held"`
	Step  uint64     `json:"step"`
	Loads [][]uint64 `json:"loads"`
}

// getRank reports the state of the rank and its expert loads since the last call.
func (e *engine) getRank(w http.ResponseWriter, _ *http.Request) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	writeJSON(w, http.StatusOK, rankStatus{Map: e.mapDigest, Held: e.held, Step: e.steps, Loads: [][]uint64{e.expertLoads}})
	e.expertLoads = make([]uint64, reportedExperts)
}

// postRank carries out an order: a step of a switch of the expert map.
func (e *engine) postRank(w http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	body, readErr := io.ReadAll(r.Body)
	if err != nil || readErr != nil {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	if !e.acceptFencingToken(token) {
		http.Error(w, "fencing token is old", http.StatusConflict)
		return
	}
	if err := e.execute(r.PathValue("step"), r.Header.Get("If-Match"), body); err != nil {
		status := http.StatusBadRequest
		if errors.Is(err, errMapDiffers) {
			status = http.StatusPreconditionFailed
		}
		http.Error(w, err.Error(), status)
	}
}

// errMapDiffers is returned for an order on the condition of a map that is not in use.
var errMapDiffers = errors.New("another expert map is in use")

// acceptFencingToken reports whether an order with a fencing token is to be carried
// out, and records the token. It refuses a token lower than the highest one seen,
// unless the engine ignores fencing.
func (e *engine) acceptFencingToken(token uint64) bool {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	if !e.ignoreFencing && token < e.fencingToken {
		return false
	}
	e.fencingToken = max(e.fencingToken, token)
	return true
}

// execute carries out a step of a map switch. An unknown step has no effect. If
// ifMatch is not empty, it is the quoted digest of the map that must be in use.
func (e *engine) execute(step, ifMatch string, body []byte) error {
	if step == "stage" || step == "set" {
		if err := e.stageMap(body); err != nil {
			return err
		}
	}
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	if ifMatch != "" && ifMatch != strconv.Quote(e.mapDigest) {
		return errMapDiffers
	}
	switch step {
	case "hold":
		e.held = true
	case "set":
		e.setMap(body)
	case "release":
		e.held = false
	}
	return nil
}

// stageMap fetches the weights for an expert map from the weight store, unless they
// are staged already.
func (e *engine) stageMap(body []byte) error {
	next := &chivemap.Map{}
	if err := cbor.Unmarshal(body, next); err != nil {
		return err
	}
	e.group.mu.Lock()
	digest := digestOf(body)
	staged, missing := e.stagedMaps[digest], e.missingExperts(next)
	e.group.mu.Unlock()
	if !staged {
		e.group.weights.fetch(missing)
	}
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.stagedMaps[digest] = true
	return nil
}

// missingExperts returns the number of experts that the rank has to fetch for an
// expert map. If the map in use has the same numbers of ranks and slots, this is the
// mean number of experts that a rank has to load for the switch, rounded up; otherwise
// it is the number of slots of the rank in all layers.
func (e *engine) missingExperts(next *chivemap.Map) int {
	current := e.currentMap
	if current == nil || current.Ranks != next.Ranks || current.Slots != next.Slots {
		return next.Slots * len(next.Layers)
	}
	return (current.Moves(next) + current.Ranks - 1) / current.Ranks
}

// setMap puts an expert map into use.
func (e *engine) setMap(body []byte) {
	e.currentMap = &chivemap.Map{}
	_ = cbor.Unmarshal(body, e.currentMap)
	e.mapDigest = digestOf(body)
	e.group.counters.MapSwitches++
}

// digestOf returns the SHA-256 digest of a body in hexadecimal.
func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
