package chivecost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// testScale is that of a service whose answers take most of the time.
var testScale = Scale{UsualPrompt: 800, UsualAnswer: 100, TokenTime: 1, ContextTime: 0.02, ReadTime: 0.016, PairTime: 0.5, EventTokens: 5, PieceTokens: 512}

// TestEstimateOfValues names what each value that a caller may send means to a service that
// has seen no answer: almost the usual request.
func TestEstimateOfValues(t *testing.T) {
	tests := []struct {
		give      string
		statement Statement
		prompt    float64
		like      Statement
	}{
		{"nothing is stated", Statement{}, 800, Statement{}},
		{"negative", Statement{Prompt: -1, MaxAnswer: -5, Hint: -2}, 800, Statement{}},
		{"not a number", Statement{Prompt: math.NaN(), MaxAnswer: math.NaN(), Hint: math.NaN()}, 800, Statement{}},
		{"infinite", Statement{Prompt: math.Inf(1), MaxAnswer: math.Inf(1), Hint: math.Inf(-1)}, 800, Statement{}},
		{"huge", Statement{Prompt: 1e300, MaxAnswer: 1e300}, 16 * 800, Statement{Prompt: 16 * 800, MaxAnswer: 1600}},
		{"a hint above the maximum", Statement{MaxAnswer: 50, Hint: 900}, 800, Statement{MaxAnswer: 50, Hint: 50}},
		{"a hint alone", Statement{Hint: 100}, 800, Statement{}},
		{"a prompt alone", Statement{Prompt: 400}, 400, Statement{Prompt: 400}},
	}
	for _, tt := range tests {
		e := Estimator{Scale: testScale}
		got, want := e.Estimate(0, Origin{Route: "r"}, tt.statement), e.Estimate(0, Origin{Route: "r"}, tt.like)
		if got.Prompt != tt.prompt || math.Abs(got.Answer-want.Answer) > 1e-9 || math.Abs(got.Work-want.Work) > 1e-9 {
			t.Errorf("%s: got %+v, want prompt %v and the rest of %+v", tt.give, got, tt.prompt, want)
		}
		if got.Answer < 70 || got.Answer > 140 {
			t.Errorf("%s: a service that has seen no answer expects %.0f tokens, want about the usual 100", tt.give, got.Answer)
		}
	}
	if got := (&Estimator{}).Estimate(0, Origin{}, Statement{Prompt: 9}); got.Work != 1 {
		t.Errorf("without a scale: work %v, want 1", got.Work)
	}
}

// answerLoad is a load of requests whose answers vary.
type answerLoad struct {
	give string
	// mean is the mean length of the answers of the route, in usual ones.
	mean float64
	// statement returns what a caller says of an answer.
	statement func(r *rand.Rand, actual float64) Statement
}

// answerLoads are the loads of the tests of errors.
var answerLoads = []answerLoad{
	{"sound maxima and hints", 1, func(r *rand.Rand, a float64) Statement { return Statement{MaxAnswer: a, Hint: noisyHint(r, a)} }},
	{"maxima of three times, hints", 1, func(r *rand.Rand, a float64) Statement { return Statement{MaxAnswer: 3 * a, Hint: noisyHint(r, a)} }},
	{"the same maximum for all, hints", 1, func(r *rand.Rand, a float64) Statement { return Statement{MaxAnswer: 400, Hint: noisyHint(r, a)} }},
	{"hints that lie", 1, func(r *rand.Rand, _ float64) Statement { return Statement{Hint: 400 * r.Float64()} }},
	{"a route unlike the usual", 0.3, func(*rand.Rand, float64) Statement { return Statement{Hint: 100} }},
	{"all alike", 1, func(*rand.Rand, float64) Statement { return Statement{} }},
}

// noisyHint is right at the median and often far off.
func noisyHint(r *rand.Rand, actual float64) float64 {
	return actual * math.Exp(0.5*r.NormFloat64())
}

// lengthOf draws a length from a heavy tail, at most 2.5 times the mean.
func lengthOf(r *rand.Rand, mean float64) float64 {
	return max(5, min(2.5*mean, mean*0.75*math.Exp(0.8*r.NormFloat64())))
}

// TestEstimateError compares the errors of estimates with those of three twins: each request
// counts as usual, the stated maximum is believed, and the hint is believed.
func TestEstimateError(t *testing.T) {
	for _, l := range answerLoads {
		r, e := rand.New(rand.NewPCG(8, 1)), Estimator{Scale: testScale}
		var got, counted, stated, hinted float64
		for i := range 1200 {
			actual := lengthOf(r, l.mean*testScale.UsualAnswer)
			s := l.statement(r, actual)
			o := Origin{Route: "r", Workspace: fmt.Sprint("w", i%5)}
			x := e.Estimate(time.Duration(i)*10*time.Millisecond, o, s)
			got += math.Abs(x.Answer - actual)
			counted += math.Abs(testScale.UsualAnswer - actual)
			stated += math.Abs(orUsual(s.MaxAnswer) - actual)
			hinted += math.Abs(orUsual(s.Hint) - actual)
			e.Learn(time.Duration(i)*10*time.Millisecond, o, x, actual, true)
		}
		t.Logf("%s: error %.1f, counting %.1f, maximum believed %.1f, hint believed %.1f", l.give, got/1200, counted/1200, stated/1200, hinted/1200)
		// What is exact is not beaten; learning costs some answers.
		best := min(counted, max(stated, 12*1200), hinted)
		if got > 1.05*best {
			t.Errorf("%s: error %.1f, want at most that of the best twin, %.1f", l.give, got/1200, best/1200)
		}
	}
}

// TestColdStart checks the first ten answers of a service: their estimates are no worse than
// counting each request as usual, also where hints lie.
func TestColdStart(t *testing.T) {
	for _, l := range answerLoads {
		r := rand.New(rand.NewPCG(5, 5))
		var got, counted float64
		for range 200 {
			e := Estimator{Scale: testScale}
			for i := range 10 {
				actual := lengthOf(r, l.mean*testScale.UsualAnswer)
				o := Origin{Route: "r", Workspace: "w"}
				x := e.Estimate(time.Duration(i)*time.Second, o, l.statement(r, actual))
				got += math.Abs(x.Answer - actual)
				counted += math.Abs(testScale.UsualAnswer - actual)
				e.Learn(time.Duration(i)*time.Second, o, x, actual, true)
			}
		}
		t.Logf("%s: error %.1f, counting %.1f", l.give, got/2000, counted/2000)
		if got > 1.05*counted {
			t.Errorf("%s: error %.1f, want at most that of counting, %.1f", l.give, got/2000, counted/2000)
		}
	}
}

func orUsual(tokens float64) float64 {
	if tokens == 0 {
		return testScale.UsualAnswer
	}
	return tokens
}

// TestStatingWrongGainsNothing checks workspaces that state too little or too much among
// others that are right: once some answers have ended, they are expected to take what they
// take, and others are not misjudged.
func TestStatingWrongGainsNothing(t *testing.T) {
	for _, factor := range []float64{0.1, 0.3, 1, 3} {
		r, e := rand.New(rand.NewPCG(4, 4)), Estimator{Scale: testScale}
		var expected, actual [2]float64
		for i := range 800 {
			now, who := time.Duration(i)*20*time.Millisecond, i%2
			length := lengthOf(r, testScale.UsualAnswer)
			s := Statement{MaxAnswer: length, Hint: length}
			if who == 1 {
				s = Statement{MaxAnswer: factor * length, Hint: factor * length}
			}
			o := Origin{Route: "r", Workspace: [...]string{"sound", "wrong"}[who]}
			x := e.Estimate(now, o, s)
			if i >= 200 {
				expected[who] += x.Answer
				actual[who] += length
			}
			e.Learn(now, o, x, length, true)
		}
		for who, name := range [...]string{"sound", "wrong"} {
			if ratio := expected[who] / actual[who]; ratio < 0.85 || ratio > 1.2 {
				t.Errorf("one workspace states %v times: expected %.2f of what the answers of %q take", factor, ratio, name)
			}
		}
	}
}

// TestForgetting checks that estimates follow a change of the answers of a route.
func TestForgetting(t *testing.T) {
	e, o := Estimator{Scale: testScale}, Origin{Route: "r"}
	for i := range 4000 {
		now := time.Duration(i) * 100 * time.Millisecond
		actual := 100.0
		if i >= 2000 {
			actual = 250
		}
		e.Learn(now, o, e.Estimate(now, o, Statement{}), actual, true)
	}
	if got := e.Estimate(400*time.Second, o, Statement{}).Answer; got < 230 || got > 270 {
		t.Errorf("expected %.0f tokens after the answers grew from 100 to 250", got)
	}
}

// TestLearnLowerBounds checks answers that broke off: short ones say nothing, longer ones
// than expected do.
func TestLearnLowerBounds(t *testing.T) {
	for _, tt := range []struct {
		give   string
		answer float64
		grows  bool
	}{{"shorter than expected", 20, false}, {"longer than expected", 300, true}, {"not a number", math.NaN(), false}, {"nothing", 0, false}} {
		e, o := Estimator{Scale: testScale}, Origin{Route: "r", Workspace: "w", Part: "p"}
		before := e.Estimate(0, o, Statement{})
		for range 20 {
			e.Learn(0, o, before, tt.answer, false)
		}
		after := e.Estimate(0, o, Statement{})
		if grows := after.Answer > 1.2*before.Answer; grows != tt.grows || !tt.grows && after.Answer != before.Answer {
			t.Errorf("%s: expected %.0f before and %.0f after", tt.give, before.Answer, after.Answer)
		}
	}
}

// TestBoundedMemory checks a flood of parts, workspaces and routes: memory is bounded, and
// parts do not remove what was learned of workspaces.
func TestBoundedMemory(t *testing.T) {
	e := Estimator{Scale: testScale}
	known := Origin{Route: "r", Workspace: "w"}
	for range 50 {
		e.Learn(0, known, e.Estimate(0, known, Statement{}), 250, true)
	}
	want := e.Estimate(0, known, Statement{}).Answer
	for i := range 5 * maxGeneration {
		o := Origin{Route: "r", Part: fmt.Sprint(i)}
		e.Learn(0, o, e.Estimate(0, o, Statement{}), 250, true)
	}
	if got := e.Estimate(0, known, Statement{}).Answer; got < 0.9*want {
		t.Errorf("after a flood of parts a workspace is expected to take %.0f tokens, %.0f before", got, want)
	}
	for i := range 5 * maxGeneration {
		o := Origin{Route: fmt.Sprint(i), Workspace: fmt.Sprint(i)}
		e.Learn(0, o, e.Estimate(0, o, Statement{}), 250, true)
	}
	for _, n := range []int{len(e.routes), len(e.workspaces.young), len(e.workspaces.old), len(e.parts.young), len(e.parts.old)} {
		if n > maxGeneration {
			t.Errorf("%d entries are remembered, want at most %d", n, maxGeneration)
		}
	}
}

// TestLeft checks the work that is left as an answer goes on.
func TestLeft(t *testing.T) {
	e := Estimator{Scale: testScale}
	x := e.Estimate(0, Origin{}, Statement{})
	tests := []struct {
		give    string
		written float64
		read    bool
		low     float64
		high    float64
	}{
		{"not read yet", 0, false, 0.999, 1.001},
		{"read", 0, true, 0.8, 0.95},
		{"half", 50, true, 0.4, 0.5},
		{"at its estimate", 100, true, 0.05, 0.15},
		{"twice its estimate", 200, true, 0.25, 0.4},
		{"resumed at another runner", 50, false, 0.5, 0.62},
		{"more than any answer has", 1e18, false, 1, 5},
		{"not a number", math.NaN(), true, 0.8, 0.95},
	}
	for _, tt := range tests {
		if got := testScale.Left(x, tt.written, tt.read); got < tt.low || got > tt.high {
			t.Errorf("%s: %.3f left, want %v to %v", tt.give, got, tt.low, tt.high)
		}
	}
	if got := (&Scale{}).Left(Estimate{Work: 1}, 10, true); got != 1 {
		t.Errorf("without a scale: %v left, want 1", got)
	}
}

// TestEstimateAllocates checks that an estimate allocates nothing.
func TestEstimateAllocates(t *testing.T) {
	e, o := trainedEstimator()
	if n := testing.AllocsPerRun(100, func() { e.Estimate(time.Second, o, Statement{Prompt: 700, MaxAnswer: 90, Hint: 80}) }); n > 0 {
		t.Errorf("an estimate allocates %v times", n)
	}
}

func trainedEstimator() (*Estimator, Origin) {
	e, o := &Estimator{Scale: testScale}, Origin{Route: "r", Workspace: "w", Part: "5c1e07a2"}
	for range 20 {
		s := Statement{Prompt: 700, MaxAnswer: 90, Hint: 80}
		e.Learn(0, o, e.Estimate(0, o, s), 85, true)
	}
	return e, o
}

func BenchmarkEstimate(b *testing.B) {
	e, o := trainedEstimator()
	b.ReportAllocs()
	for b.Loop() {
		e.Estimate(time.Second, o, Statement{Prompt: 700, MaxAnswer: 90, Hint: 80})
	}
}
