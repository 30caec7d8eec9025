package chivesheet

import (
	"fmt"
	"net/netip"
	"regexp"
	"sort"
	"strconv"
	"strings"
)

// The names of the columns, in lower case.
const (
	columnKind    = "kind"
	columnName    = "name"
	columnZone    = "zone"
	columnGroup   = "group"
	columnModel   = "model"
	columnEngine  = "engine"
	columnAgent   = "agent"
	columnShare   = "share"
	columnKey     = "key"
	columnCold    = "cold"
	columnFull    = "full"
	columnFencing = "fencing"
	columnResume  = "resume"
)

// The kinds of rows, in lower case.
const (
	kindWorkspace = "workspace"
	kindZone      = "zone"
	kindGroup     = "group"
	kindService   = "service"
	kindEndpoint  = "endpoint"
)

const (
	// maxShare is the largest share of a workspace.
	maxShare = 1e6
	// maxRequests is the largest number of requests in the columns cold and full.
	maxRequests = 100_000
)

// columns holds the names of all columns.
var columns = map[string]bool{
	columnKind: true, columnName: true, columnZone: true, columnGroup: true, columnModel: true,
	columnEngine: true, columnAgent: true, columnShare: true, columnKey: true, columnCold: true,
	columnFull: true, columnFencing: true, columnResume: true,
}

// columnsByKind lists the columns that each kind of row has besides kind and name.
var columnsByKind = map[string]struct{ required, optional []string }{
	kindWorkspace: {required: []string{columnShare, columnKey}},
	kindZone:      {},
	kindGroup:     {required: []string{columnZone, columnModel}},
	kindService:   {},
	kindEndpoint: {
		required: []string{columnZone, columnGroup, columnEngine, columnAgent, columnCold, columnFull},
		optional: []string{columnFencing, columnResume},
	},
}

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	keyPattern  = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
)

// builder builds a sheet from records and collects the faults. It keeps row
// numbers to name the first of two rows with the same name, key or address.
type builder struct {
	sheet  *Sheet
	faults Faults
	// nameRows maps KIND/NAME to the row; services are under the kind group.
	nameRows map[string]int
	// keyRows maps key digests to the row.
	keyRows map[string]int
	// agentRows maps agent addresses to the row.
	agentRows map[string]int
	// groupRows and endpointRows hold the rows of sheet.Groups and
	// sheet.Endpoints, including those with an invalid name.
	groupRows, endpointRows []int
}

func newBuilder() *builder {
	return &builder{sheet: &Sheet{}, nameRows: map[string]int{}, keyRows: map[string]int{}, agentRows: map[string]int{}}
}

// addFault adds a fault in a column of the record.
func (b *builder) addFault(r record, column, format string, args ...any) {
	b.faults = append(b.faults, Fault{Row: r.row, Column: column, Text: fmt.Sprintf(format, args...)})
}

// addRecord adds a record to the sheet and checks it on its own.
func (b *builder) addRecord(r record) {
	kind := strings.ToLower(r.cells[columnKind])
	cols, ok := columnsByKind[kind]
	if !ok {
		b.addFault(r, columnKind, "kind %q is not one of workspace, zone, group, service, endpoint", kind)
		return
	}
	b.checkColumns(r, kind, cols.required, cols.optional)
	name := b.name(r, kind)
	switch kind {
	case kindWorkspace:
		b.sheet.Workspaces = append(b.sheet.Workspaces, Workspace{Name: name, Share: b.share(r), Keys: b.keyDigests(r)})
	case kindZone:
		b.sheet.Zones = append(b.sheet.Zones, Zone{Name: name})
	case kindGroup:
		b.groupRows = append(b.groupRows, r.row)
		b.sheet.Groups = append(b.sheet.Groups, Group{Name: name, Zone: r.cells[columnZone], Model: r.cells[columnModel]})
	case kindService:
		b.sheet.Services = append(b.sheet.Services, Service{Name: name})
	case kindEndpoint:
		b.endpointRows = append(b.endpointRows, r.row)
		b.sheet.Endpoints = append(b.sheet.Endpoints, b.endpoint(r, name))
	}
}

// checkColumns checks that the record fills all required columns and, besides
// these, only optional ones.
func (b *builder) checkColumns(r record, kind string, required, optional []string) {
	allowed := map[string]bool{columnKind: true, columnName: true}
	for _, c := range required {
		allowed[c] = true
		if r.cells[c] == "" {
			b.addFault(r, c, "%s needs a %s", kind, c)
		}
	}
	for _, c := range optional {
		allowed[c] = true
	}
	extra := make([]string, 0, len(r.cells))
	for c := range r.cells {
		if !allowed[c] {
			extra = append(extra, c)
		}
	}
	sort.Strings(extra)
	for _, c := range extra {
		b.addFault(r, c, "%s has no %s", kind, c)
	}
}

// name returns the name of the record and checks that it is valid and unique.
// Groups and services share one namespace.
func (b *builder) name(r record, kind string) string {
	name := r.cells[columnName]
	if !namePattern.MatchString(name) {
		b.addFault(r, columnName, "name %q is not 1 to 63 of a-z, 0-9, dot, dash and underscore", name)
		return name
	}
	namespace := kind
	if kind == kindService {
		namespace = kindGroup
	}
	if first, ok := b.nameRows[namespace+"/"+name]; ok {
		b.addFault(r, columnName, "name %q stands already in row %d", name, first)
		return name
	}
	b.nameRows[namespace+"/"+name] = r.row
	return name
}

// share returns the share of a workspace. The decimal separator may be a point or a
// comma.
func (b *builder) share(r record) float64 {
	cell := r.cells[columnShare]
	if cell == "" {
		return 0
	}
	share, err := strconv.ParseFloat(strings.Replace(cell, ",", ".", 1), 64)
	if err != nil || !(share > 0 && share <= maxShare) {
		b.addFault(r, columnShare, "share %q is not a number above 0 and up to %g", cell, maxShare)
	}
	return share
}

// keyDigests returns the key digests of a workspace, which are separated by spaces.
func (b *builder) keyDigests(r record) []string {
	digests := strings.Fields(r.cells[columnKey])
	for _, d := range digests {
		if !keyPattern.MatchString(d) {
			b.addFault(r, columnKey, "key digest %q is not sha256: and 64 hex digits", d)
			continue
		}
		if first, ok := b.keyRows[d]; ok {
			b.addFault(r, columnKey, "key digest stands already in row %d", first)
			continue
		}
		b.keyRows[d] = r.row
	}
	return digests
}

func (b *builder) endpoint(r record, name string) Endpoint {
	e := Endpoint{
		Name:    name,
		Zone:    r.cells[columnZone],
		Group:   r.cells[columnGroup],
		Engine:  b.address(r, columnEngine),
		Agent:   b.address(r, columnAgent),
		Cold:    b.count(r, columnCold),
		Full:    b.count(r, columnFull),
		Fencing: b.yesNo(r, columnFencing),
		Resume:  b.yesNo(r, columnResume),
	}
	if e.Cold > e.Full && e.Full > 0 {
		b.addFault(r, columnCold, "cold %d is above full %d", e.Cold, e.Full)
	}
	if first, ok := b.agentRows[e.Agent]; ok && e.Agent != "" {
		b.addFault(r, columnAgent, "agent address %s stands already in row %d", e.Agent, first)
	}
	b.agentRows[e.Agent] = r.row
	return e
}

// address returns an IP:port address, which may be empty.
func (b *builder) address(r record, column string) string {
	cell := r.cells[column]
	if cell == "" {
		return ""
	}
	if a, err := netip.ParseAddrPort(cell); err != nil || a.Port() == 0 {
		b.addFault(r, column, "address %q is not IP:port", cell)
	}
	return cell
}

// count returns a number of requests, 0 if the cell is empty.
func (b *builder) count(r record, column string) int {
	cell := r.cells[column]
	if cell == "" {
		return 0
	}
	n, err := strconv.Atoi(cell)
	if err != nil || n < 1 || n > maxRequests {
		b.addFault(r, column, "%s %q is not a whole number from 1 to %d", column, cell, maxRequests)
	}
	return n
}

// yesNo returns the value of a column that holds yes or no; an empty cell means no.
func (b *builder) yesNo(r record, column string) bool {
	switch strings.ToLower(r.cells[column]) {
	case "yes":
		return true
	case "", "no":
		return false
	}
	b.addFault(r, column, "%s %q is not yes or no", column, r.cells[column])
	return false
}

// checkReferences checks the zones and groups that rows refer to, and that the sheet
// is not empty. It must be called after all records were added.
func (b *builder) checkReferences() {
	b.checkNotEmpty()
	for i, g := range b.sheet.Groups {
		r := record{row: b.groupRows[i]}
		if g.Zone != "" && !b.sheet.HasZone(g.Zone) {
			b.addFault(r, columnZone, "zone %q does not exist", g.Zone)
		}
	}
	for i, e := range b.sheet.Endpoints {
		b.checkEndpoint(record{row: b.endpointRows[i]}, e)
	}
}

// checkNotEmpty checks that the sheet has a workspace and an endpoint.
func (b *builder) checkNotEmpty() {
	if len(b.sheet.Workspaces) == 0 {
		b.addFault(record{row: 1}, columnKind, "sheet has no workspace")
	}
	if len(b.sheet.Endpoints) == 0 {
		b.addFault(record{row: 1}, columnKind, "sheet has no endpoint")
	}
}

// checkEndpoint checks the zone and the group or service of an endpoint.
func (b *builder) checkEndpoint(r record, e Endpoint) {
	if e.Zone != "" && !b.sheet.HasZone(e.Zone) {
		b.addFault(r, columnZone, "zone %q does not exist", e.Zone)
	}
	if e.Group == "" {
		return
	}
	g, isGroup := b.sheet.Group(e.Group)
	_, isService := b.sheet.Service(e.Group)
	if !isGroup && !isService {
		b.addFault(r, columnGroup, "group or service %q does not exist", e.Group)
	}
	if isGroup && g.Zone != e.Zone {
		b.addFault(r, columnZone, "zone %q is not the zone %q of group %q", e.Zone, g.Zone, g.Name)
	}
}
