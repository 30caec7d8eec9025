package chiveagent

import (
	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclaim"
)

// beginKey records a call under an idempotency key and decides whether it runs,
// waits for the first call under the key, replays its answer or is refused. The
// refusal is nil unless the call is refused.
func (c *control) beginKey(key string, call *chivelink.Call) (d chiveclaim.Decision, e *chiveclaim.Entry[chivelink.Answer], refusal *chiveverdict.Failure) {
	running := c.do(func() {
		if call.Boot != c.keyBoot {
			refusal = chiveverdict.MayHaveRunf(chiveverdict.CodeConflict, "the key is bound to an earlier incarnation of endpoint %s", call.Endpoint)
			return
		}
		d, e = c.keys.Begin(key, call.RequestDigest)
		refusal = c.keyRefusal(d, call)
	})
	if !running {
		refusal = chiveverdict.NotRunf(chiveverdict.CodeDrain, minRetryAfter, "agent has stopped")
	}
	return d, e, refusal
}

// keyRefusal returns the refusal for a decision that refuses the call, or nil. If
// the memory of keys is full, it also tries to clear it.
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

// renewIncarnation drops all keys and sets a new keyBoot, unless a call under a key
// is still running.
func (c *control) renewIncarnation() {
	if c.keys.Clear() {
		c.keyBoot = chivelink.NewBoot()
		c.agent.ring.Add("boot", c.agent.settings.Endpoint, "Key memory was full; a new incarnation begins.")
	}
}

// endKey records the answer or the failure of the first call under a key.
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
