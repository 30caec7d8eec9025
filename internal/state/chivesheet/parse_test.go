package chivesheet

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveseed"
)

// keyDigest is a well-formed key digest.
const keyDigest = "sha256:0000000000000000000000000000000000000000000000000000000000000000"

// validLines holds the lines of a valid sheet.
var validLines = []string{
	"kind;name;zone;group;model;engine;agent;share;key;cold;full;fencing;resume",
	"workspace;desk;;;;;;2,5;" + keyDigest + ";;;;",
	"zone;palermo;;;;;;;;;;;",
	"group;draft;palermo;;drafter;;;;;;;;",
	"service;orders;;;;;;;;;;;",
	"endpoint;draft-1;palermo;draft;;127.0.0.1:8000;127.0.0.1:7443;;;4;32;yes;no",
	"endpoint;orders-1;palermo;orders;;127.0.0.2:8000;127.0.0.2:7443;;;4;32;;",
}

// readExample returns the sheet of an example.
func readExample(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", name, "sheet.csv"))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"ferraro", "ozolkalns"} {
		s, err := Parse(readExample(t, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if len(s.Zones) != 3 || len(s.Endpoints) != 19 || len(s.Workspaces) != 10 {
			t.Errorf("%s: %d zones, %d endpoints, %d workspaces, want 3, 19, 10", name, len(s.Zones), len(s.Endpoints), len(s.Workspaces))
		}
	}
}

// TestCSVDialects checks that the result doesn't depend on the dialect in which a
// spreadsheet exports CSV: byte order mark, delimiter, line endings, quotes, decimal
// separator, trailing cells and blank lines.
func TestCSVDialects(t *testing.T) {
	want, err := Parse([]byte(strings.Join(validLines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	chiveseed.Check(t, func(t *rapid.T) {
		var b bytes.Buffer
		if rapid.Bool().Draw(t, "mark") {
			b.WriteString("\ufeff")
		}
		delimiter := rapid.SampledFrom([]string{";", ",", "\t"}).Draw(t, "delimiter")
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
		trailing := strings.Repeat(delimiter, rapid.IntRange(0, 4).Draw(t, "trailing"))
		point := rapid.SampledFrom([]string{",", "."}).Draw(t, "point")
		for _, line := range validLines {
			cells := strings.Split(strings.Replace(line, "2,5", "2"+point+"5", 1), ";")
			for i, c := range cells {
				if strings.Contains(c, delimiter) || rapid.IntRange(0, 4).Draw(t, "quote") == 0 {
					cells[i] = `"` + c + `"`
				}
			}
			b.WriteString(strings.Join(cells, delimiter) + trailing + end)
			if rapid.IntRange(0, 9).Draw(t, "blank") == 0 {
				b.WriteString(strings.Repeat(delimiter, 5) + end)
			}
		}
		got, err := Parse(b.Bytes())
		if err != nil {
			t.Fatalf("%v\n%s", err, b.String())
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// TestFaults checks the place and text of the fault that one wrong cell causes.
func TestFaults(t *testing.T) {
	cases := []struct {
		name string
		row  int
		old  string
		new  string
		want string
	}{
		{"share not numeric", 2, "2,5", "much", `2:share: share "much" is not a number above 0 and up to 1e+06`},
		{"share 0", 2, "2,5", "0", `2:share: share "0" is not a number above 0 and up to 1e+06`},
		{"share NaN", 2, "2,5", "NaN", `2:share: share "NaN" is not a number above 0 and up to 1e+06`},
		{"malformed key digest", 2, keyDigest, "secret", `2:key: key digest "secret" is not sha256: and 64 hex digits`},
		{"unknown kind", 3, "zone;", "zoo;", `3:kind: kind "zoo" is not one of workspace, zone, group, service, endpoint`},
		{"malformed name", 2, "desk", "Desk 1", `2:name: name "Desk 1" is not 1 to 63 of a-z, 0-9, dot, dash and underscore`},
		{"unknown zone", 6, "palermo", "milano", `6:zone: zone "milano" does not exist`},
		{"unknown group", 6, ";draft;", ";drift;", `6:group: group or service "drift" does not exist`},
		{"malformed address", 6, "127.0.0.1:8000", "localhost", `6:engine: address "localhost" is not IP:port`},
		{"duplicate agent", 7, "127.0.0.2:7443", "127.0.0.1:7443", `7:agent: agent address 127.0.0.1:7443 stands already in row 6`},
		{"cold above full", 6, ";4;32;", ";64;32;", `6:cold: cold 64 is above full 32`},
		{"negative count", 6, ";4;32;", ";4;-1;", `6:full: full "-1" is not a whole number from 1 to 100000`},
		{"neither yes nor no", 6, "yes", "si", `6:fencing: fencing "si" is not yes or no`},
		{"duplicate name", 7, "orders-1", "draft-1", `7:name: name "draft-1" stands already in row 6`},
		{"missing cell", 4, ";drafter;", ";;", `4:model: group needs a model`},
		{"column of another kind", 3, "zone;palermo;;", "zone;palermo;x;", `3:zone: zone has no zone`},
		{"unknown column", 1, "share", "shares", `1:8: column "shares" is unknown`},
		{"cell beyond the header", 3, "zone;palermo;;;;;;;;;;;", "zone;palermo;;;;;;;;;;;;;x", `3:15: cell "x" has no column name`},
		{"stray quote", 5, "service", `ser"vice`, `5:4: bare " in non-quoted-field`},
	}
	for _, c := range cases {
		modified := append([]string(nil), validLines...)
		modified[c.row-1] = strings.Replace(modified[c.row-1], c.old, c.new, 1)
		sheet, err := Parse([]byte(strings.Join(modified, "\n")))
		var faults Faults
		if !errors.As(err, &faults) || sheet != nil {
			t.Errorf("%s: sheet was accepted", c.name)
			continue
		}
		if faults[0].String() != c.want {
			t.Errorf("%s:\n got %s\nwant %s", c.name, faults[0], c.want)
		}
	}
}

// TestParseReportsAllFaults checks that Parse does not stop at the first fault.
func TestParseReportsAllFaults(t *testing.T) {
	modified := append([]string(nil), validLines...)
	modified[1] = strings.Replace(modified[1], "2,5", "x", 1)
	modified[5] = strings.Replace(modified[5], ";4;32;", ";0;0;", 1)
	modified[6] = strings.Replace(modified[6], "palermo", "roma", 1)
	_, err := Parse([]byte(strings.Join(modified, "\n")))
	var faults Faults
	if !errors.As(err, &faults) || len(faults) != 4 {
		t.Fatalf("got error %v, want 4 faults", err)
	}
}

// TestDamagedSheet deletes a part of a sheet and checks that Parse either accepts
// the result or returns faults that each name a row of the file.
func TestDamagedSheet(t *testing.T) {
	raw := readExample(t, "ferraro")
	chiveseed.Check(t, func(t *rapid.T) {
		from := rapid.IntRange(0, len(raw)-1).Draw(t, "from")
		to := rapid.IntRange(from, min(len(raw), from+200)).Draw(t, "to")
		data := append(append([]byte(nil), raw[:from]...), raw[to:]...)
		sheet, err := Parse(data)
		checkOutcome(t, data, sheet, err)
	})
}

// fataler is implemented by *testing.T and *rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

// checkOutcome fails the test unless Parse returned either a sheet with endpoints or
// faults with a place in the data.
func checkOutcome(t fataler, data []byte, sheet *Sheet, err error) {
	if err == nil {
		if sheet == nil || len(sheet.Endpoints) == 0 {
			t.Fatalf("sheet without endpoints was accepted")
		}
		return
	}
	var faults Faults
	if sheet != nil || !errors.As(err, &faults) || len(faults) == 0 {
		t.Fatalf("error is not of type Faults, or a sheet was returned with it: %v", err)
	}
	rows := bytes.Count(data, []byte("\n")) + 1
	for _, f := range faults {
		if f.Row < 1 || f.Row > rows || f.Column == "" || f.Text == "" {
			t.Fatalf("fault %+v has no text or no place in the %d rows", f, rows)
		}
	}
}

// FuzzParse checks that Parse returns a sheet or located faults for any input, and
// does not panic.
func FuzzParse(f *testing.F) {
	f.Add(readExample(f, "ferraro"))
	f.Add(readExample(f, "ozolkalns"))
	f.Add([]byte(strings.Join(validLines, "\n")))
	f.Add([]byte("kind;name\n\"zone"))
	f.Add([]byte("\xff\xfek\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		sheet, err := Parse(data)
		checkOutcome(t, data, sheet, err)
	})
}

// TestDiff checks the signs and the order of added, removed and changed rows.
func TestDiff(t *testing.T) {
	old, _ := Parse([]byte(strings.Join(validLines, "\n")))
	modified := append([]string(nil), validLines...)
	modified[1] = strings.Replace(modified[1], "2,5", "3", 1)
	modified[6] = strings.Replace(modified[6], "orders-1", "orders-2", 1)
	next, _ := Parse([]byte(strings.Join(modified, "\n")))
	var got []string
	for _, d := range Diff(old, next) {
		got = append(got, fmt.Sprint(d.Sign, d.Kind, " ", d.Name))
	}
	want := []string{"-endpoint orders-1", "+endpoint orders-2", "~workspace desk"}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

func ExampleParse() {
	_, err := Parse([]byte("kind;name;share\nworkspace;desk;many\n"))
	fmt.Println(err)
	// Output:
	// 1:kind: sheet has no endpoint
	// 2:key: workspace needs a key
	// 2:share: share "many" is not a number above 0 and up to 1e+06
}

func BenchmarkParse(b *testing.B) {
	raw := readExample(b, "ferraro")
	for b.Loop() {
		if _, err := Parse(raw); err != nil {
			b.Fatal(err)
		}
	}
}
