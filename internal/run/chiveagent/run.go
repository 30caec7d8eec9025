package chiveagent

import (
	"context"
	"time"

	"github.com/oklog/run"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivebudget"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedoor"
	"github.com/chiveyoke/chiveyoke/internal/run/chivemeter"
)

// Run serves calls until the context ends, then drains and closes the agent.
func (a *Agent) Run(ctx context.Context) error {
	defer a.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	g.Add(func() error { return a.waitAndDrain(ctx) }, func(error) { stop() })
	a.addActors(base, cancel, &g)
	limit := chivedaemon.MemoryLimit(a.settings.Memory)
	chivedaemon.LimitHeap(limit)
	doors := &chivedoor.Ledger{Budget: chivebudget.ForMemory(limit), MaxConns: chivedoor.MaxConnsOf(chivedoor.FileLimit(0)), Log: a.log}
	g.Add(func() error { return doors.Run(base) }, func(error) { cancel() })
	admin := doors.Add(&chivedoor.Door{Name: "admin", Weight: 1, AnswerTime: adminAnswerTime})
	chivedaemon.AddAdminServer(&g, admin, a.settings.Admin, chivedaemon.NewAdminRouter(a.state, a.meter))
	return g.Run()
}

// adminAnswerTime is how long a request at the admin address may take.
const adminAnswerTime = 5 * time.Second

// addActors adds the agent's goroutines. They run on base, which stays alive while
// the agent drains; the end of any of them cancels it.
func (a *Agent) addActors(base context.Context, cancel context.CancelFunc, g *run.Group) {
	interrupt := func(error) { cancel() }
	g.Add(func() error { return a.control.run(base) }, interrupt)
	g.Add(func() error { return a.linker.Run(base) }, interrupt)
	g.Add(func() error { return a.watchHealth(base) }, interrupt)
	traffic := chivemeter.NewTrafficGauges(a.meter.Scope)
	g.Add(func() error {
		return a.meter.UpdateGauges(base, func() { traffic.Set(a.dialer.Traffic(), a.server.Traffic()) })
	}, interrupt)
	g.Add(func() error { return chivedaemon.IgnoreAfterDone(base, a.server.Serve(base)) }, interrupt)
}

// waitAndDrain waits for the context to end and drains for at most the configured
// grace period.
func (a *Agent) waitAndDrain(ctx context.Context) error {
	<-ctx.Done()
	grace, cancel := context.WithTimeout(context.Background(), a.settings.Grace.Std())
	defer cancel()
	a.Drain(grace)
	return nil
}
