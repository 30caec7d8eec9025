package chivetime

import "sort"

// A Filter selects events. Empty fields select all.
type Filter struct {
	Kind    string `cbor:"kind,omitempty" json:"kind,omitempty"`
	Subject string `cbor:"subject,omitempty" json:"subject,omitempty"`
}

// Matches reports whether the filter selects the event.
func (f Filter) Matches(e Event) bool {
	return (f.Kind == "" || f.Kind == e.Kind) && (f.Subject == "" || f.Subject == e.Subject)
}

func (f Filter) appendTo(list, events []Event) []Event {
	for _, e := range events {
		if f.Matches(e) {
			list = append(list, e)
		}
	}
	return list
}

// Merge returns the events of several processes as one story, oldest first.
func Merge(lists ...[]Event) []Event {
	var all []Event
	for _, l := range lists {
		all = append(all, l...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Timestamp.Compare(all[j].Timestamp) < 0 })
	return all
}
