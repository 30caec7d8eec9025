package chivesheet

import (
	"fmt"
	"reflect"
	"sort"
)

// Difference is one row that differs between two sheets.
type Difference struct {
	// Sign is "+" for an added, "-" for a removed and "~" for a changed row.
	Sign string `json:"sign"`
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Text shows the old and the new row of a change.
	Text string `json:"text,omitempty"`
}

// String returns the difference as one line.
func (d Difference) String() string {
	if d.Text == "" {
		return fmt.Sprintf("%s %s %s", d.Sign, d.Kind, d.Name)
	}
	return fmt.Sprintf("%s %s %s: %s", d.Sign, d.Kind, d.Name, d.Text)
}

// rowID identifies a row within a sheet.
type rowID struct{ kind, name string }

// Diff returns the changes that turn one sheet into another, ordered by kind and
// name.
func Diff(from, to *Sheet) []Difference {
	oldRows, newRows := rowsOf(from), rowsOf(to)
	var list []Difference
	for id, row := range newRows {
		before, ok := oldRows[id]
		if !ok {
			list = append(list, Difference{Sign: "+", Kind: id.kind, Name: id.name})
		} else if !reflect.DeepEqual(before, row) {
			list = append(list, Difference{Sign: "~", Kind: id.kind, Name: id.name, Text: fmt.Sprintf("%+v becomes %+v", before, row)})
		}
	}
	for id := range oldRows {
		if _, ok := newRows[id]; !ok {
			list = append(list, Difference{Sign: "-", Kind: id.kind, Name: id.name})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Kind < list[j].Kind || list[i].Kind == list[j].Kind && list[i].Name < list[j].Name
	})
	return list
}

// rowsOf returns the rows of all kinds in the sheet.
func rowsOf(s *Sheet) map[rowID]any {
	rows := map[rowID]any{}
	for _, w := range s.Workspaces {
		rows[rowID{kindWorkspace, w.Name}] = w
	}
	for _, z := range s.Zones {
		rows[rowID{kindZone, z.Name}] = z
	}
	for _, g := range s.Groups {
		rows[rowID{kindGroup, g.Name}] = g
	}
	for _, v := range s.Services {
		rows[rowID{kindService, v.Name}] = v
	}
	for _, e := range s.Endpoints {
		rows[rowID{kindEndpoint, e.Name}] = e
	}
	return rows
}
