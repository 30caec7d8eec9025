package chivefleet

// GroupState says whether a group of ranks can serve requests.
type GroupState uint8

// The states of a group.
const (
	// GroupOpen groups run forward passes.
	GroupOpen GroupState = iota
	// GroupForming groups have all their ranks and open by themselves soon.
	GroupForming
	// GroupBroken groups lack a rank.
	GroupBroken
)

// GroupStates returns the states of the groups to which the runners of a service
// belong, by the name of the group. The registration of a rank that has failed stays
// for some time, so that a group counts as open until most of its ranks report that it
// is not.
func (f *Fleet) GroupStates(service string) map[string]GroupState {
	type census struct {
		size   int
		closed map[int]bool
	}
	groups := map[string]*census{}
	for _, r := range f.Runners[service] {
		m := r.Membership
		if m == nil {
			continue
		}
		c := groups[m.Group]
		if c == nil {
			c = &census{size: m.Size, closed: map[int]bool{}}
			groups[m.Group] = c
		}
		if !m.Open {
			c.closed[m.Rank] = true
		}
	}
	states := make(map[string]GroupState, len(groups))
	for name, c := range groups {
		switch n := len(c.closed); {
		case 2*n <= c.size:
			states[name] = GroupOpen
		case n == c.size:
			states[name] = GroupForming
		default:
			states[name] = GroupBroken
		}
	}
	return states
}
