package chivestandin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivevm"
)

// vmList simulates the VM list of the platform.
type vmList struct {
	faultInjector

	mu      sync.Mutex
	visible []chivevm.VM
	// pending replaces visible at visibleAt, if not nil.
	pending   []chivevm.VM
	lag       time.Duration
	visibleAt time.Time
}

// ServeHTTP implements http.Handler. GET returns the visible list. PUT replaces it
// after the time in the query parameter lag.
func (l *vmList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		l.put(w, r)
		return
	}
	if !l.nextFault().applyBefore(w) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending != nil && time.Now().After(l.visibleAt) {
		l.visible, l.pending = l.pending, nil
	}
	list := l.visible
	if list == nil {
		list = []chivevm.VM{}
	}
	body, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("ETag", `"`+digestOf(body)+`"`)
	w.Header().Set("Content-Type", "application/json")
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body))
}

func (l *vmList) put(w http.ResponseWriter, r *http.Request) {
	var list []chivevm.VM
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lag, err := time.ParseDuration(r.URL.Query().Get("lag"))
	if err != nil {
		lag = 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending, l.lag, l.visibleAt = list, lag, time.Now().Add(lag)
}
