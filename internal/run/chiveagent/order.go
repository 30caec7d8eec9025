package chiveagent

import (
	"context"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveswitch"
)

// Order implements chivelink.Handler.Order. The gate's decision and the order
// to the engine run one after another, so that two orders never cross.
func (a *Agent) Order(ctx context.Context, o *chiveswitch.Order) *chiveswitch.Reply {
	// The engine's answer is awaited however long it takes: an order that was
	// given up could reach the ranks after a later one.
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

// admitOrder asks the gate.
func (a *Agent) admitOrder(o *chiveswitch.Order) (err error) {
	if o.Endpoint != a.settings.Endpoint {
		return Error.New("order is for endpoint %s, not %s", o.Endpoint, a.settings.Endpoint)
	}
	alive := a.control.do(func() { err = a.control.gate.Admit(o) })
	if !alive {
		return Error.New("agent has stopped")
	}
	return err
}

// executeOrder passes an order to the engine.
func (a *Agent) executeOrder(ctx context.Context, o *chiveswitch.Order, reply *chiveswitch.Reply) error {
	switch o.Step {
	case chiveswitch.StepStage:
		return a.engine.StageMap(ctx, o.Token.Fence, o.Body)
	case chiveswitch.StepHold:
		return a.engine.Hold(ctx, o.Token.Fence)
	case chiveswitch.StepSet:
		return a.engine.SetMap(ctx, o.Token.Fence, o.Body)
	case chiveswitch.StepRelease:
		return a.engine.Release(ctx, o.Token.Fence)
	}
	rank, err := a.engine.RankStatus(ctx)
	if err != nil {
		return err
	}
	reply.Map, reply.Held, reply.Loads = rank.MapDigest, rank.Held, rank.ExpertLoads
	return nil
}
