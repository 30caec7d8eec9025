package chivetime

import "sort"

// Filter selects events by kind and subject. An empty field matches any value.
type Filter struct {
	Kind    string `cbor:"kind,omitempty" json:"kind,omitempty"`
	Subject string `cbor:"subject,omitempty" json:"subject,omitempty"`
}

// Matches reports whether the filter selects the event.
func (f Filter) Matches(e Event) bool {
	return (f.Kind == "" || f.Kind == e.Kind) && (f.Subject == "" || f.Subject == e.Subject)
}

// appendMatching appends the events that the filter selects to list.
func (f Filter) appendMatching(list, events []Event) []Event {
	for _, e := range events {
		if f.Matches(e) {
			list = append(list, e)
		}
	}
	return list
}

// Merge returns the events of several processes in one list, oldest first.
func Merge(lists ...[]Event) []Event {
	var all []Event
	for _, l := range lists {
		all = append(all, l...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Timestamp.Compare(all[j].Timestamp) < 0 })
	return all
}
