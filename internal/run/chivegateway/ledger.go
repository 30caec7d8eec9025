package chivegateway

import (
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivefair"
)

const (
	// meanLengthWeight is the weight of the newest answer in the moving average
	// of answer lengths.
	meanLengthWeight = 0.1
	// maxAccounts bounds the memory of a ledger, which drops all accounts when
	// it is full. A gateway serves few workspaces, so the bound is rarely
	// reached.
	maxAccounts = 50_000
)

// ledger keeps one account for each pair of a workspace and a model or service:
// the recent service through this gateway and the mean length of answers. It is
// safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	accounts map[accountKey]*account
}

// accountKey identifies an account.
type accountKey struct {
	workspace string
	// target is the name of a model or service.
	target string
}

// account holds the usage of a model or service by one workspace.
type account struct {
	meter chivefair.Meter
	// meanLength is the moving average of answer lengths in tokens, 0 before
	// the first answer.
	meanLength float64
}

// newLedger returns a ledger without accounts.
func newLedger() *ledger {
	return &ledger{accounts: map[accountKey]*account{}}
}

// estimate returns the recent service of the workspace in cost per second and
// the expected length in tokens of an answer that is limited to limit tokens.
// The mean length replaces the limit where it is shorter, because callers often
// ask for more tokens than their answers have.
func (l *ledger) estimate(key accountKey, limit uint64) (recentService float64, cost uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(key)
	recentService = a.meter.Rate(time.Now())
	if a.meanLength == 0 {
		return recentService, limit
	}
	return recentService, min(limit, uint64(a.meanLength)+1)
}

// charge adds service to an account. A negative cost refunds service.
func (l *ledger) charge(key accountKey, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(key).meter.Add(time.Now(), cost)
}

// recordLength adds the length in tokens of a complete answer to the moving
// average.
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

// account returns the account for the key and creates it if needed. The caller
// holds the lock.
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
