package chivegateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/http/pprof"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"

	"github.com/labstack/echo/v4"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/peer/chiveoperator"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

const (
	// changeTimeout bounds a change of the configuration, including the writes
	// to the store.
	changeTimeout = 5 * time.Second
	// queryTimeout bounds the wait for the status of one process.
	queryTimeout = time.Second
	// maxConcurrentQueries is the number of processes that are queried at the
	// same time.
	maxConcurrentQueries = 32
)

// adminHandler returns the handler of the admin address: health checks and
// metrics for anyone, profiles and the operator API for operators.
func (g *Gateway) adminHandler() http.Handler {
	e := chivedaemon.NewAdminRouter(g.state, g.meter)
	operators := e.Group("", g.requireOperator)
	operators.GET("/debug/pprof/:name", echo.WrapHandler(http.HandlerFunc(servePprof)))
	operators.GET(chiveoperator.PathHead, g.getHead)
	operators.GET(chiveoperator.PathSheet, g.getSheet)
	operators.POST(chiveoperator.PathSheet, g.postSheet)
	operators.POST(chiveoperator.PathChange, g.postChange)
	operators.GET(chiveoperator.PathNodes, g.getNodes)
	operators.GET(chiveoperator.PathEvents, g.getEvents)
	return e
}

// servePprof serves the profile that the last path element names, as
// net/http/pprof does.
func servePprof(w http.ResponseWriter, r *http.Request) {
	switch name := path.Base(r.URL.Path); name {
	case "profile":
		pprof.Profile(w, r)
	case "trace":
		pprof.Trace(w, r)
	default:
		pprof.Handler(name).ServeHTTP(w, r)
	}
}

// requireOperator is middleware that rejects requests without the token of an
// operator.
func (g *Gateway) requireOperator(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token := strings.TrimPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		if !slices.Contains(g.settings.Operators, "sha256:"+hex.EncodeToString(sum[:])) {
			return writeRejection(c, http.StatusUnauthorized, chiveverdict.NotRun, "the token is not an operator's")
		}
		return next(c)
	}
}

// writeRejection answers with a status and a rejection of the given verdict and
// text.
func writeRejection(c echo.Context, status int, v chiveverdict.Verdict, text string) error {
	return c.JSON(status, chiveoperator.Rejection{Error: text, Verdict: v.String()})
}

// writeChangeError answers with the error of a sheet or a change: 409 for a
// conflict, 422 for an invalid sheet or change, otherwise 503.
func writeChangeError(c echo.Context, err error) error {
	var faults chivesheet.Faults
	if errors.As(err, &faults) {
		r := chiveoperator.Rejection{Error: "sheet is rejected", Verdict: chiveverdict.NotRun.String(), Faults: faults}
		return c.JSON(http.StatusUnprocessableEntity, r)
	}
	f := chiveverdict.FromError(err)
	status := http.StatusServiceUnavailable
	if f.Code == chiveverdict.CodeConflict {
		status = http.StatusConflict
	}
	if f.Code == chiveverdict.CodeInvalid {
		status = http.StatusUnprocessableEntity
	}
	return writeRejection(c, status, f.Verdict, f.Text)
}

// getHead answers with the configuration head in force here, which is empty
// before the first.
func (g *Gateway) getHead(c echo.Context) error {
	config := g.syncer.Config()
	if config == nil {
		return c.JSON(http.StatusOK, chiveconf.Head{})
	}
	return c.JSON(http.StatusOK, config.Head)
}

// getSheet answers with the sheet in force here, as CSV.
func (g *Gateway) getSheet(c echo.Context) error {
	config := g.syncer.Config()
	if config == nil {
		return writeRejection(c, http.StatusNotFound, chiveverdict.NotRun, "no sheet was accepted yet")
	}
	return c.Blob(http.StatusOK, "text/csv", config.RawSheet)
}

// postSheet checks and stores a sheet and changes the configuration to it. The
// parameter base is the version that the sheet was made from.
func (g *Gateway) postSheet(c echo.Context) error {
	raw, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, chivesheet.MaxBytes))
	if err != nil {
		return writeRejection(c, http.StatusRequestEntityTooLarge, chiveverdict.NotRun, "sheet is too large")
	}
	if _, err := chivesheet.Parse(raw); err != nil {
		return writeChangeError(c, err)
	}
	base, err := strconv.ParseUint(c.QueryParam("base"), 10, 64)
	if err != nil {
		return writeRejection(c, http.StatusBadRequest, chiveverdict.NotRun, "base is not a version")
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), changeTimeout)
	defer cancel()
	digest, err := g.store.SaveSheet(ctx, raw)
	if err != nil {
		return writeChangeError(c, chiveverdict.NotRunf(chiveverdict.CodeStore, busyRetryAfter, "sheet cannot be stored: %v", err))
	}
	change := chiveconf.Change{ID: c.QueryParam("id"), Author: c.QueryParam("author"), Kind: chiveconf.KindSheet, Subject: digest, BaseVersion: base}
	return g.applyChange(ctx, c, &change)
}

// postChange applies a change of an availability zone or an endpoint.
func (g *Gateway) postChange(c echo.Context) error {
	change := &chiveconf.Change{}
	if err := c.Bind(change); err != nil {
		return writeRejection(c, http.StatusBadRequest, chiveverdict.NotRun, "body is not a change")
	}
	if err := g.checkSubject(change); err != nil {
		return writeChangeError(c, err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), changeTimeout)
	defer cancel()
	return g.applyChange(ctx, c, change)
}

// checkSubject returns an error if the subject of a change does not exist or if
// the kind of the change is neither that of an availability zone nor that of an
// endpoint.
func (g *Gateway) checkSubject(change *chiveconf.Change) error {
	config := g.syncer.Config()
	if config == nil {
		return chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "no sheet was accepted yet")
	}
	switch change.Kind {
	case chiveconf.KindZoneOut, chiveconf.KindZoneIn:
		if !config.Sheet.HasZone(change.Subject) {
			return chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "availability zone %q does not exist", change.Subject)
		}
	case chiveconf.KindDrain, chiveconf.KindUndrain:
		if _, ok := config.Sheet.Endpoint(change.Subject); !ok {
			return chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "endpoint %q does not exist", change.Subject)
		}
	default:
		return chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "change kind %q is not taken here", change.Kind)
	}
	return nil
}

// applyChange writes a change to the store and applies the new head here. The
// change is accepted even if the head cannot be applied here yet; polling
// applies it later.
func (g *Gateway) applyChange(ctx context.Context, c echo.Context, change *chiveconf.Change) error {
	if err := change.Check(); err != nil {
		return writeChangeError(c, chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "%v", err))
	}
	head, err := g.store.Change(ctx, change, time.Now)
	if err != nil {
		g.log.Warn("Configuration change failed.", "kind", change.Kind, "subject", change.Subject, "error", err)
		return writeChangeError(c, err)
	}
	g.ring.Add("config", "version "+strconv.FormatUint(head.Version, 10), "Accepted %s %s by %s.", change.Kind, change.Subject, change.Author)
	g.log.Info("Configuration change accepted.", "version", head.Version, "kind", change.Kind, "subject", change.Subject, "author", change.Author)
	if err := g.applyHead(ctx, head); err != nil {
		g.log.Warn("Accepted configuration version cannot be applied here yet.", "error", err)
	}
	return c.JSON(http.StatusOK, chiveoperator.AcceptedChange{Head: *head})
}

// getNodes answers with the status of every process.
func (g *Gateway) getNodes(c echo.Context) error {
	statuses := g.queryAll(c.Request().Context(), &chivelink.Query{From: g.settings.Name})
	return c.JSON(http.StatusOK, chiveoperator.NodeList{Version: g.syncer.Version(), Nodes: statuses})
}

// getEvents answers with the merged timeline events of all processes, and with
// the names of the processes that did not answer.
func (g *Gateway) getEvents(c echo.Context) error {
	filter := chivetime.Filter{Kind: c.QueryParam("kind"), Subject: c.QueryParam("subject")}
	var timeline chiveoperator.Timeline
	var lists [][]chivetime.Event
	for _, s := range g.queryAll(c.Request().Context(), &chivelink.Query{From: g.settings.Name, IncludeEvents: true, Filter: filter}) {
		if s.Error != "" {
			timeline.Missing = append(timeline.Missing, s.Node.Name)
		}
		lists = append(lists, s.Events)
	}
	timeline.Events = chivetime.Merge(lists...)
	return c.JSON(http.StatusOK, timeline)
}

// statusTarget is a process that can be queried for its status.
type statusTarget struct {
	node chivelink.Node
	addr string
}

// queryAll queries the status of every process. The status of this gateway
// comes first.
func (g *Gateway) queryAll(ctx context.Context, q *chivelink.Query) []chiveoperator.NodeStatus {
	targets := g.statusTargets()
	statuses := make([]chiveoperator.NodeStatus, len(targets)+1)
	statuses[0].Status = *g.Status(ctx, q)
	var queries sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for i, t := range targets {
		queries.Add(1)
		slots <- struct{}{}
		go func() {
			defer queries.Done()
			chiveguard.Do(g.log, "query of a status", func() { statuses[i+1] = g.queryTarget(ctx, t, q) })
			<-slots
		}()
	}
	queries.Wait()
	return statuses
}

// queryTarget queries one process. If it does not answer within queryTimeout,
// the status has the state "unknown" and the error.
func (g *Gateway) queryTarget(ctx context.Context, t statusTarget, q *chivelink.Query) chiveoperator.NodeStatus {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	status, err := g.dialer.Status(ctx, t.addr, t.node.Role, q)
	if err != nil {
		return chiveoperator.NodeStatus{Status: chivelink.Status{Node: t.node, State: "unknown"}, Error: err.Error()}
	}
	return chiveoperator.NodeStatus{Status: *status}
}

// statusTargets returns all processes but this one: the gateways in the VM list
// and the agents in the sheet.
func (g *Gateway) statusTargets() []statusTarget {
	var list []statusTarget
	for _, vm := range g.linker.VMs() {
		if vm.Name != g.settings.Name {
			list = append(list, statusTarget{chivelink.Node{Name: vm.Name, Role: chivelink.RoleGateway, Zone: vm.Zone}, vm.LinkAddress})
		}
	}
	if config := g.syncer.Config(); config != nil {
		for _, e := range config.Sheet.Endpoints {
			list = append(list, statusTarget{chivelink.Node{Name: e.Name, Role: chivelink.RoleAgent, Zone: e.Zone}, e.Agent})
		}
	}
	return list
}
