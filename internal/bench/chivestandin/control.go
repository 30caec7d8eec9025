package chivestandin

import (
	"encoding/json"
	"net/http"
)

// addControlHandlers adds the handlers through which tests change the VM list, inject
// faults and read the report.
func (s *StandIn) addControlHandlers() {
	s.controlMux.Handle("/vms", s.vms)
	s.controlMux.HandleFunc("POST /faults", s.postFault)
	s.controlMux.HandleFunc("GET /report", s.getReport)
}

func (s *StandIn) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.setFault(f) {
		http.Error(w, "no target "+f.Target, http.StatusNotFound)
	}
}

// setFault sets the fault of its target. It reports whether the target exists.
func (s *StandIn) setFault(f Fault) bool {
	switch f.Target {
	case "table":
		s.table.set(f)
		return true
	case "object":
		s.object.set(f)
		return true
	case "vms":
		s.vms.set(f)
		return true
	}
	if e, ok := s.engines[f.Target]; ok {
		e.setFault(f)
		return true
	}
	if v, ok := s.services[f.Target]; ok {
		v.set(f)
		return true
	}
	return false
}

// Report holds the counters of all stand-ins.
type Report struct {
	// Runs holds the number of runs of service requests by request body.
	Runs map[string]int `json:"runs"`
	// Engines holds the counters of every engine and service by endpoint name.
	Engines map[string]EngineReport `json:"engines"`
	// Groups holds the counters of every rank group by name.
	Groups map[string]GroupReport `json:"groups"`
	// Reads and Writes count the requests that the table carried out, Throttled those
	// that it refused because of its rate limits.
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Throttled uint64 `json:"throttled"`
}

// EngineReport holds the counters of one engine or service.
type EngineReport struct {
	// Started counts the requests that were started.
	Started int `json:"started"`
	// Completed counts the requests that an engine finished.
	Completed int `json:"completed"`
	// Running is the number of requests that an engine runs now.
	Running int `json:"running"`
	// Overloads counts the requests that exceeded the capacity of the engine.
	Overloads int `json:"overloads"`
	// PrefixHits and PrefixMisses count the prompts whose prefix was cached and those
	// whose prefix was not.
	PrefixHits   int `json:"hits"`
	PrefixMisses int `json:"misses"`
}

// GroupReport holds the counters of one rank group.
type GroupReport struct {
	// Steps counts the steps that all ranks made.
	Steps uint64 `json:"steps"`
	// MismatchedSteps counts the steps in which ranks used different expert maps.
	MismatchedSteps uint64 `json:"splits"`
	// HeldSteps counts the steps that were skipped because a rank was held.
	HeldSteps uint64 `json:"stalls"`
	// MapSwitches counts how often a rank set an expert map.
	MapSwitches uint64 `json:"switches"`
}

func (s *StandIn) getReport(w http.ResponseWriter, _ *http.Request) {
	report := Report{Runs: map[string]int{}, Engines: map[string]EngineReport{}, Groups: map[string]GroupReport{}}
	for name, e := range s.engines {
		report.Engines[name] = e.report()
	}
	for name, v := range s.services {
		report.Engines[name] = v.report(report.Runs)
	}
	for name, g := range s.groups {
		report.Groups[name] = g.report()
	}
	s.table.mu.Lock()
	report.Reads, report.Writes, report.Throttled = s.table.counters.Reads, s.table.counters.Writes, s.table.counters.Throttled
	s.table.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}
