package chivestandin

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"golang.org/x/time/rate"
)

// Rate limits of the table in requests per second.
const (
	writesPerSecond = 300
	readsPerSecond  = 2000
)

// table simulates a table with the part of the DynamoDB protocol that the system
// uses.
type table struct {
	faultInjector
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	mu       sync.Mutex
	items    map[string]item
	counters struct{ Reads, Writes, Throttled uint64 }
}

// item is a row: attributes by name, each a map from its type to its value.
type item map[string]map[string]string

func newTable() *table {
	return &table{
		readLimiter: rate.NewLimiter(readsPerSecond, readsPerSecond), writeLimiter: rate.NewLimiter(writesPerSecond, writesPerSecond),
		items: map[string]item{},
	}
}

// tableRequest is the body of a GetItem or PutItem request.
type tableRequest struct {
	Key                       item
	Item                      item
	ProjectionExpression      string
	ConditionExpression       string
	ExpressionAttributeValues item
}

// tableResponse is the body of the response to a successful request.
type tableResponse struct {
	Item item `json:",omitempty"`
}

// tableError is the body of the response to a failed request.
type tableError struct {
	Type    string `json:"__type"`
	Message string `json:"message"`
}

// ServeHTTP implements http.Handler.
func (t *table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := t.nextFault()
	if !fault.applyBefore(w) {
		return
	}
	var req tableRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeTableError(w, "SerializationException", err.Error())
		return
	}
	_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	switch operation {
	case "GetItem":
		t.get(w, &req)
	case "PutItem":
		t.put(w, &req, fault)
	default:
		writeTableError(w, "UnknownOperationException", operation)
	}
}

// writeTableError writes a response with a DynamoDB exception.
func writeTableError(w http.ResponseWriter, kind, message string) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	writeJSON(w, http.StatusBadRequest, tableError{Type: "com.amazonaws.dynamodb.v20120810#" + kind, Message: message})
}

func (t *table) get(w http.ResponseWriter, req *tableRequest) {
	if !t.readLimiter.Allow() {
		t.throttle(w)
		return
	}
	t.mu.Lock()
	t.counters.Reads++
	found := t.items[req.Key["id"]["S"]]
	t.mu.Unlock()
	if name := req.ProjectionExpression; name != "" && found != nil {
		found = item{name: found[name]}
	}
	writeJSON(w, http.StatusOK, tableResponse{Item: found})
}

func (t *table) put(w http.ResponseWriter, req *tableRequest, fault Fault) {
	if !t.writeLimiter.Allow() {
		t.throttle(w)
		return
	}
	t.mu.Lock()
	t.counters.Writes++
	ok := t.conditionHolds(req)
	if ok {
		t.items[req.Item["id"]["S"]] = req.Item
	}
	t.mu.Unlock()
	fault.applyAfter()
	if !ok {
		writeTableError(w, "ConditionalCheckFailedException", "The conditional request failed")
		return
	}
	writeJSON(w, http.StatusOK, tableResponse{})
}

// conditionHolds reports whether the condition of a write holds. The caller must hold
// the lock.
func (t *table) conditionHolds(req *tableRequest) bool {
	old, exists := t.items[req.Item["id"]["S"]]
	switch req.ConditionExpression {
	case "attribute_not_exists(id)":
		return !exists
	case "version = :old":
		return exists && old["version"]["N"] == req.ExpressionAttributeValues[":old"]["N"]
	}
	return req.ConditionExpression == ""
}

func (t *table) throttle(w http.ResponseWriter) {
	t.mu.Lock()
	t.counters.Throttled++
	t.mu.Unlock()
	writeTableError(w, "ProvisionedThroughputExceededException", "The rate is exceeded")
}
