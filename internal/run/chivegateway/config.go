package chivegateway

import (
	"context"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
)

const (
	// pollPeriod is the time between two reads of the head.
	pollPeriod = 2 * time.Second
	// pollTimeout bounds one read.
	pollTimeout = 2 * time.Second
)

// poll reads the head from the store until the context ends.
func (g *Gateway) poll(ctx context.Context) error {
	tick := time.NewTicker(pollPeriod)
	defer tick.Stop()
	failed := false
	for {
		err := g.pollOnce(ctx)
		if err != nil != failed && ctx.Err() == nil {
			failed = err != nil
			g.logStore(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (g *Gateway) logStore(err error) {
	if err != nil {
		g.ring.Add("store", "head", "Head cannot be read: %v.", err)
		g.log.Warn("Head cannot be read.", "error", err)
		return
	}
	g.ring.Add("store", "head", "Head can be read again.")
	g.log.Info("Head can be read again.")
}

func (g *Gateway) pollOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	version, err := g.store.Version(ctx)
	if err != nil {
		return err
	}
	if version > g.spreader.Version() {
		if err := g.readHead(ctx); err != nil {
			return err
		}
	}
	g.settle("store")
	return nil
}

// readHead puts the store's head in force.
func (g *Gateway) readHead(ctx context.Context) error {
	head, err := g.store.Head(ctx)
	if err != nil || head == nil {
		return err
	}
	return g.take(ctx, head)
}

// take puts a head from the store in force.
func (g *Gateway) take(ctx context.Context, head *chiveconf.Head) error {
	if head.Version <= g.spreader.Version() {
		return nil
	}
	var raw []byte
	if g.spreader.Digest() != head.Digest {
		sheet, err := g.store.Sheet(ctx, head.Digest)
		if err != nil {
			return err
		}
		raw = sheet
	}
	return g.spreader.Apply(head, raw, "store")
}

// settle notes that the configuration is as new as that of a source.
func (g *Gateway) settle(source string) {
	if g.spreader.Config() == nil || g.settled.Swap(true) {
		return
	}
	g.ring.Add("config", "settled", "Serving begins, by %s.", source)
	g.log.Info("Serving.", "version", g.spreader.Version(), "by", source)
}

// follow puts every configuration into use for traffic.
func (g *Gateway) follow(ctx context.Context) error {
	for {
		changed := g.spreader.Changed()
		if c := g.spreader.Config(); c != nil {
			if s := g.fleet.snapshot.Load(); s == nil || s.config != c {
				g.fleet.take(c)
				g.metrics.version.Update(float64(c.Head.Version))
			}
		}
		if g.spreader.SyncedGateways() >= settlePeers {
			g.settle("peers")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-time.After(settlePoll):
		}
	}
}

// settlePoll is the time between two looks at whether enough peers are known.
const settlePoll = time.Second

// settlePeers is the number of peers whose configuration must be known before
// a gateway serves without the store.
const settlePeers = 2
