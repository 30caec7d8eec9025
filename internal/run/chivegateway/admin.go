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
	// queryCount is the number of processes that are asked at a time.
	queryCount = 32
)

// adminHandler serves operators, health checks and metrics.
func (g *Gateway) adminHandler() http.Handler {
	e := chivedaemon.NewAdmin(g.state, g.meter)
	operators := e.Group("", g.onlyOperators)
	operators.GET("/debug/pprof/:name", echo.WrapHandler(http.HandlerFunc(profile)))
	operators.GET(chiveoperator.PathHead, g.getHead)
	operators.GET(chiveoperator.PathSheet, g.getSheet)
	operators.POST(chiveoperator.PathSheet, g.postSheet)
	operators.POST(chiveoperator.PathChange, g.postChange)
	operators.GET(chiveoperator.PathNodes, g.getNodes)
	operators.GET(chiveoperator.PathEvents, g.getEvents)
	return e
}

// profile answers with a profile of the process, as net/http/pprof does.
func profile(w http.ResponseWriter, r *http.Request) {
	switch name := path.Base(r.URL.Path); name {
	case "profile":
		pprof.Profile(w, r)
	case "trace":
		pprof.Trace(w, r)
	default:
		pprof.Handler(name).ServeHTTP(w, r)
	}
}

// onlyOperators lets requests pass that carry an operator's token.
func (g *Gateway) onlyOperators(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token := strings.TrimPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		if !slices.Contains(g.settings.Operators, "sha256:"+hex.EncodeToString(sum[:])) {
			return reject(c, http.StatusUnauthorized, chiveverdict.NotRun, "the token is not an operator's")
		}
		return next(c)
	}
}

func reject(c echo.Context, status int, v chiveverdict.Verdict, text string) error {
	return c.JSON(status, chiveoperator.Rejected{Error: text, Verdict: v.String()})
}

// rejectError answers with the error of a change.
func rejectError(c echo.Context, err error) error {
	var faults chivesheet.Faults
	if errors.As(err, &faults) {
		r := chiveoperator.Rejected{Error: "sheet is rejected", Verdict: chiveverdict.NotRun.String(), Faults: faults}
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
	return reject(c, status, f.Verdict, f.Text)
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
		return reject(c, http.StatusNotFound, chiveverdict.NotRun, "no sheet was accepted yet")
	}
	return c.Blob(http.StatusOK, "text/csv", config.Raw)
}

func (g *Gateway) postSheet(c echo.Context) error {
	raw, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, chivesheet.MaxBytes))
	if err != nil {
		return reject(c, http.StatusRequestEntityTooLarge, chiveverdict.NotRun, "sheet is too large")
	}
	if _, err := chivesheet.Parse(raw); err != nil {
		return rejectError(c, err)
	}
	base, err := strconv.ParseUint(c.QueryParam("base"), 10, 64)
	if err != nil {
		return reject(c, http.StatusBadRequest, chiveverdict.NotRun, "base is not a version")
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), changeTimeout)
	defer cancel()
	digest, err := g.store.Save(ctx, raw)
	if err != nil {
		return rejectError(c, chiveverdict.NotRunf(chiveverdict.CodeStore, busyAfter, "sheet cannot be stored: %v", err))
	}
	change := chiveconf.Change{ID: c.QueryParam("id"), Author: c.QueryParam("author"), Kind: chiveconf.KindSheet, Subject: digest, Base: base}
	return g.change(ctx, c, &change)
}

func (g *Gateway) postChange(c echo.Context) error {
	change := &chiveconf.Change{}
	if err := c.Bind(change); err != nil {
		return reject(c, http.StatusBadRequest, chiveverdict.NotRun, "body is not a change")
	}
	if err := g.checkSubject(change); err != nil {
		return rejectError(c, err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), changeTimeout)
	defer cancel()
	return g.change(ctx, c, change)
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

// change makes a change and puts it in force here.
func (g *Gateway) change(ctx context.Context, c echo.Context, change *chiveconf.Change) error {
	if err := change.Check(); err != nil {
		return rejectError(c, chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "%v", err))
	}
	head, err := g.store.Change(ctx, change, time.Now)
	if err != nil {
		g.log.Warn("Change was not accepted.", "kind", change.Kind, "subject", change.Subject, "error", err)
		return rejectError(c, err)
	}
	g.ring.Add("config", "version "+strconv.FormatUint(head.Version, 10), "Accepted %s %s by %s.", change.Kind, change.Subject, change.Author)
	g.log.Info("Change accepted.", "version", head.Version, "kind", change.Kind, "subject", change.Subject, "author", change.Author)
	if err := g.take(ctx, head); err != nil {
		g.log.Warn("Accepted version is not in force here yet.", "error", err)
	}
	return c.JSON(http.StatusOK, chiveoperator.Accepted{Head: *head})
}

func (g *Gateway) getNodes(c echo.Context) error {
	statuses := g.askAll(c.Request().Context(), &chivelink.Query{From: g.settings.Name})
	return c.JSON(http.StatusOK, chiveoperator.Nodes{Version: g.spreader.Version(), Nodes: statuses})
}

func (g *Gateway) getEvents(c echo.Context) error {
	filter := chivetime.Filter{Kind: c.QueryParam("kind"), Subject: c.QueryParam("subject")}
	var answer chiveoperator.Timeline
	var lists [][]chivetime.Event
	for _, s := range g.askAll(c.Request().Context(), &chivelink.Query{From: g.settings.Name, Events: true, Filter: filter}) {
		if s.Error != "" {
			answer.Missing = append(answer.Missing, s.Node.Name)
		}
		lists = append(lists, s.Events)
	}
	answer.Events = chivetime.Merge(lists...)
	return c.JSON(http.StatusOK, answer)
}

// target is a process that may be asked for its status.
type target struct {
	node chivelink.Node
	addr string
}

// askAll asks every process for its status, this one included.
func (g *Gateway) askAll(ctx context.Context, q *chivelink.Query) []chiveoperator.NodeStatus {
	targets := g.targets()
	answers := make([]chiveoperator.NodeStatus, len(targets)+1)
	answers[0].Status = *g.Status(ctx, q)
	var asks sync.WaitGroup
	slots := make(chan struct{}, queryCount)
	for i, t := range targets {
		asks.Add(1)
		slots <- struct{}{}
		go func() {
			defer asks.Done()
			answers[i+1] = g.ask(ctx, t, q)
			<-slots
		}()
	}
	asks.Wait()
	return answers
}

func (g *Gateway) ask(ctx context.Context, t target, q *chivelink.Query) chiveoperator.NodeStatus {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	status, err := g.dialer.Status(ctx, t.addr, t.node.Role, q)
	if err != nil {
		return chiveoperator.NodeStatus{Status: chivelink.Status{Node: t.node, State: "unknown"}, Error: err.Error()}
	}
	return chiveoperator.NodeStatus{Status: *status}
}

// targets returns the other processes: the gateways of the VM list and the
// agents of the sheet.
func (g *Gateway) targets() []target {
	var list []target
	for _, vm := range g.linker.VMs() {
		if vm.Name != g.settings.Name {
			list = append(list, target{chivelink.Node{Name: vm.Name, Role: chivelink.RoleGateway, Zone: vm.Zone}, vm.LinkAddress})
		}
	}
	if config := g.spreader.Config(); config != nil {
		for _, e := range config.Sheet.Endpoints {
			list = append(list, target{chivelink.Node{Name: e.Name, Role: chivelink.RoleAgent, Zone: e.Zone}, e.Agent})
		}
	}
	return list
}
