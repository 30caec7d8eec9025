package chiverelay

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivecost"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// workWeight is the weight of the work left at a runner against the number of its requests.
const workWeight = 0.2

// WorkBook holds what was learned of the work of requests, by service. The zero value is
// empty. It is safe for concurrent use.
type WorkBook struct {
	mu         sync.Mutex
	estimators map[string]*chivecost.Estimator
}

// estimate returns the expected work of a request to a service that has a scale.
func (b *WorkBook) estimate(s *chivefleet.Service, o chivecost.Origin, said chivecost.Statement) chivecost.Estimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.estimator(s).Estimate(time.Duration(chiveclock.Now()), o, said)
}

// learn compares an estimate with the length of the answer in tokens.
func (b *WorkBook) learn(s *chivefleet.Service, o chivecost.Origin, x chivecost.Estimate, answer float64, complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.estimator(s).Learn(time.Duration(chiveclock.Now()), o, x, answer, complete)
}

// estimator returns the estimator of a service, with the scale that is in force. What was
// learned under another scale is kept: bias and spread are ratios. The caller must hold mu.
func (b *WorkBook) estimator(s *chivefleet.Service) *chivecost.Estimator {
	e := b.estimators[s.Name]
	if e == nil {
		if b.estimators == nil {
			b.estimators = map[string]*chivecost.Estimator{}
		}
		e = &chivecost.Estimator{}
		b.estimators[s.Name] = e
	}
	e.Scale = *s.Scale
	return e
}

// workLeft is the work that is left of a request, in usual requests; 0 if it is not estimated.
// It is safe for concurrent use.
type workLeft struct {
	bits atomic.Uint64
}

func (w *workLeft) set(work float64) {
	w.bits.Store(math.Float64bits(work))
}

func (w *workLeft) get() float64 {
	return math.Float64frombits(w.bits.Load())
}

// workLeft returns the work that is left of this entry VM's requests at a runner. Those that
// are not estimated, or were reserved and not yet sent, count as usual ones. The caller must
// hold mu.
func (rs *RunnerState) workLeft(id string) float64 {
	attempts := rs.inflight[id]
	work := max(0, float64(rs.loads.local[id]-len(attempts)))
	for a := range attempts {
		if left := a.left.get(); left > 0 {
			work += left
		} else {
			work++
		}
	}
	return work
}

// LocalWork returns the work that is left of this entry VM's requests, in usual requests by
// runner ID, or nil if none of them is estimated.
func (rs *RunnerState) LocalWork() map[string]float64 {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var work map[string]float64
	for id, attempts := range rs.inflight {
		for a := range attempts {
			if a.left.get() == 0 {
				continue
			}
			if work == nil {
				work = make(map[string]float64, len(rs.loads.local))
			}
			work[id] = rs.workLeft(id)
			break
		}
	}
	if work == nil {
		return nil
	}
	for id, n := range rs.loads.local {
		if _, ok := work[id]; !ok {
			work[id] = float64(n)
		}
	}
	return work
}

// estimateWork sets the expected work of the request if its service is balanced by work.
func (x *exchange) estimateWork() {
	// The length of an answer is known by its events alone.
	if x.service.Scale == nil || x.route.Kind != chivefleet.Streaming {
		return
	}
	x.estimate = x.relay.Work.estimate(x.service, x.origin(), x.request.Stated)
	x.work = x.service.Scale.Left(x.estimate, x.written(), false)
}

// origin returns what the work of the request is learned by.
func (x *exchange) origin() chivecost.Origin {
	o := chivecost.Origin{Route: x.route.Name, Workspace: x.workspaceName()}
	if n := len(x.request.Parts); n > 0 {
		o.Part = x.request.Parts[n-1]
	}
	return o
}

// written returns the tokens of the answer that the caller has.
func (x *exchange) written() float64 {
	return float64(x.lastEvent+1) * x.service.Scale.EventTokens
}

// noteProgress updates the work that is left of the current attempt.
func (x *exchange) noteProgress() {
	if x.estimate.Answer > 0 {
		x.current.left.set(x.service.Scale.Left(x.estimate, x.written(), x.lastEventTime > x.current.startedAt))
	}
}

// actualWork returns the work of the answer as far as this exchange has brought it.
func (x *exchange) actualWork() float64 {
	events := max(0, x.lastEvent-x.request.LastEvent)
	return x.service.Scale.Work(x.estimate.Prompt, float64(events)*x.service.Scale.EventTokens)
}

// chargeWork returns the cost with which the workspace is charged when the request starts:
// the estimate in tokens of usual requests, or else what the caller states.
func (x *exchange) chargeWork() float64 {
	if x.estimate.Answer == 0 {
		return max(1, x.request.Cost)
	}
	x.charged = x.work
	return x.charged * usualCost(x.service.Scale)
}

// answerTokenCost is the cost of a token of an answer in tokens of prompts, as in the costs
// that callers state.
const answerTokenCost = 10

// usualCost returns the cost of a usual request in tokens of prompts, in which the usage of
// workspaces is told to other entry VMs.
func usualCost(s *chivecost.Scale) float64 {
	return s.UsualPrompt + answerTokenCost*s.UsualAnswer
}

// learnWork compares the estimate with the answer, and corrects what the workspace was
// charged with.
func (x *exchange) learnWork() {
	if x.estimate.Answer == 0 {
		return
	}
	if x.lastEvent > x.request.LastEvent {
		x.relay.Work.learn(x.service, x.origin(), x.estimate, x.written(), x.cause == "")
	}
	if x.charged > 0 {
		x.relay.State.addUsage(x.service.Name, x.workspace.Name, (x.actualWork()-x.charged)*usualCost(x.service.Scale))
	}
}

// workFields returns the log fields of the work of the request: the estimate and what it rests
// on, the requests and the work at the runner when it was chosen, and the actual work if the
// answer has begun.
func (x *exchange) workFields() []any {
	fields := []any{
		"work", round(x.work), "steps", math.Round(x.estimate.Answer), "pieces", x.estimate.Pieces, "said", x.request.Stated,
		"busy", x.choice.InFlight, "left", round(x.choice.Work),
	}
	if x.lastEvent > x.request.LastEvent {
		fields = append(fields, "actual", round(x.actualWork()))
	}
	return fields
}

// round rounds a value for logs, to two decimal places.
func round(value float64) float64 {
	return math.Round(value*100) / 100
}
