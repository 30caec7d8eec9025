package chivestandin

import (
	"encoding/json"
	"net/http"
)

// addControl adds the paths by which tests switch faults and read records.
func (s *StandIn) addControl() {
	s.mux.Handle("/vms", s.vms)
	s.mux.HandleFunc("POST /faults", s.postFault)
	s.mux.HandleFunc("GET /report", s.getReport)
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

// A Report is the stand-ins' own record of what happened.
type Report struct {
	// Runs counts, by the body of a service call, how often it ran.
	Runs map[string]int `json:"runs"`
	// Engines holds the record of every engine.
	Engines map[string]EngineReport `json:"engines"`
	// Groups holds the record of every rank group.
	Groups map[string]GroupReport `json:"groups"`
	// Reads, Writes and Throttled count the requests of the table.
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Throttled uint64 `json:"throttled"`
}

// An EngineReport is the record of one engine or service.
type EngineReport struct {
	// Started counts the requests that began.
	Started int `json:"started"`
	// Completed counts those that ended whole.
	Completed int `json:"completed"`
	// Running is the number of requests that run.
	Running int `json:"running"`
	// Overloads counts the requests that came above what the engine bore.
	Overloads int `json:"overloads"`
	// PrefixHits and Misses count the prompts by whether their prefix was cached.
	PrefixHits   int `json:"hits"`
	PrefixMisses int `json:"misses"`
}

// A GroupReport is the record of one rank group.
type GroupReport struct {
	Steps uint64 `json:"steps"`
	// MismatchedSteps counts the steps in which ranks used different maps.
	MismatchedSteps uint64 `json:"splits"`
	// HeldSteps counts the steps that did not happen since a rank was held.
	HeldSteps uint64 `json:"stalls"`
	// MapSwitches counts the changes of the map.
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
	report.Reads, report.Writes, report.Throttled = s.table.count.Reads, s.table.count.Writes, s.table.count.Throttled
	s.table.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}
