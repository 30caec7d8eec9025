package chivemeasure

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveharness"
)

const (
	relayNet     = 170
	relayRunners = 2
	relayTokens  = 100
	// relayRounds is the number of answers that each stream gets in turn.
	relayRounds = 3
	relayStep   = 20 * time.Millisecond
	// fastStep is the step time under which processor time is measured.
	fastStep = 10 * time.Millisecond
	// histogramMax is the longest time that is told apart, in microseconds.
	histogramMax = 60_000_000
)

// relayTimes holds the times of one number of streams.
type relayTimes struct {
	first, gaps *hdrhistogram.Histogram
	failed      int
}

func newRelayTimes() *relayTimes {
	return &relayTimes{first: hdrhistogram.New(1, histogramMax, 3), gaps: hdrhistogram.New(1, histogramMax, 3)}
}

func (t *relayTimes) add(r *chiveharness.Result) {
	if !r.Whole {
		t.failed++
		return
	}
	_ = t.first.RecordValue(r.First.Microseconds())
	for _, g := range r.Gaps {
		_ = t.gaps.RecordValue(g.Microseconds())
	}
}

func millis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Relay compares streams through gateway and agent with streams from the same
// engines, and measures the processor time of a relayed token.
func Relay(ctx context.Context, s Settings, out io.Writer) error {
	_, _ = fmt.Fprintf(out, "# Relay\n\nStreams of %d tokens at a step time of %v, through one gateway and %d agents and straight from the same engines, in turn in one run. Times in ms.\n\n", relayTokens, relayStep, 2*relayRunners)
	_, _ = fmt.Fprintln(out, "| streams | way | first token p50 | p99 | between tokens p50 | p99 | failed |")
	_, _ = fmt.Fprintln(out, "|--:|--|--:|--:|--:|--:|--:|")
	err := withFleet(ctx, s, relayStep, func(f *chiveharness.Fleet) error {
		for _, streams := range []int{1, 10, 100} {
			for _, direct := range []bool{true, false} {
				t := relayRound(ctx, f, streams, direct)
				way := "through chiveyoke"
				if direct {
					way = "direct"
				}
				_, _ = fmt.Fprintf(out, "| %d | %s | %.2f | %.2f | %.2f | %.2f | %d |\n", streams, way,
					millis(t.first, 50), millis(t.first, 99), millis(t.gaps, 50), millis(t.gaps, 99), t.failed)
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	return withFleet(ctx, s, fastStep, func(f *chiveharness.Fleet) error { return relayCost(ctx, f, out) })
}

// withFleet runs a function on a fleet of one gateway.
func withFleet(ctx context.Context, s Settings, step time.Duration, do func(f *chiveharness.Fleet) error) error {
	dir, err := os.MkdirTemp("", "chiveyoke-measure-")
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fleet, err := chiveharness.Start(ctx, chiveharness.Settings{
		Sheet: chiveharness.WarmSheet(relayNet, relayRunners), Net: relayNet, Gateways: 1, Bin: s.BinDir, Dir: dir, Step: step, Plan: time.Hour,
	})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	return do(fleet)
}

// relayRound has streams run side by side and returns their times.
func relayRound(ctx context.Context, f *chiveharness.Fleet, streams int, direct bool) *relayTimes {
	t := newRelayTimes()
	var mu sync.Mutex
	var running sync.WaitGroup
	for i := range streams {
		running.Add(1)
		go func() {
			defer running.Done()
			c := f.NewCaller("large")
			defer c.Close()
			for n := range relayRounds {
				prompt := fmt.Sprintf("Stream %d, answer %d.", i, n)
				var r *chiveharness.Result
				if direct {
					r = c.Direct(ctx, f.Sheet.Endpoints[i%relayRunners].Engine, "draft", prompt, relayTokens)
				} else {
					r = c.Generate(ctx, "draft", prompt, relayTokens)
				}
				mu.Lock()
				t.add(r)
				mu.Unlock()
			}
		}()
	}
	running.Wait()
	return t
}

// relayCost measures the processor time of a relayed token at the gateway and at
// the agents.
func relayCost(ctx context.Context, f *chiveharness.Fleet, out io.Writer) error {
	_, _ = fmt.Fprintf(out, "\nProcessor time while streams run at a step time of %v:\n\n| streams | tokens/s | gateway: tokens a core-second | agents: tokens a core-second | gateway MB | agent MB |\n|--:|--:|--:|--:|--:|--:|\n", fastStep)
	for _, streams := range []int{10, 50, 100, 200} {
		before, err := readAll(ctx, f)
		if err != nil {
			return err
		}
		began := time.Now()
		t := relayRound(ctx, f, streams, false)
		after, err := readAll(ctx, f)
		if err != nil {
			return err
		}
		tokens := float64(streams * relayRounds * relayTokens)
		name := f.VMs[0].Name
		gateway := (after[name].cpu - before[name].cpu).Seconds()
		var agents, memory float64
		for _, e := range f.Sheet.Endpoints {
			agents += (after[e.Name].cpu - before[e.Name].cpu).Seconds()
			memory = max(memory, float64(after[e.Name].resident))
		}
		_, _ = fmt.Fprintf(out, "| %d | %.0f | %.0f | %.0f | %.1f | %.1f |\n", streams, tokens/time.Since(began).Seconds(),
			tokens/gateway, tokens/agents, float64(after[name].resident)/1e6, memory/1e6)
		if t.failed > 0 {
			_, _ = fmt.Fprintf(out, "\n%d of %d streams failed.\n", t.failed, streams*relayRounds)
		}
	}
	return nil
}
