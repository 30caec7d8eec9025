package chiveharness

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/chiveyoke/chiveyoke/internal/bench/chivestandin"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
)

// NewChange returns a configuration change with a new ID, the author "harness" and the
// base version base.
func NewChange(kind chiveconf.ChangeKind, subject string, base uint64) chiveconf.Change {
	return chiveconf.Change{ID: uuid.NewString(), Author: "harness", Kind: kind, Subject: subject, BaseVersion: base}
}

// PutVMs publishes the current f.VMs in the VM list of the stand-in after a lag.
func (f *Fleet) PutVMs(lag time.Duration) error {
	return f.sendToStandIn(http.MethodPut, "/vms?lag="+lag.String(), f.VMs)
}

// InjectFault sets a fault at the stand-in.
func (f *Fleet) InjectFault(fault chivestandin.Fault) error {
	return f.sendToStandIn(http.MethodPost, "/faults", fault)
}

// Report returns the report of the stand-in on executions, groups and engines.
func (f *Fleet) Report() (*chivestandin.Report, error) {
	resp, err := f.client.Get("http://" + f.standInAddress(2) + "/report")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	report := &chivestandin.Report{}
	return report, Error.Wrap(json.NewDecoder(resp.Body).Decode(report))
}

// sendToStandIn sends a request with a JSON body to the control interface of the
// stand-in. It returns an error unless the status is 200.
func (f *Fleet) sendToStandIn(method, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return Error.Wrap(err)
	}
	req, err := http.NewRequest(method, "http://"+f.standInAddress(2)+path, bytes.NewReader(data))
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(resp.Body)
		return Error.New("%s %s: %s %s", method, path, resp.Status, message)
	}
	return nil
}
