package chivegateway

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivecaller"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivevm"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveshard"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclaim"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

// callerHandler serves callers.
func (g *Gateway) callerHandler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = handleRouteError
	e.GET("/v1/addresses", g.getAddresses)
	e.POST("/v1/chat/completions", g.postChat)
	e.POST("/v1/services/:name/keys", g.mintKey)
	e.Any("/v1/services/:name/*", g.callService)
	e.GET("/v1/models", g.getModels)
	return e
}

// handleRouteError answers requests that no route takes.
func handleRouteError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	text := err.Error()
	if he, ok := err.(*echo.HTTPError); ok {
		text = http.StatusText(he.Code) + ": " + c.Request().Method + " " + c.Request().URL.Path
	}
	_ = chivecaller.WriteError(c, chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "%s", text))
}

// authenticate returns the workspace of the caller's key.
func (g *Gateway) authenticate(c echo.Context) (*chivesheet.Workspace, *chiveverdict.Failure) {
	g.metrics.requests.Inc(1)
	s := g.fleet.snapshot.Load()
	if s == nil || !g.configConfirmed.Load() {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeStale, busyRetryAfter, "gateway is starting")
	}
	key, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	if !ok {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeKey, 0, "the header Authorization: Bearer KEY is missing")
	}
	w, ok := s.config.WorkspaceByKey(key)
	if !ok {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeKey, 0, "the key belongs to no workspace")
	}
	return w, nil
}

// getAddresses answers GET /v1/getAddresses: the gateways that the workspace is to
// use.
func (g *Gateway) getAddresses(c echo.Context) error {
	w, f := g.authenticate(c)
	if f != nil {
		return g.refuse(c, f)
	}
	answer := chivecaller.GatewayAddresses{Lifetime: g.settings.Lifetime.Std().Seconds()}
	for _, vm := range g.gatewaysFor(w) {
		answer.Addresses = append(answer.Addresses, vm.CallerAddress)
	}
	return c.JSON(http.StatusOK, answer)
}

// gatewaysFor returns the gateways for a workspace, best first.
func (g *Gateway) gatewaysFor(w *chivesheet.Workspace) []chivevm.VM {
	candidates, byName := g.liveGateways()
	n := chiveshard.GatewayCount(w.Share/g.totalShare(), len(candidates))
	var list []chivevm.VM
	for _, p := range chiveshard.Pick(w.Name, "", candidates, n) {
		list = append(list, byName[p.Name])
	}
	return list
}

func (g *Gateway) totalShare() float64 {
	var sum float64
	for _, w := range g.fleet.snapshot.Load().config.Sheet.Workspaces {
		sum += w.Share
	}
	return sum
}

// liveGateways returns the gateways that are not known to leave, this one
// included.
func (g *Gateway) liveGateways() ([]chiveshard.Gateway, map[string]chivevm.VM) {
	leaving := map[string]bool{g.settings.Name: g.leaving.Load()}
	for _, d := range g.spreader.Departures() {
		leaving[d.Name] = true
	}
	self := chivevm.VM{Name: g.settings.Name, Zone: g.settings.Zone, CallerAddress: g.settings.Caller, LinkAddress: g.settings.Link, State: chivevm.StateLive}
	byName := map[string]chivevm.VM{}
	var list []chiveshard.Gateway
	for _, vm := range append(g.linker.VMs(), self) {
		if _, known := byName[vm.Name]; known || leaving[vm.Name] || vm.State != chivevm.StateLive {
			continue
		}
		byName[vm.Name] = vm
		list = append(list, chiveshard.Gateway{Name: vm.Name, Zone: vm.Zone})
	}
	return list, byName
}

// mintKey answers POST /v1/services/NAME/keys: a key that is bound to an endpoint
// and needs no table.
func (g *Gateway) mintKey(c echo.Context) error {
	w, f := g.authenticate(c)
	if f != nil {
		return g.refuse(c, f)
	}
	r, f := g.newServiceRequest(c, w, nil)
	if f != nil {
		return g.refuse(c, f)
	}
	bound, f := r.proposeBinding(c.Request().Context())
	if f != nil {
		return g.refuse(c, f)
	}
	return c.JSON(http.StatusOK, chivecaller.MintedKey{Key: chiveclaim.NewKey(bound.Endpoint, bound.Boot)})
}

// getModels answers GET /v1/getModels.
func (g *Gateway) getModels(c echo.Context) error {
	if _, f := g.authenticate(c); f != nil {
		return g.refuse(c, f)
	}
	list := chivecaller.Models{Object: "list"}
	seen := map[string]bool{}
	for _, group := range g.fleet.snapshot.Load().config.Sheet.Groups {
		if !seen[group.Model] {
			seen[group.Model] = true
			list.Data = append(list.Data, chivecaller.Model{ID: group.Model, Object: "model"})
		}
	}
	return c.JSON(http.StatusOK, list)
}
