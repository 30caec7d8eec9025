// Package chiveanswer checks what servers answer beyond what net/http checks.
package chiveanswer

import (
	"errors"
	"fmt"
	"net/http"
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
// status. net/http passes on statuses without a class.
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
	return nil
}

// statusDigits is the number of digits of a status.
const statusDigits = 3
