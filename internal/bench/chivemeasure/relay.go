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
	// relayNet is the second byte of the loopback addresses of the fleets.
	relayNet = 170
	// relayRunners is the number of model runners in each of two zones.
	relayRunners = 2
	// relayTokens is the length of an answer.
	relayTokens = 100
	// relayRounds is the number of answers that each stream requests one after another.
	relayRounds   = 3
	relayStepTime = 20 * time.Millisecond
	// relayCostStepTime is the step time of the engines while processor time is measured.
	relayCostStepTime = 10 * time.Millisecond
	// maxHistogramMicroseconds is the highest value that the histograms record.
	maxHistogramMicroseconds = 60_000_000
)

// relayTimes holds the latencies of parallel streams in microseconds: to the first
// token and between tokens.
type relayTimes struct {
	firstToken, tokenGaps *hdrhistogram.Histogram
	failed                int
}

func newRelayTimes() *relayTimes {
	return &relayTimes{firstToken: hdrhistogram.New(1, maxHistogramMicroseconds, 3), tokenGaps: hdrhistogram.New(1, maxHistogramMicroseconds, 3)}
}

// add records the latencies of an answer, or counts it as failed.
func (t *relayTimes) add(r *chiveharness.Result) {
	if !r.Complete {
		t.failed++
		return
	}
	_ = t.firstToken.RecordValue(r.FirstTokenTime.Microseconds())
	for _, g := range r.TokenGaps {
		_ = t.tokenGaps.RecordValue(g.Microseconds())
	}
}

// percentileMillis returns percentile q of a histogram, between 0 and 100, in
// milliseconds.
func percentileMillis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Relay compares the latencies of streams through a gateway and agents with those of
// streams directly from the same engines, measures the processor time per relayed
// token, and writes a table to out.
func Relay(ctx context.Context, s Settings, out io.Writer) error {
	_, _ = fmt.Fprintf(out, "# Relay\n\nStreams of %d tokens at a step time of %v, through one gateway and %d agents and straight from the same engines, in turn in one run. Times in ms.\n\n", relayTokens, relayStepTime, 2*relayRunners)
	_, _ = fmt.Fprintln(out, "| streams | way | first token p50 | p99 | between tokens p50 | p99 | failed |")
	_, _ = fmt.Fprintln(out, "|--:|--|--:|--:|--:|--:|--:|")
	err := withFleet(ctx, s, relayStepTime, func(f *chiveharness.Fleet) error {
		for _, streams := range []int{1, 10, 100} {
			for _, direct := range []bool{true, false} {
				times := runStreams(ctx, f, streams, direct)
				path := "through chiveyoke"
				if direct {
					path = "direct"
				}
				_, _ = fmt.Fprintf(out, "| %d | %s | %.2f | %.2f | %.2f | %.2f | %d |\n", streams, path,
					percentileMillis(times.firstToken, 50), percentileMillis(times.firstToken, 99), percentileMillis(times.tokenGaps, 50), percentileMillis(times.tokenGaps, 99), times.failed)
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	return withFleet(ctx, s, relayCostStepTime, func(f *chiveharness.Fleet) error { return measureRelayCost(ctx, f, out) })
}

// withFleet starts a fleet with one gateway, calls do with it, and stops it.
func withFleet(ctx context.Context, s Settings, step time.Duration, do func(f *chiveharness.Fleet) error) error {
	dir, err := os.MkdirTemp("", "chiveyoke-measure-")
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fleet, err := chiveharness.Start(ctx, chiveharness.Settings{
		Sheet: chiveharness.WarmSheet(relayNet, relayRunners), Net: relayNet, Gateways: 1, Bin: s.BinDir, Dir: dir, StepTime: step, PlanInterval: time.Hour,
	})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	return do(fleet)
}

// runStreams runs a number of streams in parallel and returns their latencies. With
// direct they bypass the gateway and the agents.
func runStreams(ctx context.Context, f *chiveharness.Fleet, streams int, direct bool) *relayTimes {
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
					r = c.GenerateDirect(ctx, f.Sheet.Endpoints[i%relayRunners].Engine, "draft", prompt, relayTokens)
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

// measureRelayCost measures the processor time per relayed token at the gateway and at
// the agents, and writes a table to out.
func measureRelayCost(ctx context.Context, f *chiveharness.Fleet, out io.Writer) error {
	_, _ = fmt.Fprintf(out, "\nProcessor time while streams run at a step time of %v:\n\n| streams | tokens/s | gateway: tokens a core-second | agents: tokens a core-second | gateway MB | agent MB |\n|--:|--:|--:|--:|--:|--:|\n", relayCostStepTime)
	for _, streams := range []int{10, 50, 100, 200} {
		before, err := readAllUsage(ctx, f)
		if err != nil {
			return err
		}
		startedAt := time.Now()
		times := runStreams(ctx, f, streams, false)
		after, err := readAllUsage(ctx, f)
		if err != nil {
			return err
		}
		tokens := float64(streams * relayRounds * relayTokens)
		name := f.VMs[0].Name
		gatewaySeconds := (after[name].cpuTime - before[name].cpuTime).Seconds()
		var agentSeconds, agentBytes float64
		for _, e := range f.Sheet.Endpoints {
			agentSeconds += (after[e.Name].cpuTime - before[e.Name].cpuTime).Seconds()
			agentBytes = max(agentBytes, float64(after[e.Name].residentBytes))
		}
		_, _ = fmt.Fprintf(out, "| %d | %.0f | %.0f | %.0f | %.1f | %.1f |\n", streams, tokens/time.Since(startedAt).Seconds(),
			tokens/gatewaySeconds, tokens/agentSeconds, float64(after[name].residentBytes)/1e6, agentBytes/1e6)
		if times.failed > 0 {
			_, _ = fmt.Fprintf(out, "\n%d of %d streams failed.\n", times.failed, streams*relayRounds)
		}
	}
	return nil
}
