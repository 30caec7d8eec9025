package chiveswitch

import (
	"errors"
	"fmt"
)

// Step is a step of an expert map switch.
type Step string

// Steps of an expert map switch, in the order in which they are carried out.
const (
	// StepProbe registers the token of a new round at the agent and reads the
	// state of the ranks.
	StepProbe Step = "probe"
	// StepStage loads the weights of a map beside those in use.
	StepStage Step = "stage"
	// StepHold stops the ranks from beginning further forward passes.
	StepHold Step = "hold"
	// StepSet makes the held ranks use a map.
	StepSet Step = "set"
	// StepRead reads the state of the held ranks back.
	StepRead Step = "read"
	// StepRelease ends the hold of ranks that use the map of the order.
	StepRelease Step = "release"
)

// Token identifies a round of a group's coordinators. Tokens are ordered by
// Fence, then by Round.
type Token struct {
	// Fence is the fencing token of the coordinator's lease.
	Fence uint64 `cbor:"fence"`
	// Round counts the probes of the coordinator.
	Round uint64 `cbor:"round"`
}

// Before reports whether t is older than o.
func (t Token) Before(o Token) bool {
	return t.Fence < o.Fence || t.Fence == o.Fence && t.Round < o.Round
}

// Order requests one step of an expert map switch from the ranks of an
// endpoint.
type Order struct {
	Group    string `cbor:"group"`
	Endpoint string `cbor:"endpoint"`
	Step     Step   `cbor:"step"`
	Token    Token  `cbor:"token"`
	// Boot is the agent's incarnation as reported by its reply to the probe; 0 in
	// a probe.
	Boot uint64 `cbor:"boot,omitempty"`
	// Map is the digest of the expert map and Body its encoding. A release has the
	// digest of the map that the ranks must use, or none if they have no map.
	Map  string `cbor:"map,omitempty"`
	Body []byte `cbor:"body,omitempty"`
}

// Check returns an error if the group, the endpoint or the fencing token is
// missing, or if the step is unknown.
func (o *Order) Check() error {
	if o.Group == "" || o.Endpoint == "" || o.Token.Fence == 0 {
		return errors.New("order needs a group, an endpoint and a fence")
	}
	switch o.Step {
	case StepProbe, StepStage, StepHold, StepSet, StepRead, StepRelease:
		return nil
	}
	return fmt.Errorf("order step %q is unknown", o.Step)
}

// Reply is an agent's answer to an order.
type Reply struct {
	// Refused is the reason why the agent refused the order or the engine failed
	// it; it is empty on success.
	Refused string `cbor:"refused,omitempty"`
	// Boot is the agent's incarnation.
	Boot uint64 `cbor:"boot"`
	// Token is the newest token that the agent has accepted.
	Token Token `cbor:"token"`
	// Map is the digest of the map that the ranks use.
	Map string `cbor:"map,omitempty"`
	// Held reports whether the ranks are held.
	Held bool `cbor:"held,omitempty"`
	// Loads holds the number of tokens routed to each expert since the last
	// probe, by layer and expert.
	Loads [][]uint64 `cbor:"loads,omitempty"`
}

// Check returns an error if the reply has no incarnation.
func (r *Reply) Check() error {
	if r.Boot == 0 {
		return errors.New("reply has no boot")
	}
	return nil
}
