// Package chivedemo implements the demo. It runs an example as separate processes, sends
// requests and checks the answers.
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
	// addressLifetime is how long callers cache gateway addresses. It is short so that
	// the demo ends soon.
	addressLifetime = time.Second
	// stopTimeout bounds the graceful stop of a process.
	stopTimeout = 15 * time.Second
	// callerCount is the number of callers that send while a zone is drained and
	// restored.
	callerCount = 8
	// zonePhaseTime is how long the load continues after each of the two zone changes.
	zonePhaseTime = 1500 * time.Millisecond
	// draftTokens is the length of a draft in tokens.
	draftTokens = 24
	// timelineLines is the maximum number of timeline events that are printed.
	timelineLines = 12
)

// Settings describes the example to run.
type Settings struct {
	// Sheet is the path of the sheet.
	Sheet string
	// Bin is the directory of the programs.
	Bin string
	// Gateways is the number of gateways.
	Gateways int
	// Timeout bounds the demo. Run does not apply it; its caller sets the deadline of
	// the context.
	Timeout time.Duration
}

// demo is the state of a run.
type demo struct {
	fleet *chiveharness.Fleet
	out   io.Writer
	// model and service are the first ones of the sheet.
	model      string
	service    string
	workspaces []chivesheet.Workspace

	// mu guards the fields below.
	mu sync.Mutex
	// sent and served count drafts.
	sent     int
	served   int
	problems []error
}

// Run runs the demo and prints its progress. It returns an error if an answer was lost,
// wrong or incomplete, an order did not run exactly once, an endpoint was overloaded, or
// a process did not stop gracefully.
func Run(ctx context.Context, s Settings, out io.Writer) error {
	sheetText, err := os.ReadFile(s.Sheet)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "chiveyoke-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	sheet, err := chivesheet.Parse(sheetText)
	if err != nil {
		return err
	}
	start := time.Now()
	fleet, err := chiveharness.Start(ctx, chiveharness.Settings{
		Sheet: sheetText, Net: chiveharness.SheetNet(sheet), Gateways: s.Gateways, Bin: s.Bin, Dir: dir, AddressLifetime: addressLifetime,
	})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	d := &demo{fleet: fleet, out: out, model: sheet.Groups[0].Model, service: sheet.Services[0].Name, workspaces: sheet.Workspaces}
	d.printf("Started %d processes; version 1 of %s in force after %v.\n", len(fleet.Processes), s.Sheet, time.Since(start).Round(time.Millisecond))
	d.run(ctx)
	return d.stopFleet()
}

// printf prints to the output of the demo.
func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format, args...)
}

// run carries out the steps of the demo.
func (d *demo) run(ctx context.Context) {
	d.streamDraft(ctx)
	d.repeatOrder(ctx)
	d.drainZone(ctx)
	d.printTimeline(ctx)
	d.checkOrders()
}

// streamDraft requests one draft as a stream.
func (d *demo) streamDraft(ctx context.Context) {
	w := d.workspaces[0].Name
	caller := d.fleet.NewCaller(w)
	defer caller.Close()
	prompt := "Quote for six treadmills and a rowing machine."
	r := caller.Generate(ctx, d.model, prompt, draftTokens)
	d.checkDraft(w, prompt, r)
	d.printf("Draft for %s: %d bytes, first token after %v, complete after %v, gateway %s.\n",
		w, len(r.Text), r.FirstTokenTime.Round(time.Millisecond), r.TotalTime.Round(time.Millisecond), r.Gateway)
}

// repeatOrder sends an order twice with the same idempotency key.
func (d *demo) repeatOrder(ctx context.Context) {
	w := d.workspaces[0].Name
	caller := d.fleet.NewCaller(w)
	defer caller.Close()
	body := `{"machine":"treadmill","count":6}`
	for range 2 {
		r := caller.Post(ctx, d.service, "/orders", body, "order-1")
		if !r.Complete {
			d.addProblem(fmt.Errorf("order with an idempotency key failed: %s", r.Error))
		}
		d.printf("Order for %s with idempotency key order-1: status %d, replayed %t.\n", w, r.Status, r.Replayed)
	}
}

// drainZone drains an availability zone and restores it while callers send.
func (d *demo) drainZone(ctx context.Context) {
	sending, stopSending := context.WithCancel(ctx)
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
	stopSending()
	senders.Wait()
	d.printf("Zone %s was drained and restored under load. Drafts since the start: %d sent, %d served.\n", zone, d.sent, d.served)
}

// waitUnderLoad lets the callers send for zonePhaseTime.
func (d *demo) waitUnderLoad(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(zonePhaseTime):
	}
}

// changeZone makes a configuration change of a zone and waits until it is in force.
func (d *demo) changeZone(ctx context.Context, kind chiveconf.ChangeKind, zone string) {
	start := time.Now()
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
	d.printf("Zone %s %s: version %d in force in every process after %v.\n", zone, kind, head.Version, time.Since(start).Round(time.Millisecond))
}

// runCaller sends drafts and orders as caller i until sending ends. Requests use ctx, so
// the last ones are finished.
func (d *demo) runCaller(ctx, sending context.Context, i int) {
	w := d.workspaces[i%len(d.workspaces)].Name
	caller := d.fleet.NewCaller(w)
	defer caller.Close()
	for n := 0; sending.Err() == nil; n++ {
		prompt := fmt.Sprintf("Draft %d of caller %d.", n, i)
		d.checkDraft(w, prompt, caller.Generate(ctx, d.model, prompt, draftTokens))
		order := caller.Post(ctx, d.service, "/orders", fmt.Sprintf(`{"order":"%d-%d"}`, i, n), "")
		if !order.Complete {
			d.addProblem(fmt.Errorf("order %d of caller %d failed: %s", n, i, order.Error))
		}
	}
}

// checkDraft compares the answer to a draft request with the expected one.
func (d *demo) checkDraft(workspace, prompt string, r *chiveharness.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent++
	switch {
	case !r.Complete:
		d.problems = append(d.problems, fmt.Errorf("draft %q for %s is incomplete: status %d, %s", prompt, workspace, r.Status, r.Error))
	case r.Text != chiveharness.ExpectedAnswer(prompt, draftTokens):
		d.problems = append(d.problems, fmt.Errorf("draft %q for %s got the wrong answer %q", prompt, workspace, r.Text))
	default:
		d.served++
	}
}

// addProblem adds an error to those that Run returns.
func (d *demo) addProblem(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.problems = append(d.problems, err)
}

// printTimeline prints the last events of the configuration changes.
func (d *demo) printTimeline(ctx context.Context) {
	t, err := d.fleet.Operator().Events(ctx, chivetime.Filter{Kind: "config"})
	if err != nil {
		d.addProblem(err)
		return
	}
	d.printf("Timeline, last %d of %d events of kind config:\n", min(timelineLines, len(t.Events)), len(t.Events))
	for _, e := range t.Events[max(0, len(t.Events)-timelineLines):] {
		d.printf("  %s %-16s %-10s %s\n", time.Unix(0, e.Timestamp.Wall).UTC().Format("15:04:05.000"), e.Process, e.Subject, e.Text)
	}
}

// checkOrders checks that every order ran once and no endpoint was overloaded.
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

// stopFleet stops all processes and returns all problems of the run.
func (d *demo) stopFleet() error {
	start := time.Now()
	if err := d.fleet.Stop(stopTimeout); err != nil {
		d.addProblem(err)
	}
	d.printf("All processes stopped after %v.\n", time.Since(start).Round(time.Millisecond))
	return errors.Join(d.problems...)
}
