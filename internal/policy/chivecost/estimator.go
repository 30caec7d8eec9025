package chivecost

import (
	"math"
	"time"
)

// Origin names what the lengths of answers are learned by.
type Origin struct {
	Route, Workspace string
	// Part is the longest part of the prompt that other prompts share, or empty.
	Part string
}

// Statement is what a caller says of its request, in tokens; 0 where it says nothing.
type Statement struct {
	// Prompt is the length of the prompt, and MaxAnswer the longest answer it asks for.
	Prompt, MaxAnswer float64
	// Hint is the length of the answer that the caller expects.
	Hint float64
}

// Estimate is what a request is expected to take.
type Estimate struct {
	// Prompt and Answer are the lengths in tokens.
	Prompt, Answer float64
	// Pieces is the number of pieces in which the prompt is read.
	Pieces int
	// Work is the work in usual requests, above 0.
	Work float64

	said lengths
	// plain is the expected length of the answer before it was calibrated.
	plain float64
}

// Estimator learns how long answers are and estimates the work of requests. The zero value
// estimates every request as usual until it has a scale and has seen answers. It is not safe
// for concurrent use.
type Estimator struct {
	Scale Scale

	routes     map[string]*routeRecords
	workspaces generations
	parts      generations
}

// routeRecords holds what was learned of a route.
type routeRecords struct {
	records
	// expected and actual are the sums of estimates and of lengths of ended answers as of at,
	// in tokens. They turn the middle of the logarithms, which is what records hold, into a
	// mean.
	expected, actual float64
	at               time.Duration
}

// maxRoutes bounds the routes that are remembered.
const maxRoutes = 1024

// Estimate returns the expected work of a request at a time, measured from any fixed moment.
func (e *Estimator) Estimate(now time.Duration, o Origin, s Statement) Estimate {
	if !e.Scale.Valid() {
		return Estimate{Work: 1}
	}
	x := Estimate{Prompt: size(s.Prompt, e.Scale.UsualPrompt), said: e.lengths(s)}
	if x.Prompt == 0 {
		x.Prompt = e.Scale.UsualPrompt
	}
	route := e.routes[o.Route]
	x.plain = e.combine(now, o, route, &x.said)
	x.Answer = max(1, size(x.plain*route.calibration(now, e.Scale.UsualAnswer), e.Scale.UsualAnswer))
	if e.Scale.PieceTokens > 0 {
		x.Pieces = int(math.Ceil(x.Prompt / e.Scale.PieceTokens))
	}
	x.Work = e.Scale.Work(x.Prompt, x.Answer)
	return x
}

// lengths returns the length that each source says.
func (e *Estimator) lengths(s Statement) lengths {
	l := lengths{fromUsual: e.Scale.UsualAnswer, fromMaximum: size(s.MaxAnswer, e.Scale.UsualAnswer), fromHint: size(s.Hint, e.Scale.UsualAnswer)}
	if l[fromMaximum] > 0 {
		l[fromHint] = min(l[fromHint], l[fromMaximum])
	}
	return l
}

// combine returns the mean of the logarithms that the sources give, weighted by how far each
// has proved right.
func (e *Estimator) combine(now time.Duration, o Origin, route *routeRecords, said *lengths) float64 {
	var workspace, part *records
	if o.Workspace != "" {
		workspace = e.workspaces.find(scopeKey{o.Route, o.Workspace})
	}
	if o.Part != "" {
		part = e.parts.find(scopeKey{o.Route, o.Part})
	}
	var sum, weights float64
	for i, length := range said {
		if length == 0 {
			continue
		}
		bias, spread := 0.0, priorSpreads[i]
		if route != nil {
			bias, spread = route.records[i].narrow(now, bias, spread)
		}
		if workspace != nil {
			bias, spread = workspace[i].narrow(now, bias, spread)
		}
		if part != nil {
			bias, spread = part[i].narrow(now, bias, spread)
		}
		w := 1 / (spread + minSpread)
		sum += w * (math.Log(length) + bias)
		weights += w
	}
	return math.Exp(sum / weights)
}

// Learn compares an estimate with the length of the answer, in tokens. An answer that broke
// off is a lower bound of what it would have been.
func (e *Estimator) Learn(now time.Duration, o Origin, x Estimate, answer float64, complete bool) {
	if !e.Scale.Valid() || x.plain == 0 || !(answer > 0) || !complete && answer <= x.Answer {
		return
	}
	answer = size(answer, e.Scale.UsualAnswer)
	route := e.routes[o.Route]
	if route == nil {
		if e.routes == nil || len(e.routes) >= maxRoutes {
			e.routes = map[string]*routeRecords{}
		}
		route = &routeRecords{}
		e.routes[o.Route] = route
	}
	route.add(now, &x.said, answer)
	route.calibrate(now, x.plain, answer)
	if o.Workspace != "" {
		e.workspaces.use(scopeKey{o.Route, o.Workspace}).add(now, &x.said, answer)
	}
	if o.Part != "" {
		e.parts.use(scopeKey{o.Route, o.Part}).add(now, &x.said, answer)
	}
}

// calibrate adds an estimate and the actual length.
func (r *routeRecords) calibrate(now time.Duration, expected, actual float64) {
	keep := r.kept(now)
	r.expected, r.actual, r.at = keep*r.expected+expected, keep*r.actual+actual, max(r.at, now)
}

// calibration returns by what estimates are multiplied to be right in the mean. Nothing is
// known of a nil record.
func (r *routeRecords) calibration(now time.Duration, usual float64) float64 {
	if r == nil {
		return 1
	}
	keep, prior := r.kept(now), priorWeight*usual
	return (keep*r.actual + prior) / (keep*r.expected + prior)
}

// kept returns what is left of the weight of the sums.
func (r *routeRecords) kept(now time.Duration) float64 {
	return math.Exp2(-float64(max(0, now-r.at)) / float64(halfLife))
}
