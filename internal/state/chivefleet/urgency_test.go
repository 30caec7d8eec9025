package chivefleet

import "testing"

// TestUrgency checks the order of requests by the priorities of workspaces and routes, and
// that only models whose requests differ in priority are ranked.
func TestUrgency(t *testing.T) {
	zero, one, bad := 0, 1, -5
	tests := []struct {
		name       string
		plain      bool
		workspaces []Workspace
		routes     []Route
		ranked     bool
		// want holds the urgency by route and workspace.
		want [][]int
	}{
		{"equal priorities", false, []Workspace{{}, {}}, []Route{{Priority: 1}, {Priority: 1}}, false, [][]int{{0, 0}, {0, 0}}},
		{"routes differ", false, []Workspace{{}}, []Route{{Priority: 2}, {Priority: 0}, {Priority: 1}}, true, [][]int{{2}, {0}, {1}}},
		{"routes differ at a plain service", true, []Workspace{{}}, []Route{{Priority: 2}, {Priority: 0}}, false, [][]int{{1}, {0}}},
		{"priority of the workspace first", false, []Workspace{{Priority: &one}, {Priority: &zero}}, []Route{{Priority: 0}, {Priority: 2}}, true, [][]int{{2, 0}, {3, 1}}},
		{"workspace without priority", false, []Workspace{{Priority: &one}, {}}, []Route{{Priority: 0}, {Priority: 2}}, true, [][]int{{1, 0}, {2, 3}}},
		{"negative priorities are the least urgent", false, []Workspace{{Priority: &bad}, {}}, []Route{{Priority: 1 << 40}, {Priority: -1}}, true, [][]int{{1, 0}, {2, 3}}},
		{"public routes have no workspace", false, []Workspace{{Priority: &zero}}, []Route{{Priority: 3, Public: true}, {Priority: 1}}, true, [][]int{{1}, {0}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Service{Name: "s", Engine: &Engine{}}
			if tt.plain {
				s.Engine = nil
			}
			c := &Config{Services: map[string]*Service{"s": s}, Workspaces: tt.workspaces, Routes: tt.routes}
			for i := range c.Routes {
				r := &c.Routes[i]
				r.Host, r.Prefix, r.Targets = "h", "/", []Target{{Service: "s"}}
			}
			if err := c.Index(); err != nil {
				t.Fatal(err)
			}
			if s.Ranked != tt.ranked {
				t.Errorf("ranked %t, want %t", s.Ranked, tt.ranked)
			}
			for i, row := range tt.want {
				for j, want := range row {
					if got := s.Urgency(&c.Routes[i], &c.Workspaces[j]); got != want {
						t.Errorf("route %d of workspace %d has urgency %d, want %d", i, j, got, want)
					}
				}
			}
		})
	}
}
