package chiveagent

import (
	"context"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveswitch"
)

// Order implements chivelink.Handler.Order. It holds orderMu from the gate's
// decision to the engine's answer, so that orders reach the engine in the sequence
// in which the gate admitted them.
func (a *Agent) Order(ctx context.Context, o *chiveswitch.Order) *chiveswitch.Reply {
	// The engine's answer is awaited without a deadline: a canceled order could
	// still reach the ranks after a later one.
	ctx = context.WithoutCancel(ctx)
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	reply := &chiveswitch.Reply{Boot: a.syncer.Node.Boot}
	err := a.admitOrder(o)
	if err == nil {
		err = a.executeOrder(ctx, o, reply)
	}
	if err != nil {
		reply.Refused = err.Error()
	}
	a.control.do(func() { reply.Token = a.control.gate.Token() })
	a.ring.Add("order", o.Group, "Step %s under fence %d, round %d: refused %q.", o.Step, o.Token.Fence, o.Token.Round, reply.Refused)
	return reply
}

// admitOrder returns an error if the order is for another endpoint or the gate
// rejects it.
func (a *Agent) admitOrder(o *chiveswitch.Order) (err error) {
	if o.Endpoint != a.settings.Endpoint {
		return Error.New("order is for endpoint %s, not %s", o.Endpoint, a.settings.Endpoint)
	}
	running := a.control.do(func() { err = a.control.gate.Admit(o) })
	if !running {
		return Error.New("agent has stopped")
	}
	return err
}

// executeOrder sends an order to the engine. For a step that only reads, it fills
// the reply with the state of the endpoint's ranks.
func (a *Agent) executeOrder(ctx context.Context, o *chiveswitch.Order, reply *chiveswitch.Reply) error {
	switch o.Step {
	case chiveswitch.StepStage:
		return a.engine.StageMap(ctx, o.Token.Fence, o.Body)
	case chiveswitch.StepHold:
		return a.engine.Hold(ctx, o.Token.Fence)
	case chiveswitch.StepSet:
		return a.engine.SetMap(ctx, o.Token.Fence, o.Body)
	case chiveswitch.StepRelease:
		return a.engine.Release(ctx, o.Token.Fence, o.Map)
	}
	rank, err := a.engine.RankStatus(ctx)
	if err != nil {
		return err
	}
	reply.Map, reply.Held, reply.Loads = rank.MapDigest, rank.Held, rank.ExpertLoads
	return nil
}
