package chiveagent

import (
	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclaim"
)

// beginKey decides on a call under an idempotency key. The refusal is nil where
// the decision is to run, to wait or to replay.
func (c *control) beginKey(key string, call *chivelink.Call) (d chiveclaim.Decision, e *chiveclaim.Entry[chivelink.Answer], refusal *chiveverdict.Failure) {
	alive := c.do(func() {
		if call.Boot != c.keyBoot {
			refusal = chiveverdict.MayHaveRunf(chiveverdict.CodeConflict, "the key is bound to an earlier incarnation of endpoint %s", call.Endpoint)
			return
		}
		d, e = c.keys.Begin(key, call.RequestDigest)
		refusal = c.keyRefusal(d, call)
	})
	if !alive {
		refusal = chiveverdict.NotRunf(chiveverdict.CodeDrain, minRetryAfter, "agent has stopped")
	}
	return d, e, refusal
}

// keyRefusal returns the refusal that follows from a decision, or nil.
func (c *control) keyRefusal(d chiveclaim.Decision, call *chivelink.Call) *chiveverdict.Failure {
	switch d {
	case chiveclaim.Mismatch:
		return chiveverdict.NotRunf(chiveverdict.CodeMismatch, 0, "the key was used with another request")
	case chiveclaim.NeverRun:
		f := chiveverdict.NotRunf(chiveverdict.CodeMoved, minRetryAfter, "endpoint %s promised not to run the request under this key", call.Endpoint)
		f.NeverRuns = true
		return f
	case chiveclaim.Unknown:
		return chiveverdict.MayHaveRunf(chiveverdict.CodeCut, "the first request under this key had no answer")
	case chiveclaim.Full:
		c.renewIncarnation()
		return chiveverdict.MayHaveRunf(chiveverdict.CodeOverload, "endpoint %s keeps no more keys", call.Endpoint)
	}
	return nil
}

// renewIncarnation begins a new incarnation for keys where none of the old one runs.
func (c *control) renewIncarnation() {
	if c.keys.Clear() {
		c.keyBoot = chivelink.NewBoot()
		c.agent.ring.Add("boot", c.agent.settings.Endpoint, "Key memory was full; a new incarnation begins.")
	}
}

// endKey records how the first call under a key ended.
func (c *control) endKey(key string, call *chivelink.Call, answer *chivelink.Answer, f *chiveverdict.Failure) {
	c.do(func() {
		switch {
		case f == nil:
			c.keys.Finish(key, answer)
		case f.Verdict == chiveverdict.NotRun && call.FinalRefusal:
			c.keys.PromiseNotToRun(key)
			f.NeverRuns = true
		case f.Verdict == chiveverdict.NotRun:
			c.keys.Cancel(key)
		default:
			c.keys.Fail(key)
		}
	})
}
