package chivestandin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

// service simulates one runner of a plain service. POST requests are not
// idempotent: the service counts their runs by request body.
type service struct {
	faultInjector
	sheet chivesheet.Endpoint

	mu         sync.Mutex
	startTime  float64
	runsByBody map[string]int
	counters   EngineReport
}

func newService(e chivesheet.Endpoint) *service {
	return &service{sheet: e, startTime: float64(time.Now().UnixNano()) / 1e9, runsByBody: map[string]int{}}
}

// serviceResponse is the body of a response.
type serviceResponse struct {
	Body     string `json:"body"`
	Endpoint string `json:"endpoint"`
	Run      int    `json:"run"`
}

// ServeHTTP implements http.Handler.
func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/metrics" {
		_, _ = io.WriteString(w, "process_start_time_seconds 1\n")
		return
	}
	fault := s.nextFault()
	if !fault.applyBefore(w) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Method != http.MethodPost {
		writeJSON(w, http.StatusOK, serviceResponse{Body: r.URL.Path, Endpoint: s.sheet.Name})
		return
	}
	s.mu.Lock()
	s.runsByBody[string(body)]++
	s.counters.Started++
	n := s.runsByBody[string(body)]
	s.mu.Unlock()
	fault.applyAfter()
	writeJSON(w, http.StatusCreated, serviceResponse{Body: string(body), Endpoint: s.sheet.Name, Run: n})
}

// report returns the counters of the service and adds its runs by body to runs.
func (s *service) report(runs map[string]int) EngineReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	for body, n := range s.runsByBody {
		runs[body] += n
	}
	return s.counters
}
