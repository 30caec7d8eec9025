package chivegateway

import (
	"context"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveswitch"
)

// Call implements chivelink.Handler.Call. It cancels the stream because
// gateways serve no calls.
func (g *Gateway) Call(_ context.Context, _ *chivelink.Call, s *chivelink.Stream) {
	s.Cancel()
}

// Sync implements chivelink.Handler.Sync.
func (g *Gateway) Sync(ctx context.Context, first *chivelink.Sync, s *chivelink.Stream) {
	_ = g.syncer.Exchange(ctx, s, first)
}

// Order implements chivelink.Handler.Order. It refuses every order because
// gateways have no ranks to change.
func (g *Gateway) Order(_ context.Context, _ *chiveswitch.Order) *chiveswitch.Reply {
	return &chiveswitch.Reply{Boot: g.syncer.Node.Boot, Refused: "gateways take no orders"}
}

// Status implements chivelink.Handler.Status. It returns the state and the
// configuration version of the gateway, with the timeline events that match the
// filter if the query asks for events.
func (g *Gateway) Status(_ context.Context, q *chivelink.Query) *chivelink.Status {
	st := &chivelink.Status{Node: g.syncer.Node, ConfigVersion: g.syncer.Version(), State: g.state()}
	if q.IncludeEvents {
		st.Events = g.ring.Events(q.Filter)
	}
	return st
}
