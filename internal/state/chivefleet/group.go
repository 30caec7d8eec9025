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
// for some time, so that a group counts as open until most of its registered ranks report
// that it is not. Ranks that are not registered count neither way: there may never have
// been enough of them.
func (f *Fleet) GroupStates(service string) map[string]GroupState {
	type census struct {
		size       int
		registered map[int]bool
		closed     map[int]bool
	}
	groups := map[string]*census{}
	for _, r := range f.Runners[service] {
		m := r.Membership
		if m == nil {
			continue
		}
		c := groups[m.Group]
		if c == nil {
			c = &census{size: m.Size, registered: map[int]bool{}, closed: map[int]bool{}}
			groups[m.Group] = c
		}
		c.registered[m.Rank] = true
		if !m.Open {
			c.closed[m.Rank] = true
		}
	}
	states := make(map[string]GroupState, len(groups))
	for name, c := range groups {
		switch n := len(c.closed); {
		case 2*n <= len(c.registered):
			states[name] = GroupOpen
		case n == c.size:
			states[name] = GroupForming
		default:
			states[name] = GroupBroken
		}
	}
	return states
}
