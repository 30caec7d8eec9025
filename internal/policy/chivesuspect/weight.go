package chivesuspect

import (
	"cmp"
	"time"
)

// weight is what decides which suspects are kept, and told to other entry VMs, if not all can be.
type weight struct {
	id       string
	excluded bool
	crashes  int
	// share is the fraction of requests that have a part, 0 for requests: one that crashes runners
	// comes more often than the others that they hold. last is the latest crash.
	share float64
	last  time.Duration
}

// weigh returns the weight of a suspect of a kind that is not excluded.
func (e *evidence) weigh(k Kind, id string) weight {
	r := e.records[id]
	w := weight{id: id, crashes: len(r.crashes), last: r.last}
	if k == Part {
		w.share = e.history.share(id)
	}
	return w
}

// compare orders suspects: the excluded ones first, then those with the most crashes. Of as many
// crashes the rarest show most, since runners that crash hold many requests with what is common.
func (w weight) compare(o weight) int {
	if w.excluded != o.excluded {
		if w.excluded {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(o.crashes, w.crashes), cmp.Compare(w.share, o.share), cmp.Compare(o.last, w.last), cmp.Compare(w.id, o.id))
}

// compareRarity orders suspects by the fraction of requests that have them, rarest first.
func (w weight) compareRarity(o weight) int {
	return cmp.Or(cmp.Compare(w.share, o.share), w.compare(o))
}

// heaviest keeps the first suspects in the order of compare, at most as many as its capacity.
type heaviest []weight

// add adds a suspect.
func (h *heaviest) add(w weight) {
	list := *h
	if len(list) == cap(list) {
		if w.compare(list[len(list)-1]) >= 0 {
			return
		}
		list = list[:len(list)-1]
	}
	i := len(list)
	for i > 0 && w.compare(list[i-1]) < 0 {
		i--
	}
	list = append(list, weight{})
	copy(list[i+1:], list[i:])
	list[i] = w
	*h = list
}
