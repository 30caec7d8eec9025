// Package chiveanswer checks what servers answer beyond what net/http checks.
package chiveanswer

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is returned for an answer that is none in HTTP/1.
var ErrMalformed = errors.New("answer is malformed")

const (
	// minStatus and maxStatus are the least and the greatest status that HTTP defines the class of.
	minStatus, maxStatus = 100, 599
	// protoMajor is the major version of the protocol.
	protoMajor = 1
)

// Check returns an error that wraps ErrMalformed if the head of an answer is malformed: its version, its
// status, and the names and values of its fields. net/http passes on names with blanks, also those that
// would say where the body ends, and statuses without a class.
func Check(resp *http.Response) error {
	if resp.ProtoMajor != protoMajor {
		return fmt.Errorf("version %.20q: %w", resp.Proto, ErrMalformed)
	}
	// The status was read as a number, which may bear a sign.
	if len(resp.Status) < statusDigits || resp.Status[:statusDigits] != fmt.Sprintf("%03d", resp.StatusCode) || resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return fmt.Errorf("status %.40q: %w", resp.Status, ErrMalformed)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("status %.40q to a request for no other protocol: %w", resp.Status, ErrMalformed)
	}
	return checkFields(resp.Header)
}

// statusDigits is the number of digits of a status.
const statusDigits = 3

// checkFields returns an error that wraps ErrMalformed if a name is no token or a value holds a control
// byte.
func checkFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("field name %.40q: %w", name, ErrMalformed)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return fmt.Errorf("value %.40q of field %.40q: %w", v, name, ErrMalformed)
			}
		}
	}
	return nil
}

// CheckTrailer makes the body of an answer end with an error that wraps ErrMalformed if the names or the
// values of its trailer are malformed.
func CheckTrailer(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailedBody{resp.Body, resp}
	}
}

// trailedBody is a body that may have a trailer.
type trailedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkFields(b.resp.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
