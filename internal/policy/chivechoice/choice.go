// Package chivechoice implements the choice of a runner for a request.
package chivechoice

// A Candidate is a runner that may take a request.
type Candidate struct {
	// Busy is the number of requests that it has from all entry VMs, as far as
	// known.
	Busy int
	// Slots is the number of requests that it runs at once.
	Slots int
	// Near says that it is in the zone of the entry VM.
	Near bool
	// Suspect says that it failed a short time ago.
	Suspect bool
	// Tried says that the request was sent to it before.
	Tried bool
}

// A Chooser weighs candidates. Its zero value uses the defaults.
type Chooser struct {
	// Queue is the number of requests beyond its slots that a runner may have.
	Queue int
	// Distance is what another zone weighs, in requests; 0 means 1.5.
	Distance float64
}

// The weights of candidates, in requests.
const (
	defaultDistance = 1.5
	suspectWeight   = 1000
	triedWeight     = 5000
)

// Choose returns the index of the best candidate, or -1 where none has room.
// Draw is a random number from 0 to 1 that decides between equals.
func (c Chooser) Choose(list []Candidate, draw float64) int {
	best, ties := -1, 0
	var least float64
	for i, k := range list {
		if k.Busy >= k.Slots+c.Queue {
			continue
		}
		w := c.weight(k)
		switch {
		case best < 0 || w < least:
			best, least, ties = i, w, 1
		case w == least:
			ties++
		}
	}
	if ties < 2 {
		return best
	}
	return c.tied(list, least, int(draw*float64(ties)))
}

// tied returns the n-th of the candidates with the least weight.
func (c Chooser) tied(list []Candidate, least float64, n int) int {
	last := -1
	for i, k := range list {
		if k.Busy >= k.Slots+c.Queue || c.weight(k) != least {
			continue
		}
		last = i
		if n == 0 {
			break
		}
		n--
	}
	return last
}

func (c Chooser) weight(k Candidate) float64 {
	w := float64(k.Busy)
	if !k.Near {
		w += c.distance()
	}
	if k.Suspect {
		w += suspectWeight
	}
	if k.Tried {
		w += triedWeight
	}
	return w
}

func (c Chooser) distance() float64 {
	if c.Distance == 0 {
		return defaultDistance
	}
	return c.Distance
}
