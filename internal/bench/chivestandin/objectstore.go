package chivestandin

import (
	"encoding/xml"
	"io"
	"net/http"
	"sync"
)

// objectStore simulates an object store with the part of the S3 protocol that the
// system uses. Its objects are keyed by path.
type objectStore struct {
	faultInjector

	mu      sync.Mutex
	objects map[string][]byte
}

func newObjectStore() *objectStore {
	return &objectStore{objects: map[string][]byte{}}
}

// objectError is the body of the response to a failed request.
type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

// ServeHTTP implements http.Handler.
func (o *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := o.nextFault()
	if !fault.applyBefore(w) {
		return
	}
	switch r.Method {
	case http.MethodPut:
		o.put(w, r, fault)
	case http.MethodGet:
		o.get(w, r)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (o *objectStore) put(w http.ResponseWriter, r *http.Request, fault Fault) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	o.objects[r.URL.Path] = data
	o.mu.Unlock()
	fault.applyAfter()
}

func (o *objectStore) get(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	data, ok := o.objects[r.URL.Path]
	o.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		_ = xml.NewEncoder(w).Encode(objectError{Code: "NoSuchKey", Message: r.URL.Path})
		return
	}
	_, _ = w.Write(data)
}
