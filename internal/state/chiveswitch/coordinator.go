package chiveswitch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("map switch")

// Orderer sends orders to the agents of endpoints.
type Orderer interface {
	// Order sends an order and returns the agent's reply. After an error it is
	// unknown whether the order was carried out, and it may still be carried out
	// later.
	Order(ctx context.Context, o *Order) (*Reply, error)
}

// Lease is the lease on a group as its holder sees it.
type Lease interface {
	// Held returns the fencing token and reports whether the lease is held now.
	Held() (uint64, bool)
}

// Coordinator switches the expert map of one group. All ranks of a group
// advance in lockstep, so no forward pass begins while any rank is held. The map is
// set while all ranks are held, and they are released only after all have read back
// the new map. The release names that map, because a rank that restarts after it was
// read back has lost it and must stay held. A coordinator that stops midway may leave ranks held, which stalls
// the group but never lets a forward pass use different maps. The next leaseholder
// starts over.
type Coordinator struct {
	Group string
	// Endpoints holds the names of all endpoints of the group.
	Endpoints []string
	Orderer   Orderer
	Lease     Lease

	// probes counts the calls of Probe under a held lease.
	probes uint64
}

// ProbeResult holds the state of a group as read by a probe.
type ProbeResult struct {
	// Replies holds the replies in the order of Coordinator.Endpoints.
	Replies []*Reply
	// Token is the token of the probe.
	Token Token
}

// Digest returns the SHA-256 digest of an encoded map, in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// SettledMap returns the digest of the map that all ranks use, and true. It
// returns an empty digest and false if ranks use different maps or are held. The
// digest is also empty if no rank has a map. There must be at least one reply.
func (p *ProbeResult) SettledMap() (digest string, settled bool) {
	digest = p.Replies[0].Map
	for _, r := range p.Replies {
		if r.Map != digest || r.Held {
			return "", false
		}
	}
	return digest, true
}

// Probe begins a round: it sends a new token to every agent and returns their
// replies. From then on agents reject orders of earlier rounds and of older
// leases. It returns an error if the lease is not held or any agent fails or
// refuses. It is not safe for concurrent use.
func (c *Coordinator) Probe(ctx context.Context) (*ProbeResult, error) {
	fence, held := c.Lease.Held()
	if !held {
		return nil, Error.New("lease on group %s is not held", c.Group)
	}
	c.probes++
	result := &ProbeResult{Token: Token{Fence: fence, Round: c.probes}}
	replies, err := c.broadcast(ctx, Order{Step: StepProbe, Token: result.Token}, nil)
	if err != nil {
		return nil, err
	}
	result.Replies = replies
	return result, nil
}

// Switch makes all ranks use the encoded map in body. probe must be the result of
// the last call of Probe. After an error the ranks may be held; the next switch of
// the group then has to complete.
func (c *Coordinator) Switch(ctx context.Context, probe *ProbeResult, body []byte) error {
	digest := Digest(body)
	orders := []Order{
		{Step: StepStage, Map: digest, Body: body},
		{Step: StepHold},
		{Step: StepSet, Map: digest, Body: body},
		{Step: StepRead},
		{Step: StepRelease, Map: digest},
	}
	for _, o := range orders {
		if err := c.checkLease(probe.Token.Fence); err != nil {
			return err
		}
		o.Token = probe.Token
		replies, err := c.broadcast(ctx, o, probe)
		if err != nil {
			return c.releaseAfterFailure(ctx, probe, o.Step, err)
		}
		if o.Step == StepRead {
			if err := checkReadBack(replies, digest); err != nil {
				return err
			}
		}
	}
	return nil
}

// releaseAfterFailure releases the ranks if the order to hold them failed and
// they were settled before, since no map was set yet. A later failure leaves them
// held for the next switch. It returns err.
func (c *Coordinator) releaseAfterFailure(ctx context.Context, probe *ProbeResult, step Step, err error) error {
	if step != StepHold {
		return err
	}
	digest, settled := probe.SettledMap()
	if !settled || c.checkLease(probe.Token.Fence) != nil {
		return err
	}
	_, _ = c.broadcast(ctx, Order{Step: StepRelease, Token: probe.Token, Map: digest}, probe)
	return err
}

// checkLease returns an error unless the lease is held with this fencing token.
func (c *Coordinator) checkLease(fence uint64) error {
	if now, held := c.Lease.Held(); !held || now != fence {
		return Error.New("lease on group %s is no longer held with the fencing token of the probe", c.Group)
	}
	return nil
}

// checkReadBack returns an error unless all ranks are held and use the map.
func checkReadBack(replies []*Reply, digest string) error {
	for _, r := range replies {
		if r.Map != digest || !r.Held {
			return Error.New("a rank reads back map %.8s and held=%t", r.Map, r.Held)
		}
	}
	return nil
}

// broadcast sends an order to all endpoints concurrently and waits for all of
// them. It returns the replies in the order of Endpoints, or the error of the
// first endpoint that failed. If probe is not nil, each order is for the
// incarnation of the agent that replied to the probe.
func (c *Coordinator) broadcast(ctx context.Context, o Order, probe *ProbeResult) ([]*Reply, error) {
	replies := make([]*Reply, len(c.Endpoints))
	failures := make([]error, len(c.Endpoints))
	var pending sync.WaitGroup
	for i, name := range c.Endpoints {
		order := o
		order.Group, order.Endpoint = c.Group, name
		if probe != nil {
			order.Boot = probe.Replies[i].Boot
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			failures[i] = chiveguard.Call("order", func() (err error) {
				replies[i], err = c.send(ctx, &order)
				return err
			})
		}()
	}
	pending.Wait()
	for _, err := range failures {
		if err != nil {
			return nil, err
		}
	}
	return replies, nil
}

// send sends one order. It returns an error if the agent refuses it.
func (c *Coordinator) send(ctx context.Context, o *Order) (*Reply, error) {
	reply, err := c.Orderer.Order(ctx, o)
	if err != nil {
		return nil, Error.New("%s order to endpoint %s: %v", o.Step, o.Endpoint, err)
	}
	if reply.Refused != "" {
		return nil, Error.New("%s order refused by endpoint %s: %s", o.Step, o.Endpoint, reply.Refused)
	}
	return reply, nil
}
