// Package chiveswitch switches the expert map of a group: the holder of a lease
// holds all ranks, sets the map, reads it back from all ranks and releases them.
package chiveswitch

import "fmt"

// Gate runs at an agent and rejects orders with outdated tokens before they
// reach the ranks of its endpoint. It enforces fencing for engines that ignore
// fencing tokens. Boot must be set. It is not safe for concurrent use.
type Gate struct {
	// Boot is the agent's incarnation.
	Boot uint64

	token Token
	// held is set after an order to hold the ranks was admitted under token, until
	// the order to release them.
	held bool
}

// Token returns the newest token of an admitted probe.
func (g *Gate) Token() Token {
	return g.token
}

// Held reports whether an order to hold the ranks was admitted under the newest
// token, and none to release them since.
func (g *Gate) Held() bool {
	return g.held
}

// Admit returns nil if an order may be passed to the ranks, and otherwise an
// error that says why not. It calls the method for the order's step.
func (g *Gate) Admit(o *Order) error {
	switch o.Step {
	case StepProbe:
		return g.Probe(o.Token)
	case StepStage:
		return g.Stage(o.Token, o.Boot)
	case StepHold:
		return g.Hold(o.Token, o.Boot)
	case StepSet, StepRead:
		return g.Set(o.Token, o.Boot)
	case StepRelease:
		return g.Release(o.Token, o.Boot)
	}
	return fmt.Errorf("order step %q is unknown", o.Step)
}

// Probe admits a probe unless its token is older than the newest one. From then
// on orders with older tokens are rejected. A newer token requires a new order to
// hold the ranks.
func (g *Gate) Probe(t Token) error {
	if t.Before(g.token) {
		return fmt.Errorf("token %v is older than %v", t, g.token)
	}
	if g.token.Before(t) {
		g.token, g.held = t, false
	}
	return nil
}

// Stage admits an order to load the weights of a map beside those in use. Its
// token must be the newest and boot this incarnation.
func (g *Gate) Stage(t Token, boot uint64) error {
	return g.check(t, boot)
}

// Hold admits an order to hold the ranks. Its token must be the newest and boot
// this incarnation.
func (g *Gate) Hold(t Token, boot uint64) error {
	if err := g.check(t, boot); err != nil {
		return err
	}
	g.held = true
	return nil
}

// Set admits an order to set or read the map. The ranks must be held under the
// same token.
func (g *Gate) Set(t Token, boot uint64) error {
	if err := g.check(t, boot); err != nil {
		return err
	}
	if !g.held {
		return fmt.Errorf("ranks are not held under token %v", t)
	}
	return nil
}

// Release admits an order to release the ranks. They must be held under the same
// token, so a repeated release is rejected.
func (g *Gate) Release(t Token, boot uint64) error {
	if err := g.Set(t, boot); err != nil {
		return err
	}
	g.held = false
	return nil
}

// check returns an error unless the token is the newest and boot is this
// incarnation.
func (g *Gate) check(t Token, boot uint64) error {
	if boot != g.Boot {
		return fmt.Errorf("order is for incarnation %x, not %x", boot, g.Boot)
	}
	if t != g.token {
		return fmt.Errorf("token %v is not %v, the newest probed", t, g.token)
	}
	return nil
}
