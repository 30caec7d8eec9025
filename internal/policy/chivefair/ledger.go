package chivefair

import "time"

// remoteMaxAge is the age after which the rates from another source are
// discarded.
const remoteMaxAge = 3 * time.Second

// idleRate is the rate of service, in cost per second, below which a workspace
// counts as idle.
const idleRate = 0.05

// Ledger tracks the recent rate at which a service has served each workspace:
// measured for requests through this gateway, and as reported for requests
// through others. The zero value is empty. It is not safe for concurrent use.
type Ledger struct {
	local  map[string]*Meter
	remote map[string]remoteRates
}

// remoteRates holds the rates by workspace that a source reported, and when.
type remoteRates struct {
	rates map[string]float64
	at    time.Time
}

// Add adds service of a workspace through this gateway.
func (l *Ledger) Add(now time.Time, workspace string, cost float64) {
	if l.local == nil {
		l.local = map[string]*Meter{}
	}
	m := l.local[workspace]
	if m == nil {
		m = &Meter{}
		l.local[workspace] = m
	}
	m.Add(now, cost)
}

// SetRemoteRates replaces the rates by workspace that a source reported. A source
// is another gateway or a group of them. The ledger retains the map.
func (l *Ledger) SetRemoteRates(now time.Time, source string, rates map[string]float64) {
	if l.remote == nil {
		l.remote = map[string]remoteRates{}
	}
	l.remote[source] = remoteRates{rates: rates, at: now}
}

// LocalRates returns the rates of service through this gateway by workspace. It
// omits idle workspaces and removes them from the ledger.
func (l *Ledger) LocalRates(now time.Time) map[string]float64 {
	rates := map[string]float64{}
	for workspace, m := range l.local {
		rate := m.Rate(now)
		if rate >= idleRate {
			rates[workspace] = rate
			continue
		}
		delete(l.local, workspace)
	}
	return rates
}

// OverShare reports whether a workspace receives more than an equal share of the
// recent service through all gateways. Shares are equal among the workspaces that
// are not idle.
func (l *Ledger) OverShare(now time.Time, workspace string) bool {
	sums := l.LocalRates(now)
	for source, r := range l.remote {
		if now.Sub(r.at) > remoteMaxAge {
			delete(l.remote, source)
			continue
		}
		for w, rate := range r.rates {
			sums[w] += rate
		}
	}
	var total float64
	for _, rate := range sums {
		total += rate
	}
	return sums[workspace]*float64(len(sums)) > total
}
