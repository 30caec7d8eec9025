package chivelimit

import "time"

const (
	// gaitSlow is how much longer than usual a pass must take to count as slow.
	gaitSlow = 1.8
	// gaitFall and gaitRise are the parts by which the usual time follows a shorter
	// and a longer one with each look. A slow rank stays conspicuous for some
	// looks, and the few passes of one look are not taken for a usual time.
	gaitFall = 0.2
	gaitRise = 0.05
)

// A StepTimeDetector tells when the passes of a group become slower than usual: a load that
// rises does that gradually, a rank that turns slow at once. Its zero value has
// seen no pass.
type StepTimeDetector struct {
	usual time.Duration
	pass  int64
	at    time.Time
}

// Observe takes the number of the last pass that had begun at a moment. It reports
// whether passes have become slower than usual.
func (g *StepTimeDetector) Observe(now time.Time, pass int64) bool {
	last, at := g.pass, g.at
	if at.IsZero() || pass < last {
		g.pass, g.at = pass, now
		return false
	}
	// Where no pass has begun since, the last one has lasted that long already.
	each := now.Sub(at) / time.Duration(max(1, pass-last))
	if pass > last {
		g.pass, g.at = pass, now
	}
	if g.usual == 0 && pass == last {
		return false
	}
	slow := g.usual > 0 && float64(each) > gaitSlow*float64(g.usual)
	switch {
	case g.usual == 0:
		g.usual = each
	case each < g.usual:
		g.usual -= time.Duration(gaitFall * float64(g.usual-each))
	case pass > last:
		g.usual += time.Duration(gaitRise * float64(each-g.usual))
	}
	return slow
}
