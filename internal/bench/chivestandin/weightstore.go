package chivestandin

import (
	"context"

	"golang.org/x/time/rate"
)

const (
	// expertsPerSecond is the sustained rate of the weight store.
	expertsPerSecond = 400
	// maxExpertBurst is the number of experts that the weight store serves at once.
	maxExpertBurst = 16
)

// weightStore simulates a weight store that limits its rate.
type weightStore struct {
	limiter *rate.Limiter
}

func newWeightStore() *weightStore {
	return &weightStore{limiter: rate.NewLimiter(expertsPerSecond, maxExpertBurst)}
}

// fetch waits as long as the store needs to serve the weights of a number of experts.
func (w *weightStore) fetch(experts int) {
	for experts > 0 {
		n := min(experts, maxExpertBurst)
		_ = w.limiter.WaitN(context.Background(), n)
		experts -= n
	}
}
