package chivescout

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

// maxRequestBytes is the size limit of a request body.
const maxRequestBytes = 4 << 20

// BodyFactor is the memory in bytes that a byte of a request body may become: an empty list takes one
// byte, and three words once it is decoded.
const BodyFactor = 25

// Server serves the requests of entry VMs by calling the runner on its own VM.
type Server struct {
	// Engine calls the runner.
	Engine chiverank.Engine
	// Address is the address of the runner.
	Address string
}

// Handler returns the HTTP handler of all paths. It answers a body that is too
// large or malformed with status 400, and all other requests with a Reply.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	for path, handle := range map[string]func(context.Context, chiverank.Member, *Request, *Reply) error{
		pathOrder: s.order, pathReport: s.report, pathCounts: s.counts, pathExperts: s.experts,
	} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			var q Request
			data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
			if err == nil {
				err = cbor.Unmarshal(data, &q)
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			var reply Reply
			if err := handle(r.Context(), chiverank.Member{ID: q.ID, Address: s.Address, Rank: q.Rank}, &q, &reply); err != nil {
				reply = errorReply(err)
			}
			data, err = cbor.Marshal(&reply)
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			// A failed write is not handled here: the client sees the broken connection.
			_, _ = w.Write(data)
		})
	}
	return mux
}

func (s *Server) order(ctx context.Context, m chiverank.Member, q *Request, _ *Reply) error {
	if q.Order == nil {
		return Error.New("order is missing")
	}
	ctx, cancel := context.WithTimeout(ctx, scoutOrderTimeout)
	defer cancel()
	return retryUnanswered(ctx, localTryTimeout, localRepeatInterval, func(ctx context.Context) error { return s.Engine.Order(ctx, m, *q.Order) })
}

func (s *Server) report(ctx context.Context, m chiverank.Member, _ *Request, r *Reply) error {
	report, err := s.Engine.Report(ctx, m)
	r.Report = &report
	return err
}

func (s *Server) counts(ctx context.Context, m chiverank.Member, _ *Request, r *Reply) error {
	counts, err := s.Engine.Counts(ctx, m)
	r.Counts = &counts
	return err
}

func (s *Server) experts(ctx context.Context, m chiverank.Member, _ *Request, r *Reply) error {
	held, err := s.Engine.Experts(ctx, m)
	r.Experts = &held
	return err
}

// errorReply returns the reply for a failed request. It marks orders that the rank
// refused.
func errorReply(err error) Reply {
	switch {
	case errors.Is(err, chiverank.ErrConflict):
		return Reply{Refused: refusedConflict, Error: err.Error()}
	case errors.Is(err, chiverank.ErrFenced):
		return Reply{Refused: refusedFenced, Error: err.Error()}
	}
	return Reply{Error: err.Error()}
}
