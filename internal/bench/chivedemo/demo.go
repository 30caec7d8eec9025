// Package chivedemo implements the demo: one example as separate processes,
// with callers whose answers are checked.
package chivedemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveharness"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

const (
	// addressLifetime is that of answers of addresses, short so that the demo ends soon.
	addressLifetime = time.Second
	// stopTimeout bounds the graceful stop of one process.
	stopTimeout = 15 * time.Second
	// callerCount is the number of callerCount that send while a zone leaves and returns.
	callerCount = 8
	// zonePhaseTime is how long the zone stays out, under load.
	zonePhaseTime = 1500 * time.Millisecond
	// draftTokens is the length of a draft.
	draftTokens = 24
	// timelineLines is the number of events that are printed.
	timelineLines = 12
)

// A Settings says which example to run.
type Settings struct {
	// Sheet is the path of the example's sheet.
	Sheet string
	// Bin is the directory of the programs.
	Bin      string
	Gateways int
	Timeout  time.Duration
}

// demo is one run.
type demo struct {
	fleet *chiveharness.Fleet
	out   io.Writer
	model string
	// service and workspaces are those of the sheet.
	service    string
	workspaces []chivesheet.Workspace

	mu       sync.Mutex
	sent     int
	served   int
	problems []error
}

// Run runs the demo. It returns an error where an answer was lost, doubled,
// crossed or cut, or a process did not stop gracefully.
func Run(ctx context.Context, s Settings, out io.Writer) error {
	raw, err := os.ReadFile(s.Sheet)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "chiveyoke-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	sheet, err := chivesheet.Parse(raw)
	if err != nil {
		return err
	}
	began := time.Now()
	fleet, err := chiveharness.Start(ctx, chiveharness.Settings{
		Sheet: raw, Net: chiveharness.SheetNet(sheet), Gateways: s.Gateways, Bin: s.Bin, Dir: dir, AddressLifetime: addressLifetime,
	})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	d := &demo{fleet: fleet, out: out, model: sheet.Groups[0].Model, service: sheet.Services[0].Name, workspaces: sheet.Workspaces}
	d.printf("%d processes serve version 1 of %s after %v.\n", len(fleet.Processes), s.Sheet, time.Since(began).Round(time.Millisecond))
	d.run(ctx)
	return d.stopFleet()
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format, args...)
}

func (d *demo) run(ctx context.Context) {
	d.streamDraft(ctx)
	d.repeatOrder(ctx)
	d.drainZone(ctx)
	d.printTimeline(ctx)
	d.checkOrders()
}

// streamDraft serves one quote streamDraft as a stream.
func (d *demo) streamDraft(ctx context.Context) {
	w := d.workspaces[0].Name
	caller := d.fleet.NewCaller(w)
	defer caller.Close()
	prompt := "Quote for six treadmills and a rowing machine."
	r := caller.Generate(ctx, d.model, prompt, draftTokens)
	d.checkDraft(w, prompt, r)
	d.printf("Draft for %s: %d bytes, first token after %v, whole after %v, at %s.\n",
		w, len(r.Text), r.FirstTokenTime.Round(time.Millisecond), r.TotalTime.Round(time.Millisecond), r.Gateway)
}

// repeatOrder calls the service twice under one key.
func (d *demo) repeatOrder(ctx context.Context) {
	w := d.workspaces[0].Name
	caller := d.fleet.NewCaller(w)
	defer caller.Close()
	body := `{"machine":"treadmill","count":6}`
	for range 2 {
		r := caller.Post(ctx, d.service, "/orders", body, "order-1")
		if !r.Complete {
			d.addProblem(fmt.Errorf("order under a key: %s", r.Error))
		}
		d.printf("Order for %s under key order-1: status %d, replayed %t.\n", w, r.Status, r.Replayed)
	}
}

// drainZone takes an availability drainZone out and in while callers send.
func (d *demo) drainZone(ctx context.Context) {
	sending, stop := context.WithCancel(ctx)
	var senders sync.WaitGroup
	for i := range callerCount {
		senders.Add(1)
		go func() {
			defer senders.Done()
			d.runCaller(ctx, sending, i)
		}()
	}
	zone := d.fleet.Sheet.Zones[0].Name
	d.changeZone(ctx, chiveconf.KindZoneOut, zone)
	d.waitUnderLoad(ctx)
	d.changeZone(ctx, chiveconf.KindZoneIn, zone)
	d.waitUnderLoad(ctx)
	stop()
	senders.Wait()
	d.printf("While zone %s went out and in, %d requests were sent and %d served.\n", zone, d.sent, d.served)
}

// waitUnderLoad lets the load run for a while.
func (d *demo) waitUnderLoad(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(zonePhaseTime):
	}
}

func (d *demo) changeZone(ctx context.Context, kind chiveconf.ChangeKind, zone string) {
	began := time.Now()
	op := d.fleet.Operator()
	head, err := op.Head(ctx)
	if err == nil {
		head, err = op.Change(ctx, chiveharness.NewChange(kind, zone, head.Version))
	}
	if err == nil {
		err = d.fleet.WaitInForce(ctx, head.Version)
	}
	if err != nil {
		d.addProblem(err)
		return
	}
	d.printf("Zone %s %s: version %d in force in every process after %v.\n", zone, kind, head.Version, time.Since(began).Round(time.Millisecond))
}

// runCaller sends drafts and orders until told to stop.
func (d *demo) runCaller(ctx, sending context.Context, i int) {
	w := d.workspaces[i%len(d.workspaces)].Name
	caller := d.fleet.NewCaller(w)
	defer caller.Close()
	for n := 0; sending.Err() == nil; n++ {
		prompt := fmt.Sprintf("Draft %d of caller %d.", n, i)
		d.checkDraft(w, prompt, caller.Generate(ctx, d.model, prompt, draftTokens))
		order := caller.Post(ctx, d.service, "/orders", fmt.Sprintf(`{"order":"%d-%d"}`, i, n), "")
		if !order.Complete {
			d.addProblem(fmt.Errorf("order %d of caller %d: %s", n, i, order.Error))
		}
	}
}

// checkDraft compares an answer with the expected one.
func (d *demo) checkDraft(w, prompt string, r *chiveharness.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent++
	switch {
	case !r.Complete:
		d.problems = append(d.problems, fmt.Errorf("draft %q of %s is not whole: status %d, %s", prompt, w, r.Status, r.Error))
	case r.Text != chiveharness.ExpectedAnswer(prompt, draftTokens):
		d.problems = append(d.problems, fmt.Errorf("draft %q of %s got another answer: %q", prompt, w, r.Text))
	default:
		d.served++
	}
}

func (d *demo) addProblem(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.problems = append(d.problems, err)
}

// printTimeline prints the story of the changes.
func (d *demo) printTimeline(ctx context.Context) {
	t, err := d.fleet.Operator().Events(ctx, chivetime.Filter{Kind: "config"})
	if err != nil {
		d.addProblem(err)
		return
	}
	d.printf("Time line, the last %d of %d events of kind config:\n", min(timelineLines, len(t.Events)), len(t.Events))
	for _, e := range t.Events[max(0, len(t.Events)-timelineLines):] {
		d.printf("  %s %-16s %-10s %s\n", time.Unix(0, e.Timestamp.Wall).UTC().Format("15:04:05.000"), e.Process, e.Subject, e.Text)
	}
}

// checkOrders holds the services' record against the promise of at most one run.
func (d *demo) checkOrders() {
	report, err := d.fleet.Report()
	if err != nil {
		d.addProblem(err)
		return
	}
	for body, n := range report.Runs {
		if n != 1 {
			d.addProblem(fmt.Errorf("order %s ran %d times", body, n))
		}
	}
	for name, e := range report.Engines {
		if e.Overloads > 0 {
			d.addProblem(fmt.Errorf("endpoint %s was overloaded %d times", name, e.Overloads))
		}
	}
	d.printf("%d orders ran, each once.\n", len(report.Runs))
}

// stopFleet stops every process and returns all problems.
func (d *demo) stopFleet() error {
	began := time.Now()
	if err := d.fleet.Stop(stopTimeout); err != nil {
		d.addProblem(err)
	}
	d.printf("All processes stopped after %v.\n", time.Since(began).Round(time.Millisecond))
	return errors.Join(d.problems...)
}
