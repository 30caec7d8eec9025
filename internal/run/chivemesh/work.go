package chivemesh

import (
	"errors"
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// workUnits is the number of units of PackedWork in a usual request.
const workUnits = 8

// shortFloats encodes floating-point numbers in as few bytes as hold them.
var shortFloats = mustEncMode(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16})

func mustEncMode(o cbor.EncOptions) cbor.EncMode {
	m, err := o.EncMode()
	if err != nil {
		panic("mesh: encoding options: " + err.Error())
	}
	return m
}

// encode encodes a message. The bytes of one without work are those of entry VMs that do not
// know work.
func encode(p *Packet) ([]byte, error) {
	load := p.load()
	if load == nil || load.Work == nil {
		return cbor.Marshal(p)
	}
	// A packet may be sent to several receivers at the same time.
	packed := *p
	if p.Report != nil {
		report := *p.Report
		report.Load = load.pack()
		packed.Report = &report
	} else {
		digest := *p.Digest
		digest.Load = load.pack()
		packed.Digest = &digest
	}
	return shortFloats.Marshal(&packed)
}

// load returns the load in the packet, or nil.
func (p *Packet) load() *Load {
	switch {
	case p.Report != nil:
		return &p.Report.Load
	case p.Digest != nil:
		return &p.Digest.Load
	}
	return nil
}

// pack returns the load with its work as one byte for each runner in InFlight, in the order of
// their IDs, and with usage rounded so that both take no more bytes than usage alone.
func (l *Load) pack() Load {
	p := *l
	p.PackedWork = make([]byte, 0, len(l.InFlight))
	for _, id := range slices.Sorted(maps.Keys(l.InFlight)) {
		work, ok := l.Work[id]
		if !ok {
			work = float64(l.InFlight[id])
		}
		units := math.Ceil(work * workUnits)
		p.PackedWork = append(p.PackedWork, byte(max(0, min(units, math.MaxUint8))))
	}
	p.Served = make(map[string]map[string]float64, len(l.Served))
	for service, rates := range l.Served {
		rounded := make(map[string]float64, len(rates))
		for workspace, rate := range rates {
			rounded[workspace] = float64(float32(rate))
		}
		p.Served[service] = rounded
	}
	return p
}

// unpack sets Work from PackedWork. It returns an error if these do not belong to InFlight.
func (l *Load) unpack() error {
	if l.PackedWork == nil {
		return nil
	}
	if len(l.PackedWork) != len(l.InFlight) {
		return errors.New("load has work of other runners than its requests")
	}
	l.Work = make(map[string]float64, len(l.InFlight))
	for i, id := range slices.Sorted(maps.Keys(l.InFlight)) {
		l.Work[id] = float64(l.PackedWork[i]) / workUnits
	}
	l.PackedWork = nil
	return nil
}

// addWork adds the work of another load, before its requests are added. If only one of them
// tells work, each request of the other counts as a usual one.
func (l *Load) addWork(o *Load) {
	if l.Work == nil && o.Work == nil {
		return
	}
	if l.Work == nil {
		l.Work = countAsUsual(l.InFlight)
	}
	other := o.Work
	if other == nil {
		other = countAsUsual(o.InFlight)
	}
	for id, work := range other {
		l.Work[id] += work
	}
}

// countAsUsual returns the work of requests that are all usual ones.
func countAsUsual(inFlight map[string]int) map[string]float64 {
	work := make(map[string]float64, len(inFlight))
	for id, n := range inFlight {
		work[id] = float64(n)
	}
	return work
}
