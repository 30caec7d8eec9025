package chivegateway

import (
	"context"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
)

const (
	// headPollPeriod is the time between two reads of the configuration head.
	headPollPeriod = 2 * time.Second
	// headPollTimeout bounds one poll, including the read of a new sheet.
	headPollTimeout = 2 * time.Second
)

// pollHead reads the configuration head from the store until the context ends.
// It logs only transitions between failure and success.
func (g *Gateway) pollHead(ctx context.Context) error {
	tick := time.NewTicker(headPollPeriod)
	defer tick.Stop()
	failed := false
	for {
		err := g.pollHeadOnce(ctx)
		if err != nil != failed && ctx.Err() == nil {
			failed = err != nil
			g.logHeadAccess(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// logHeadAccess logs that the head has become unreadable, or readable again if
// err is nil.
func (g *Gateway) logHeadAccess(err error) {
	if err != nil {
		g.ring.Add("store", "head", "Head cannot be read: %v.", err)
		g.log.Warn("Configuration head cannot be read.", "error", err)
		return
	}
	g.ring.Add("store", "head", "Head can be read again.")
	g.log.Info("Configuration head can be read again.")
}

// pollHeadOnce applies the head of the store if it is newer and confirms the
// configuration. It returns an error if the store cannot be read.
func (g *Gateway) pollHeadOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, headPollTimeout)
	defer cancel()
	version, err := g.store.Version(ctx)
	if err != nil {
		return err
	}
	if version > g.syncer.Version() {
		if err := g.fetchHead(ctx); err != nil {
			return err
		}
	}
	g.confirmConfig("store")
	return nil
}

// fetchHead reads the head from the store and applies it.
func (g *Gateway) fetchHead(ctx context.Context) error {
	head, err := g.store.Head(ctx)
	if err != nil || head == nil {
		return err
	}
	return g.applyHead(ctx, head)
}

// applyHead puts a head from the store in force, unless this process has one at
// least as new. It reads the sheet only if its digest differs from that of the
// sheet held here.
func (g *Gateway) applyHead(ctx context.Context, head *chiveconf.Head) error {
	if head.Version <= g.syncer.Version() {
		return nil
	}
	var raw []byte
	if g.syncer.Digest() != head.Digest {
		sheet, err := g.store.Sheet(ctx, head.Digest)
		if err != nil {
			return err
		}
		raw = sheet
	}
	return g.syncer.Apply(head, raw, "store")
}

// confirmConfig marks the configuration as up to date, so that the gateway
// serves callers. The source, "store" or "peers", goes to the log. It does
// nothing before the first configuration or after the first confirmation.
func (g *Gateway) confirmConfig(source string) {
	if g.syncer.Config() == nil || g.configConfirmed.Swap(true) {
		return
	}
	g.ring.Add("config", "settled", "Serving begins, by %s.", source)
	g.log.Info("Configuration confirmed, serving callers.", "version", g.syncer.Version(), "by", source)
}

// applyConfigs applies every new configuration to the fleet and confirms it
// once enough peers are known, until the context ends.
func (g *Gateway) applyConfigs(ctx context.Context) error {
	for {
		changed := g.syncer.Changed()
		if c := g.syncer.Config(); c != nil {
			if s := g.fleet.snapshot.Load(); s == nil || s.config != c {
				g.fleet.applyConfig(c)
				g.metrics.configVersion.Update(float64(c.Head.Version))
			}
		}
		if g.syncer.SyncedGateways() >= minConfirmingPeers {
			g.confirmConfig("peers")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-time.After(peerCheckPeriod):
		}
	}
}

// peerCheckPeriod is the time between two checks of the number of known peers.
const peerCheckPeriod = time.Second

// minConfirmingPeers is the number of peers whose configuration must be known
// before a gateway serves without having reached the store.
const minConfirmingPeers = 2
