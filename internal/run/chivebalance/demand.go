package chivebalance

import (
	"maps"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivemap"
)

const (
	// maxDemandSize is the maximum size in bytes of the encoded demand. The row of the
	// lease, which has the demand of all groups, may have 64 KiB.
	maxDemandSize = 40 << 10
	// maxDemandWeight is the weight of the expert in most demand in a layer.
	maxDemandWeight = 1<<16 - 1
)

// demandByGroup holds the demand for experts by the name of the group. The holder of
// the duty leaves it to the next one with the lease, so that a group that was formed
// anew after a loss of power gets a map before its first requests have been counted.
// It is safe for concurrent use.
type demandByGroup struct {
	mu     sync.Mutex
	groups map[string]chivemap.Loads
}

// demandRecord is the encoding of a demandByGroup.
type demandRecord struct {
	// Groups holds the weight of each expert, by group and layer.
	Groups map[string][][]uint16 `cbor:"groups"`
}

// set stores the demand for experts in a group.
func (d *demandByGroup) set(group string, loads chivemap.Loads) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.groups == nil {
		d.groups = map[string]chivemap.Loads{}
	}
	d.groups[group] = loads
}

// get returns the demand for experts in a group, or nil if it is not known for the
// given number of layers and experts.
func (d *demandByGroup) get(group string, layers, experts int) chivemap.Loads {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := d.groups[group]
	if len(loads) != layers {
		return nil
	}
	for _, layer := range loads {
		if len(layer) != experts {
			return nil
		}
	}
	return loads
}

// encode returns the demand of all groups, or nil if there is none or it is larger
// than maxDemandSize.
func (d *demandByGroup) encode() []byte {
	d.mu.Lock()
	groups := maps.Clone(d.groups)
	d.mu.Unlock()
	if len(groups) == 0 {
		return nil
	}
	record := demandRecord{Groups: map[string][][]uint16{}}
	for name, loads := range groups {
		for _, layer := range loads {
			record.Groups[name] = append(record.Groups[name], demandWeights(layer))
		}
	}
	data, err := cbor.Marshal(&record)
	if err != nil || len(data) > maxDemandSize {
		return nil
	}
	return data
}

// demandWeights returns the loads of a layer in proportion to the largest one.
func demandWeights(loads []float64) []uint16 {
	var largest float64
	for _, l := range loads {
		largest = max(largest, l)
	}
	weights := make([]uint16, len(loads))
	for e, l := range loads {
		if largest > 0 && l > 0 {
			weights[e] = uint16(l / largest * maxDemandWeight)
		}
	}
	return weights
}

// decode replaces the demand of the encoded groups. It returns an error, and changes
// nothing, if the encoding is malformed.
func (d *demandByGroup) decode(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var record demandRecord
	if err := cbor.Unmarshal(data, &record); err != nil {
		return errs.Wrap(err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.groups == nil {
		d.groups = map[string]chivemap.Loads{}
	}
	for name, layers := range record.Groups {
		var loads chivemap.Loads
		for _, weights := range layers {
			layer := make([]float64, len(weights))
			for e, w := range weights {
				layer[e] = float64(w)
			}
			loads = append(loads, layer)
		}
		d.groups[name] = loads
	}
	return nil
}
