package chiveswitch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("map switch")

// An Orderer carries orders to the agents of endpoints.
type Orderer interface {
	// Order returns the agent's reply. After an error the order may have been
	// carried out or may yet be.
	Order(ctx context.Context, o *Order) (*Reply, error)
}

// A Lease tells whether its holder may still act.
type Lease interface {
	// Held returns the fencing token and whether the lease is held now.
	Held() (uint64, bool)
}

// A Coordinator changes the expert map of one group. All ranks of a group
// advance in lock-step, so that no rank steps while one is held: the map is set
// on ranks that are all held, read back from all, and only then released. A
// coordinator that stops half-way leaves ranks held, which stalls the group but
// never splits it; the next leaseholder begins again.
type Coordinator struct {
	Group string
	// Endpoints holds the names of all endpoints of the group.
	Endpoints []string
	Orderer   Orderer
	Lease     Lease

	// rounds counts the probes.
	rounds uint64
}

// A ProbeResult is what a probe found.
type ProbeResult struct {
	// Replies holds the reply of each endpoint, in the coordinator's order.
	Replies []*Reply
	// Token is that of the probe.
	Token Token
}

// Digest returns the digest that names an encoded map.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// SettledMap returns the digest of the map that all ranks use and whether they are all
// released under it.
func (v *ProbeResult) SettledMap() (digest string, settled bool) {
	digest = v.Replies[0].Map
	for _, r := range v.Replies {
		if r.Map != digest || r.Held {
			return "", false
		}
	}
	return digest, true
}

// Probe begins a round: it takes a new token to every agent. From then on no
// order of an earlier round passes, nor one under an older lease. It is not safe
// for concurrent use.
func (c *Coordinator) Probe(ctx context.Context) (*ProbeResult, error) {
	fence, held := c.Lease.Held()
	if !held {
		return nil, Error.New("lease on group %s is not held", c.Group)
	}
	c.rounds++
	view := &ProbeResult{Token: Token{Fence: fence, Round: c.rounds}}
	replies, err := c.all(ctx, Order{Step: StepProbe, Token: view.Token}, nil)
	if err != nil {
		return nil, err
	}
	view.Replies = replies
	return view, nil
}

// Switch makes the map the one that all ranks use. View is that of a probe
// of the last round.
func (c *Coordinator) Switch(ctx context.Context, view *ProbeResult, body []byte) error {
	digest := Digest(body)
	orders := []Order{
		{Step: StepStage, Map: digest, Body: body},
		{Step: StepHold},
		{Step: StepSet, Map: digest, Body: body},
		{Step: StepRead},
		{Step: StepRelease},
	}
	for _, o := range orders {
		if err := c.checkLease(view.Token.Fence); err != nil {
			return err
		}
		o.Token = view.Token
		replies, err := c.all(ctx, o, view)
		if err != nil {
			return c.abandon(ctx, view, o.Step, err)
		}
		if o.Step == StepRead {
			if err := checkRead(replies, digest); err != nil {
				return err
			}
		}
	}
	return nil
}

// abandon releases the ranks after a failure before any map was set. A later
// failure leaves them held for the next try.
func (c *Coordinator) abandon(ctx context.Context, view *ProbeResult, step Step, err error) error {
	if step != StepHold {
		return err
	}
	if _, settled := view.SettledMap(); !settled || c.checkLease(view.Token.Fence) != nil {
		return err
	}
	_, _ = c.all(ctx, Order{Step: StepRelease, Token: view.Token}, view)
	return err
}

// checkLease returns an error unless the lease is held under the same token.
func (c *Coordinator) checkLease(fence uint64) error {
	if now, held := c.Lease.Held(); !held || now != fence {
		return Error.New("lease on group %s has lapsed", c.Group)
	}
	return nil
}

func checkRead(replies []*Reply, digest string) error {
	for _, r := range replies {
		if r.Map != digest || !r.Held {
			return Error.New("a rank reads back map %.8s, held %t", r.Map, r.Held)
		}
	}
	return nil
}

// all sends an order to every endpoint and waits for all replies. It returns
// the first error.
func (c *Coordinator) all(ctx context.Context, o Order, view *ProbeResult) ([]*Reply, error) {
	replies := make([]*Reply, len(c.Endpoints))
	failures := make([]error, len(c.Endpoints))
	var sent sync.WaitGroup
	for i, name := range c.Endpoints {
		each := o
		each.Group, each.Endpoint = c.Group, name
		if view != nil {
			each.Boot = view.Replies[i].Boot
		}
		sent.Add(1)
		go func() {
			defer sent.Done()
			replies[i], failures[i] = c.one(ctx, &each)
		}()
	}
	sent.Wait()
	for _, err := range failures {
		if err != nil {
			return nil, err
		}
	}
	return replies, nil
}

func (c *Coordinator) one(ctx context.Context, o *Order) (*Reply, error) {
	reply, err := c.Orderer.Order(ctx, o)
	if err != nil {
		return nil, Error.New("%s at %s: %v", o.Step, o.Endpoint, err)
	}
	if reply.Refused != "" {
		return nil, Error.New("%s at %s refused: %s", o.Step, o.Endpoint, reply.Refused)
	}
	return reply, nil
}
