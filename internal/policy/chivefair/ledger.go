package chivefair

import "time"

// statedAge is how long a statement of another gateway counts.
const statedAge = 3 * time.Second

// leastLevel is the recent service below which a workspace is idle.
const leastLevel = 0.05

// A Ledger knows the recent service of workspaces by a service, through this
// gateway and, as they state it, through others. Its zero value knows none. It is
// not safe for concurrent use.
type Ledger struct {
	own    map[string]*Meter
	stated map[string]statement
}

// statement is what another gateway, or several, said at a time.
type statement struct {
	levels map[string]float64
	at     time.Time
}

// Add counts service of a workspace through this gateway.
func (l *Ledger) Add(now time.Time, workspace string, cost float64) {
	if l.own == nil {
		l.own = map[string]*Meter{}
	}
	m := l.own[workspace]
	if m == nil {
		m = &Meter{}
		l.own[workspace] = m
	}
	m.Add(now, cost)
}

// SetRemoteRates takes what a source says of the recent service through it.
func (l *Ledger) SetRemoteRates(now time.Time, source string, levels map[string]float64) {
	if l.stated == nil {
		l.stated = map[string]statement{}
	}
	l.stated[source] = statement{levels: levels, at: now}
}

// LocalRates returns the recent service through this gateway of workspaces that are not
// idle.
func (l *Ledger) LocalRates(now time.Time) map[string]float64 {
	list := map[string]float64{}
	for workspace, m := range l.own {
		level := m.Rate(now)
		if level >= leastLevel {
			list[workspace] = level
			continue
		}
		delete(l.own, workspace)
	}
	return list
}

// OverShare reports whether a workspace has more than an equal share of the recent
// service through all gateways.
func (l *Ledger) OverShare(now time.Time, workspace string) bool {
	sums := l.LocalRates(now)
	for source, s := range l.stated {
		if now.Sub(s.at) > statedAge {
			delete(l.stated, source)
			continue
		}
		for w, level := range s.levels {
			sums[w] += level
		}
	}
	var all float64
	for _, level := range sums {
		all += level
	}
	return sums[workspace]*float64(len(sums)) > all
}
