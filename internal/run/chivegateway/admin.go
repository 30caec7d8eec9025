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
	// changeTimeout bounds a change of the configuration.
	changeTimeout = 5 * time.Second
	// queryTimeout bounds the status of one process.
	queryTimeout = time.Second
	// maxConcurrentQueries is the number of processes that are asked at a time.
	maxConcurrentQueries = 32
)

// adminHandler serves operators, health checks and metrics.
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

// servePprof answers with a servePprof of the process, as net/http/pprof does.
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

// requireOperator lets requests pass that carry an operator's token.
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

func writeRejection(c echo.Context, status int, v chiveverdict.Verdict, text string) error {
	return c.JSON(status, chiveoperator.Rejection{Error: text, Verdict: v.String()})
}

// writeRejectedError answers with the error of a change.
func writeRejectedError(c echo.Context, err error) error {
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

func (g *Gateway) getHead(c echo.Context) error {
	config := g.spreader.Config()
	if config == nil {
		return c.JSON(http.StatusOK, chiveconf.Head{})
	}
	return c.JSON(http.StatusOK, config.Head)
}

func (g *Gateway) getSheet(c echo.Context) error {
	config := g.spreader.Config()
	if config == nil {
		return writeRejection(c, http.StatusNotFound, chiveverdict.NotRun, "no sheet was accepted yet")
	}
	return c.Blob(http.StatusOK, "text/csv", config.RawSheet)
}

func (g *Gateway) postSheet(c echo.Context) error {
	raw, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, chivesheet.MaxBytes))
	if err != nil {
		return writeRejection(c, http.StatusRequestEntityTooLarge, chiveverdict.NotRun, "sheet is too large")
	}
	if _, err := chivesheet.Parse(raw); err != nil {
		return writeRejectedError(c, err)
	}
	base, err := strconv.ParseUint(c.QueryParam("base"), 10, 64)
	if err != nil {
		return writeRejection(c, http.StatusBadRequest, chiveverdict.NotRun, "base is not a version")
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), changeTimeout)
	defer cancel()
	digest, err := g.store.SaveSheet(ctx, raw)
	if err != nil {
		return writeRejectedError(c, chiveverdict.NotRunf(chiveverdict.CodeStore, busyRetryAfter, "sheet cannot be stored: %v", err))
	}
	change := chiveconf.Change{ID: c.QueryParam("id"), Author: c.QueryParam("author"), Kind: chiveconf.KindSheet, Subject: digest, BaseVersion: base}
	return g.applyChange(ctx, c, &change)
}

func (g *Gateway) postChange(c echo.Context) error {
	change := &chiveconf.Change{}
	if err := c.Bind(change); err != nil {
		return writeRejection(c, http.StatusBadRequest, chiveverdict.NotRun, "body is not a change")
	}
	if err := g.checkSubject(change); err != nil {
		return writeRejectedError(c, err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), changeTimeout)
	defer cancel()
	return g.applyChange(ctx, c, change)
}

// checkSubject refuses a change of what does not exist.
func (g *Gateway) checkSubject(change *chiveconf.Change) error {
	config := g.spreader.Config()
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

// applyChange makes a applyChange and puts it in force here.
func (g *Gateway) applyChange(ctx context.Context, c echo.Context, change *chiveconf.Change) error {
	if err := change.Check(); err != nil {
		return writeRejectedError(c, chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "%v", err))
	}
	head, err := g.store.Change(ctx, change, time.Now)
	if err != nil {
		g.log.Warn("Change was not accepted.", "kind", change.Kind, "subject", change.Subject, "error", err)
		return writeRejectedError(c, err)
	}
	g.ring.Add("config", "version "+strconv.FormatUint(head.Version, 10), "Accepted %s %s by %s.", change.Kind, change.Subject, change.Author)
	g.log.Info("Change accepted.", "version", head.Version, "kind", change.Kind, "subject", change.Subject, "author", change.Author)
	if err := g.applyHead(ctx, head); err != nil {
		g.log.Warn("Accepted version is not in force here yet.", "error", err)
	}
	return c.JSON(http.StatusOK, chiveoperator.AcceptedChange{Head: *head})
}

func (g *Gateway) getNodes(c echo.Context) error {
	statuses := g.queryAll(c.Request().Context(), &chivelink.Query{From: g.settings.Name})
	return c.JSON(http.StatusOK, chiveoperator.NodeList{Version: g.spreader.Version(), Nodes: statuses})
}

func (g *Gateway) getEvents(c echo.Context) error {
	filter := chivetime.Filter{Kind: c.QueryParam("kind"), Subject: c.QueryParam("subject")}
	var answer chiveoperator.Timeline
	var lists [][]chivetime.Event
	for _, s := range g.queryAll(c.Request().Context(), &chivelink.Query{From: g.settings.Name, IncludeEvents: true, Filter: filter}) {
		if s.Error != "" {
			answer.Missing = append(answer.Missing, s.Node.Name)
		}
		lists = append(lists, s.Events)
	}
	answer.Events = chivetime.Merge(lists...)
	return c.JSON(http.StatusOK, answer)
}

// statusTarget is a process that may be asked for its status.
type statusTarget struct {
	node chivelink.Node
	addr string
}

// queryAll asks every process for its status, this one included.
func (g *Gateway) queryAll(ctx context.Context, q *chivelink.Query) []chiveoperator.NodeStatus {
	targets := g.statusTargets()
	answers := make([]chiveoperator.NodeStatus, len(targets)+1)
	answers[0].Status = *g.Status(ctx, q)
	var asks sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for i, t := range targets {
		asks.Add(1)
		slots <- struct{}{}
		go func() {
			defer asks.Done()
			answers[i+1] = g.queryTarget(ctx, t, q)
			<-slots
		}()
	}
	asks.Wait()
	return answers
}

func (g *Gateway) queryTarget(ctx context.Context, t statusTarget, q *chivelink.Query) chiveoperator.NodeStatus {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	status, err := g.dialer.Status(ctx, t.addr, t.node.Role, q)
	if err != nil {
		return chiveoperator.NodeStatus{Status: chivelink.Status{Node: t.node, State: "unknown"}, Error: err.Error()}
	}
	return chiveoperator.NodeStatus{Status: *status}
}

// statusTargets returns the other processes: the gateways of the VM list and the
// agents of the sheet.
func (g *Gateway) statusTargets() []statusTarget {
	var list []statusTarget
	for _, vm := range g.linker.VMs() {
		if vm.Name != g.settings.Name {
			list = append(list, statusTarget{chivelink.Node{Name: vm.Name, Role: chivelink.RoleGateway, Zone: vm.Zone}, vm.LinkAddress})
		}
	}
	if config := g.spreader.Config(); config != nil {
		for _, e := range config.Sheet.Endpoints {
			list = append(list, statusTarget{chivelink.Node{Name: e.Name, Role: chivelink.RoleAgent, Zone: e.Zone}, e.Agent})
		}
	}
	return list
}
