package chivelink

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("link")

// ErrClosed is returned by Receive after the peer has closed its sending side.
var ErrClosed = errors.New("stream is closed")

const (
	// codeCanceled is the QUIC error code of a canceled stream.
	codeCanceled = 1
	// codeStopped is the QUIC error code of a connection that Server.Stop closed.
	codeStopped = 2
)

// IsStopped reports whether the peer closed the connection with Server.Stop. A call
// of which the peer had sent no frame by then did not run.
func IsStopped(err error) bool {
	var app *quic.ApplicationError
	return errors.As(err, &app) && app.Remote && app.ErrorCode == codeStopped
}

// Limits for decoding one message.
const (
	// maxElements bounds the number of elements of an array or pairs of a map.
	maxElements     = 65_536
	maxNestedLevels = 8
)

var decMode = mustDecMode()

// mustDecMode returns the CBOR decoding mode with the limits above.
func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNestedLevels}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Message is a message that can be validated after decoding.
type Message interface {
	// Check returns an error if the message is invalid.
	Check() error
}

// Stream carries messages in both directions. One goroutine may send while another
// receives.
type Stream struct {
	quic *quic.Stream
	enc  *cbor.Encoder
	dec  *cbor.Decoder
	// readDeadline is the read deadline that was set last, or zero for none.
	readDeadline time.Time
}

func newStream(s *quic.Stream) *Stream {
	return &Stream{quic: s, enc: cbor.NewEncoder(s), dec: decMode.NewDecoder(s)}
}

// Send writes one message.
func (s *Stream) Send(m any) error {
	return Error.Wrap(s.enc.Encode(m))
}

// Receive reads one message into m and checks it. It returns ErrClosed after the
// peer's last message.
func (s *Stream) Receive(m Message) error {
	err := s.dec.Decode(m)
	if errors.Is(err, io.EOF) {
		return ErrClosed
	}
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(m.Check())
}

// SetReceiveTimeout sets the deadline of Receive to d from now; 0 removes it.
// Setting a deadline costs more than receiving a frame. A deadline that is later
// than the current one by less than d/8 is therefore not set.
func (s *Stream) SetReceiveTimeout(d time.Duration) {
	var t time.Time
	if d > 0 {
		t = time.Now().Add(d)
	}
	if later := t.Sub(s.readDeadline); d > 0 && !s.readDeadline.IsZero() && later >= 0 && later < d/8 {
		return
	}
	s.readDeadline = t
	_ = s.quic.SetReadDeadline(t)
}

// Context returns a context that ends when the peer stops reading from the stream
// or the connection is lost.
func (s *Stream) Context() context.Context {
	return s.quic.Context()
}

// Close closes the sending side after the messages sent so far.
func (s *Stream) Close() {
	_ = s.quic.Close()
}

// Cancel aborts both directions of the stream.
func (s *Stream) Cancel() {
	s.quic.CancelRead(codeCanceled)
	s.quic.CancelWrite(codeCanceled)
}

// cancelOnDone cancels the stream when the context ends. The returned function
// stops waiting for the context.
func (s *Stream) cancelOnDone(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, s.Cancel)
}
