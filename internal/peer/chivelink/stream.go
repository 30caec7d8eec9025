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

// ErrClosed is returned by Receive after the peer closed the stream in order.
var ErrClosed = errors.New("stream is closed")

const (
	// codeCanceled is the QUIC error code of a stream that is given up.
	codeCanceled = 1
	// codeStopped is the QUIC error code of a connection to a process that
	// stopped in order.
	codeStopped = 2
)

// IsStopped reports whether an error says that the peer stopped in order, so that
// a call which it has sent no frame for did not run.
func IsStopped(err error) bool {
	var app *quic.ApplicationError
	return errors.As(err, &app) && app.Remote && app.ErrorCode == codeStopped
}

// Limits of one message.
const (
	maxElements     = 65_536
	maxNestedLevels = 8
)

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNestedLevels}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// A Message checks itself after it was decoded.
type Message interface {
	Check() error
}

// A Stream carries messages in both directions. One goroutine may send while
// another receives.
type Stream struct {
	quic *quic.Stream
	enc  *cbor.Encoder
	dec  *cbor.Decoder
	// readDeadline is the read deadline as it was set last, zero for none.
	readDeadline time.Time
}

func newStream(s *quic.Stream) *Stream {
	return &Stream{quic: s, enc: cbor.NewEncoder(s), dec: decMode.NewDecoder(s)}
}

// Send writes one message.
func (s *Stream) Send(m any) error {
	return Error.Wrap(s.enc.Encode(m))
}

// Receive reads one message into m and checks it. It returns ErrClosed after
// the peer's last message.
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

// SetReceiveTimeout bounds the calls of Receive from now on; 0 lifts the bound.
// Setting a deadline costs more than receiving a frame, so that one which is
// later by less than an eighth of the timeout is not set anew.
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

// Context ends when the peer gives up the stream or the connection is lost.
func (s *Stream) Context() context.Context {
	return s.quic.Context()
}

// Close ends the sending side in order.
func (s *Stream) Close() {
	_ = s.quic.Close()
}

// Cancel gives up both sides.
func (s *Stream) Cancel() {
	s.quic.CancelRead(codeCanceled)
	s.quic.CancelWrite(codeCanceled)
}

// cancelOnDone gives up the stream when the context ends. The returned function
// takes that back.
func (s *Stream) cancelOnDone(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, s.Cancel)
}
