// Package chiveswitch implements the change of a group's expert map: all ranks
// are held, set, read back and released by one leaseholder.
package chiveswitch

import "fmt"

// A Gate decides, at the agent, which orders reach the ranks of its endpoint.
// It makes fencing hold for engines that ignore it. Its zero value has seen no
// order. It is not safe for concurrent use.
type Gate struct {
	// Boot is the agent's incarnation.
	Boot uint64

	token Token
	// held says that the ranks were held under the token.
	held bool
}

// Token returns the newest token seen.
func (g *Gate) Token() Token {
	return g.token
}

// Held reports whether the ranks were held under the newest token.
func (g *Gate) Held() bool {
	return g.held
}

// Admit decides on an order. An error means that it must not reach the ranks.
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

// Probe takes a token. From then on no order under an older one passes.
func (g *Gate) Probe(t Token) error {
	if t.Before(g.token) {
		return fmt.Errorf("token %v is older than %v", t, g.token)
	}
	if g.token.Before(t) {
		g.token, g.held = t, false
	}
	return nil
}

// Stage passes the order to load the weights of a map beside those in use.
func (g *Gate) Stage(t Token, boot uint64) error {
	return g.check(t, boot)
}

// Hold passes the order to hold the ranks, from the coordinator that probed
// this incarnation.
func (g *Gate) Hold(t Token, boot uint64) error {
	if err := g.check(t, boot); err != nil {
		return err
	}
	g.held = true
	return nil
}

// Set passes the order to set or read the map of ranks that are held under the
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

// Release passes the order to release ranks that are held under the same
// fencing token. A repeated release passes nothing.
func (g *Gate) Release(t Token, boot uint64) error {
	if err := g.Set(t, boot); err != nil {
		return err
	}
	g.held = false
	return nil
}

func (g *Gate) check(t Token, boot uint64) error {
	if boot != g.Boot {
		return fmt.Errorf("order is for incarnation %x, not %x", boot, g.Boot)
	}
	if t != g.token {
		return fmt.Errorf("token %v is not %v, the newest probed", t, g.token)
	}
	return nil
}
