package chiveadmit

import (
	"math"
	"time"
)

const (
	// minBudgetFraction and maxBudgetFraction bound the budget of an entry VM, in even
	// parts of the limit: whatever others report, it serves and it cannot flood.
	minBudgetFraction = 0.25
	maxBudgetFraction = 4
	// minShareFraction and maxShareFraction bound an entry VM's share of the room that is
	// left, in even shares.
	minShareFraction = 0.75
	maxShareFraction = 2
	// maxOvercommitAge is the age of reports from which no room is given twice.
	maxOvercommitAge = time.Second
	// overbookingGain is how much of the relative room that is left is added to the overbooking
	// per update, overbookingDecay what is kept of it in an update without refusals.
	overbookingGain  = 0.15
	overbookingDecay = 0.97
	// maxOverbooking bounds the overbooking, in even parts of the limit.
	maxOverbooking = 0.2
	// minFresh is the part of maxOverbooking that remains however old the reports are.
	minFresh = 0.5
	// reserveFraction is the part of a budget that plans leave free: what arrives at random
	// would else often find no room, whatever its urgency.
	reserveFraction = 0.08
	// endsMemory is the time constant of the rate at which work ends.
	endsMemory = time.Second
	// goldenRatio spaces successive rounding thresholds evenly.
	goldenRatio = 0.6180339887498949
	// maxWork bounds the work of one request.
	maxWork = 64
	// pressedFraction is the part of the limit from which requests compete: below it the room
	// that is left covers what all entry VMs admit within the age of their reports, and each
	// refusal would leave places empty.
	pressedFraction = 0.9
	// maxRise bounds the rise of the work of all that is projected, as a fraction of the limit
	// per second.
	maxRise = 2.0
)

// The reasons of refusals.
const (
	reasonNoRoom      = "admission: no room is left for any urgency"
	reasonOthersFirst = "admission: the room that becomes free goes to more urgent requests"
)

// Gate decides which requests one of several entry VMs admits to a service. All of them
// together stay within the limit of the service, though each knows only old reports of
// the work of the others. Times are durations since any fixed moment. The zero value
// admits all requests until Update is called. It is not safe for concurrent use.
type Gate struct {
	// held is the work that this entry VM has admitted, and past is held at earlier times.
	held float64
	past history
	// room is that of the last update, budget the work that may be held until the next one.
	room   Room
	share  float64
	budget float64
	// overbooking is what the budget has beyond the share of the room, in even parts of the
	// limit; refused reports whether a request was refused since the last update.
	overbooking float64
	refused     bool
	// threshold rounds the parts of a place, in (0, 1].
	threshold float64
	// maxHeld is the work that this entry VM may hold whatever others report.
	maxHeld float64
	// pressed reports whether requests compete for the room that is left. lastAll is the work of
	// all at the last update, at updatedAt.
	pressed   bool
	lastAll   float64
	updatedAt time.Duration
	ranking   ranking
	ends      rate
	returns   returnOrder
}

// Known is what an entry VM knows of a service and of the entry VMs before it.
type Known struct {
	// Limit is the work that the runners of the service may hold, 0 if it has none.
	Limit float64
	// Others is the work that other entry VMs hold, Age ago.
	Others float64
	Age    time.Duration
	// Entries is the number of entry VMs that share the limit, itself included.
	Entries int
	// Phase, in [0, 1), differs between the entry VMs.
	Phase float64
}

// Update sets what is known. It is to be called a few times per second.
func (g *Gate) Update(now time.Duration, k Known) {
	entries := float64(max(1, k.Entries))
	limit := max(0, finite(k.Limit))
	age := min(max(0, k.Age), maxHistory)
	others := min(max(0, finite(k.Others)), 2*limit)
	then := g.past.at(now-age, g.held)
	g.share = g.shareOf(then, others, entries)
	all := then + others
	even := limit / entries
	room := limit - all
	// While much room is left, others rarely take all of their shares at once; the older the
	// reports, the less is known of that.
	fresh := max(0, 1-age.Seconds()/maxOvercommitAge.Seconds())
	if room > 0 && limit > 0 {
		room *= 1 + room/limit*fresh
	}
	g.adjustOverbooking(limit, all, fresh)
	// What was held is a good base while it is recent. A fixed part of the limit needs no report.
	base := fresh*(then+g.share*room) + (1-fresh)*g.share*limit
	g.maxHeld = max(1, maxBudgetFraction*even)
	g.budget = min(max(base+g.overbooking*even, minBudgetFraction*even), maxBudgetFraction*even)
	if entries == 1 {
		g.budget = limit - others
	}
	g.pressed = g.projected(now, all, age, limit) >= pressedFraction*limit
	if g.threshold == 0 {
		g.threshold = finite(k.Phase)
	}
	g.threshold += goldenRatio
	g.threshold -= math.Ceil(g.threshold) - 1
	g.room = Room{Limit: limit, Rate: g.ends.perSecond(now, endsMemory) / g.share, Age: age}
	g.past.add(now, g.held)
	g.ranking.planned = 0
}

// projected returns the work of all until the next update: what it was when it was reported,
// and its rise since then.
func (g *Gate) projected(now time.Duration, all float64, age time.Duration, limit float64) float64 {
	elapsed := (now - g.updatedAt).Seconds()
	rise := 0.0
	if g.updatedAt != 0 && elapsed > 0 {
		rise = min(max(0, (all-g.lastAll)/elapsed), maxRise*limit)
	}
	g.lastAll, g.updatedAt = all, now
	return all + rise*(age.Seconds()+elapsed)
}

// adjustOverbooking raises the overbooking while requests are refused although all entry VMs
// together hold less than the limit: budgets that are not used at the moment leave places
// empty, and so does headroom.
func (g *Gate) adjustOverbooking(limit, all, fresh float64) {
	if limit == 0 {
		return
	}
	gap := (limit - all) / limit
	switch {
	case gap < 0:
		g.overbooking += 2 * overbookingGain * gap
	case g.refused:
		g.overbooking += overbookingGain * gap
	default:
		g.overbooking *= overbookingDecay
	}
	g.overbooking = min(max(0, g.overbooking), maxOverbooking*max(minFresh, fresh))
	g.refused = false
}

// shareOf returns the share of the room that this entry VM may take: the mean of an even
// one and of its part of all work.
func (g *Gate) shareOf(own, others, entries float64) float64 {
	share := 1 / entries
	if all := own + others; others > 0 && all > 0 {
		share = (share + own/all) / 2
	}
	return min(max(share, minShareFraction/entries), maxShareFraction/entries, 1)
}

// Room returns what is known of the capacity of the service.
func (g *Gate) Room() Room {
	r := g.room
	if g.share > 0 {
		r.Held = max(0, r.Limit-(g.budget-g.held)/g.share)
	}
	return r
}

// Budget returns the work that this entry VM may hold until the next update.
func (g *Gate) Budget() float64 {
	return g.budget
}

// Admit decides on a request and counts it if it is admitted. The caller must call End
// with the work of an admitted request when it ends.
func (g *Gate) Admit(now time.Duration, d Demand) Admission {
	class, work := classOf(d), usualWork(d.Work)
	g.ranking.add(now, class, work)
	if g.room.Limit == 0 || d.Resumed || !g.pressed && g.held+work <= g.maxHeld {
		return g.admit(now, work)
	}
	free := g.budget - g.held - g.threshold
	if now-g.ranking.planned >= planInterval {
		g.ranking.plan(now, g.ends.perSecond(now, endsMemory)+(free-reserveFraction*g.budget)/roomHorizon.Seconds())
	}
	switch {
	case free < 0:
		return g.refuse(now, d, reasonNoRoom)
	case !g.ranking.due(class):
		return g.refuse(now, d, reasonOthersFirst)
	}
	return g.admit(now, work)
}

// End counts the end of an admitted request.
func (g *Gate) End(now time.Duration, work float64) {
	work = usualWork(work)
	g.held = max(0, g.held-work)
	g.ends.add(now, work, endsMemory)
	g.past.add(now, g.held)
}

func (g *Gate) admit(now time.Duration, work float64) Admission {
	g.held += work
	g.past.add(now, g.held)
	return Admission{Admitted: true}
}

func (g *Gate) refuse(now time.Duration, d Demand, reason string) Admission {
	g.refused = true
	return Admission{RetryAfter: g.Return(now, d.TimeLeft), Reason: reason}
}

// Return returns when a request is likely to find room that was refused for want of it after
// it was admitted.
func (g *Gate) Return(now, timeLeft time.Duration) time.Duration {
	// New requests take what ends. Others return to the room that is left beside them.
	spare := (g.budget-g.held)/returnHorizon.Seconds() + g.ends.perSecond(now, endsMemory) - g.ranking.total(now)
	return g.returns.next(now, spare, timeLeft)
}

// usualWork returns work within its bounds, 1 if it is not known.
func usualWork(work float64) float64 {
	if work = finite(work); work <= 0 {
		return 1
	}
	return min(work, maxWork)
}

// finite returns 0 for values that are no number or infinite.
func finite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
