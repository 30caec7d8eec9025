package chivefleet

import (
	"cmp"
	"slices"
)

// urgency orders requests by the priority of their workspace and then by that of their route.
// A workspace without a priority has that of the route.
type urgency struct {
	workspace, route int
}

func newUrgency(r *Route, w *Workspace) urgency {
	if w != nil && w.Priority != nil && !r.Public {
		return urgency{*w.Priority, r.Priority}
	}
	return urgency{r.Priority, r.Priority}
}

func (u urgency) compare(o urgency) int {
	return cmp.Or(comparePriorities(u.workspace, o.workspace), comparePriorities(u.route, o.route))
}

// comparePriorities orders priorities, the most urgent first. Negative ones, which are not
// defined, are the least urgent.
func comparePriorities(a, b int) int {
	if (a < 0) != (b < 0) {
		return cmp.Compare(b, a)
	}
	return cmp.Compare(a, b)
}

// Urgency returns the place of a request among those of the service that differ in
// priority, 0 for the most urgent. Routes and workspaces must be those of the configuration.
func (s *Service) Urgency(r *Route, w *Workspace) int {
	return s.urgencies[newUrgency(r, w)]
}

// rankServices orders the requests of each service by urgency. Only the routes of a service
// decide whether it is ranked: workspaces have their priorities at all services alike, and say
// nothing of who goes first at one of them.
func (c *Config) rankServices() {
	found := map[string]map[urgency]bool{}
	priorities := map[string]map[int]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, t := range r.Targets {
			if found[t.Service] == nil {
				found[t.Service], priorities[t.Service] = map[urgency]bool{}, map[int]bool{}
			}
			priorities[t.Service][r.Priority] = true
			if r.Public || len(c.Workspaces) == 0 {
				found[t.Service][newUrgency(r, nil)] = true
				continue
			}
			for j := range c.Workspaces {
				found[t.Service][newUrgency(r, &c.Workspaces[j])] = true
			}
		}
	}
	for name, s := range c.Services {
		var list []urgency
		for u := range found[name] {
			list = append(list, u)
		}
		slices.SortFunc(list, urgency.compare)
		s.Ranked = s.Engine != nil && len(priorities[name]) > 1
		s.urgencies = make(map[urgency]int, len(list))
		for i, u := range list {
			s.urgencies[u] = i
		}
	}
}
