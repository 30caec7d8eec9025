package chiveagent

import (
	"context"

	"github.com/oklog/run"

	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/internal/run/chivemeter"
)

// Run serves until the context ends, then drains.
func (a *Agent) Run(ctx context.Context) error {
	defer a.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	g.Add(func() error { return a.waitAndDrain(ctx) }, func(error) { stop() })
	a.addActors(base, cancel, &g)
	chivedaemon.AddAdminServer(&g, a.settings.Admin, chivedaemon.NewAdminRouter(a.state, a.meter))
	return g.Run()
}

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

// waitAndDrain waits for the stop and drains.
func (a *Agent) waitAndDrain(ctx context.Context) error {
	<-ctx.Done()
	grace, cancel := context.WithTimeout(context.Background(), a.settings.Grace.Std())
	defer cancel()
	a.Drain(grace)
	return nil
}
