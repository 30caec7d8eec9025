package chiverelay

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// admit checks the request and reads its body. It reports whether the request may
// be sent to runners; if not, it has responded.
func (x *exchange) admit() bool {
	rl := x.relay
	request, err := rl.Dialect.Request(x.r)
	if err != nil {
		return x.reject(http.StatusBadRequest, err.Error())
	}
	x.request, x.lastEvent = request, request.LastEvent
	x.setReadDeadline(time.Now().Add(cmp.Or(request.Timeout, defaultTimeout)))
	if !x.decide() {
		return false
	}
	x.holding.id = request.ID
	if !x.holding.admit(max(0, x.r.ContentLength)) || !x.holdParts() {
		return x.refuse(causeNoMemory)
	}
	// The configuration may have changed while the body arrived.
	return x.readBody() && (rl.Fleet().Config == x.fleet.Config || x.decide())
}

// decide selects the route, the workspace and the service of the request by the newest configuration. It
// reports whether the request is admitted; if not, it has responded.
func (x *exchange) decide() bool {
	x.fleet = x.relay.Fleet()
	if x.fleet.Config == nil {
		x.unavailable = true
		return x.refuse("no configuration is known yet")
	}
	fresh := x.configFresh()
	x.route = x.fleet.Config.Route(hostOnly(x.r.Host), requestPath(x.r))
	if x.route == nil {
		if !fresh {
			return x.refuse("the configuration may be out of date")
		}
		return x.reject(http.StatusNotFound, "no route matches")
	}
	if !x.checkKey(fresh) {
		return false
	}
	x.service = x.pickService()
	x.setDeadline()
	return true
}

// causeNoMemory is the cause of requests that are refused for want of memory.
const causeNoMemory = "no memory for further requests"

// hostOnly returns a host without its port.
func hostOnly(host string) string {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return host
	}
	return name
}

// configFresh reports whether the configuration was confirmed to be the newest
// within ConfigMaxAge.
func (x *exchange) configFresh() bool {
	return x.fleet.IsConfigFresh(chiveclock.Now(), x.relay.ConfigMaxAge)
}

// checkKey looks up the workspace of the request's key if the route needs one. A configuration without
// workspaces needs none, but a key that the request has was taken away, or never held. It reports
// whether the request is admitted; if not, it has responded.
func (x *exchange) checkKey(fresh bool) bool {
	x.workspace = nil
	if x.route.Public || x.request.Key == "" && !x.fleet.Config.RequiresKey() {
		return true
	}
	if !fresh {
		return x.refuse("the keys may be out of date")
	}
	x.workspace = x.fleet.Config.Workspace(x.request.Key)
	if x.workspace == nil {
		return x.reject(http.StatusUnauthorized, "the key is not known")
	}
	return true
}

// pickService picks a target of the route at random, in proportion to the weights.
func (x *exchange) pickService() *chivefleet.Service {
	total := 0
	for _, t := range x.route.Targets {
		total += t.Weight
	}
	n := 0
	if total > 0 {
		n = rand.IntN(total)
	}
	for _, t := range x.route.Targets {
		if n -= t.Weight; n < 0 {
			return x.fleet.Config.Services[t.Service]
		}
	}
	return x.fleet.Config.Services[x.route.Targets[0].Service]
}

// setDeadline sets the deadline from the timeouts of the caller and the route.
func (x *exchange) setDeadline() {
	timeout := cmp.Or(x.request.Timeout, defaultTimeout)
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.start.Add(timeout)
}

// readBody reads the whole request body until the deadline. It reports whether the body is
// within the configured limit, or 1 GiB if there is none; if not, it has responded.
func (x *exchange) readBody() bool {
	x.setReadDeadline(time.Now().Add(chiveclock.Until(x.deadline)))
	limit := x.fleet.Config.MaxBodyBytes
	if limit == 0 {
		limit = 1 << 30
	}
	body, err := x.holding.readBody(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return x.reject(http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.Is(err, errBodyNoMemory):
		return x.refuse(causeNoMemory)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return x.reject(http.StatusRequestTimeout, "the body did not arrive before the deadline")
	case err != nil:
		x.cause = "caller broke off its request: " + err.Error()
		panic(http.ErrAbortHandler)
	}
	x.setReadDeadline(time.Time{})
	x.body = body
	fits, err := x.holding.begin()
	if err != nil {
		x.cause = err.Error()
		panic(http.ErrAbortHandler)
	}
	if !fits {
		return x.refuse(causeNoMemory)
	}
	return true
}

// setReadDeadline sets the time until which the body may arrive, or none if it is zero. It
// also holds after a response, when the server reads what is left of the body.
func (x *exchange) setReadDeadline(t time.Time) {
	x.readDeadline = t
	// Only the writers of tests do not support deadlines.
	_ = http.NewResponseController(x.w).SetReadDeadline(t)
}

// shortenReadDeadline ends the reading of the body of a request that was turned away, since its
// caller gets the response only afterwards.
func (x *exchange) shortenReadDeadline() {
	if t := time.Now().Add(refusalReadTime); x.readDeadline.IsZero() || x.readDeadline.After(t) {
		x.setReadDeadline(t)
	}
}
