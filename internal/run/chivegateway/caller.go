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

// callerHandler returns the handler of the caller API.
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

// handleRouteError answers a request that matches no route, or whose handler
// returned an error, with an error body.
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

// authenticate returns the workspace that the API key of the request belongs
// to. It fails if the key is missing or unknown, or until the gateway has a
// confirmed configuration.
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

// getAddresses answers GET /v1/addresses with the caller addresses of the
// gateways that the workspace should use, best first.
func (g *Gateway) getAddresses(c echo.Context) error {
	w, f := g.authenticate(c)
	if f != nil {
		return g.refuse(c, f)
	}
	response := chivecaller.GatewayAddresses{Lifetime: g.settings.Lifetime.Std().Seconds()}
	for _, vm := range g.gatewaysFor(w) {
		response.Addresses = append(response.Addresses, vm.CallerAddress)
	}
	return c.JSON(http.StatusOK, response)
}

// gatewaysFor returns the gateways for a workspace, best first. Their number
// grows with the share of the workspace.
func (g *Gateway) gatewaysFor(w *chivesheet.Workspace) []chivevm.VM {
	candidates, byName := g.liveGateways()
	n := chiveshard.GatewayCount(w.Share/g.totalShare(), len(candidates))
	var list []chivevm.VM
	for _, p := range chiveshard.Pick(w.Name, "", candidates, n) {
		list = append(list, byName[p.Name])
	}
	return list
}

// totalShare returns the sum of the shares of all workspaces.
func (g *Gateway) totalShare() float64 {
	var sum float64
	for _, w := range g.fleet.snapshot.Load().config.Sheet.Workspaces {
		sum += w.Share
	}
	return sum
}

// liveGateways returns the gateways of the VM list that are live and have
// announced no departure, and their VMs by name. It includes this gateway
// unless it is leaving.
func (g *Gateway) liveGateways() ([]chiveshard.Gateway, map[string]chivevm.VM) {
	leaving := map[string]bool{g.settings.Name: g.leaving.Load()}
	for _, d := range g.syncer.Departures() {
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

// mintKey answers POST /v1/services/NAME/keys with a new idempotency key. The
// key itself contains its binding to an endpoint, so that its use needs no row
// in the table.
func (g *Gateway) mintKey(c echo.Context) error {
	w, f := g.authenticate(c)
	if f != nil {
		return g.refuse(c, f)
	}
	r, f := g.newServiceRequest(c, w, nil)
	if f != nil {
		return g.refuse(c, f)
	}
	binding, f := r.proposeBinding(c.Request().Context())
	if f != nil {
		return g.refuse(c, f)
	}
	return c.JSON(http.StatusOK, chivecaller.MintedKey{Key: chiveclaim.NewKey(binding.Endpoint, binding.Boot)})
}

// getModels answers GET /v1/models with the models of all groups.
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
