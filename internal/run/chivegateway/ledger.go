package chivegateway

import (
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivefair"
)

const (
	// meanLengthWeight is the weight of the newest answer in the mean length.
	meanLengthWeight = 0.1
	// maxAccounts bounds the accounts; they are few, since a gateway serves few
	// workspaces.
	maxAccounts = 50_000
)

// A ledger keeps the account of every workspace with every model or service: the
// service that it has had lately through this gateway, and how long its answers
// are.
type ledger struct {
	mu       sync.Mutex
	accounts map[accountKey]*account
}

// accountKey names an account.
type accountKey struct {
	workspace string
	// target is a model or a service.
	target string
}

type account struct {
	meter chivefair.Meter
	// meanLength is the meanLength length of answers, 0 before the first.
	meanLength float64
}

func newLedger() *ledger {
	return &ledger{accounts: map[accountKey]*account{}}
}

// estimate returns the service that the workspace has had lately and the expected
// length of an answer of at most limit tokens. What a caller asks for at most
// does not count where its answers are shorter.
func (l *ledger) estimate(key accountKey, limit uint64) (level float64, cost uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(key)
	level = a.meter.Rate(time.Now())
	if a.meanLength == 0 {
		return level, limit
	}
	return level, min(limit, uint64(a.meanLength)+1)
}

// charge counts service, or takes some back where the cost is negative.
func (l *ledger) charge(key accountKey, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(key).meter.Add(time.Now(), cost)
}

// recordLength takes the length of a whole answer into the mean.
func (l *ledger) recordLength(key accountKey, tokens uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(key)
	if a.meanLength == 0 {
		a.meanLength = float64(tokens)
		return
	}
	a.meanLength += meanLengthWeight * (float64(tokens) - a.meanLength)
}

func (l *ledger) account(key accountKey) *account {
	a := l.accounts[key]
	if a != nil {
		return a
	}
	if len(l.accounts) >= maxAccounts {
		clear(l.accounts)
	}
	a = &account{}
	l.accounts[key] = a
	return a
}
