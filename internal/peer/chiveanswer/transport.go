package chiveanswer

import (
	"net"
	"net/http"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivesocket"
)

// Transport is an http.RoundTripper that returns no answer which Check rejects, and whose answers do not
// look complete if their connection was reset.
type Transport struct {
	transport *http.Transport
}

// NewTransport returns a Transport that uses t with connections of a dialer.
func NewTransport(t *http.Transport, d *net.Dialer) *Transport {
	t.DialContext = chivesocket.DialContext(d)
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	CheckTrailer(resp)
	return resp, nil
}

// CloseIdleConnections closes the idle connections. http.Client.CloseIdleConnections calls it.
func (t *Transport) CloseIdleConnections() {
	t.transport.CloseIdleConnections()
}
