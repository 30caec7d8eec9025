package chivelink

import (
	"errors"
	"fmt"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveswitch"
)

// An OpenMessage is the first message on a stream. Exactly one field is set.
type OpenMessage struct {
	Call  *Call              `cbor:"call,omitempty"`
	Sync  *Sync              `cbor:"sync,omitempty"`
	Order *chiveswitch.Order `cbor:"order,omitempty"`
	Query *Query             `cbor:"query,omitempty"`
}

// Check returns an error unless exactly one field is set and valid.
func (o *OpenMessage) Check() error {
	var errs []error
	n := 0
	if o.Call != nil {
		n++
		errs = append(errs, o.Call.Check())
	}
	if o.Sync != nil {
		n++
		errs = append(errs, o.Sync.Check())
		if o.Sync.Node.Name == "" {
			errs = append(errs, errors.New("first sync names no node"))
		}
	}
	if o.Order != nil {
		n++
		errs = append(errs, o.Order.Check())
	}
	if o.Query != nil {
		n++
	}
	if n != 1 {
		return fmt.Errorf("stream opens with %d messages", n)
	}
	return errors.Join(errs...)
}
