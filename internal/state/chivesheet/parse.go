package chivesheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"unicode/utf8"

	"golang.org/x/text/encoding/unicode"
	"golang.org/x/text/transform"
)

// MaxBytes is the largest size of a sheet that Parse accepts.
const MaxBytes = 8 << 20

// record is one row of the file.
type record struct {
	// row is the line number in the file, from 1.
	row int
	// cells holds the cells that are not empty by column name.
	cells map[string]string
}

// Parse parses a sheet from the CSV export of a spreadsheet. Cells are separated by
// semicolons, commas or tabs, whichever is most frequent in the header. A byte
// order mark, CRLF line endings, quoted cells, empty lines and empty trailing
// columns are accepted. If there is any fault it returns no sheet and an error of
// type Faults that lists all of them. Faults of the format, such as an unknown
// column, are returned without those of the content.
func Parse(data []byte) (*Sheet, error) {
	records, faults := readRecords(data)
	if len(faults) > 0 {
		return nil, faults
	}
	b := newBuilder()
	for _, r := range records {
		b.addRecord(r)
	}
	b.checkReferences()
	if len(b.faults) > 0 {
		sort.SliceStable(b.faults, func(i, j int) bool { return b.faults[i].Row < b.faults[j].Row })
		return nil, b.faults
	}
	return b.sheet, nil
}

// readRecords decodes the text of a sheet and returns its records without the
// header.
func readRecords(data []byte) ([]record, Faults) {
	if len(data) > MaxBytes {
		return nil, Faults{{Row: 1, Column: "1", Text: fmt.Sprintf("sheet has %d bytes, more than %d", len(data), MaxBytes)}}
	}
	text, _, err := transform.Bytes(unicode.BOMOverride(transform.Nop), data)
	if err != nil {
		return nil, Faults{{Row: 1, Column: "1", Text: err.Error()}}
	}
	if !utf8.Valid(text) {
		return nil, Faults{invalidUTF8(text)}
	}
	r := csv.NewReader(bytes.NewReader(text))
	r.Comma = delimiter(text)
	r.FieldsPerRecord = -1
	return readLines(r)
}

// invalidUTF8 returns the fault of the first byte that is not valid UTF-8.
func invalidUTF8(text []byte) Fault {
	row := 1
	for len(text) > 0 {
		c, n := utf8.DecodeRune(text)
		if c == utf8.RuneError && n == 1 {
			break
		}
		if c == '\n' {
			row++
		}
		text = text[n:]
	}
	return Fault{Row: row, Column: "1", Text: "text is not UTF-8"}
}

// delimiter returns the delimiter that is most frequent in the header, semicolon if
// there is none.
func delimiter(text []byte) rune {
	header, _, _ := bytes.Cut(text, []byte("\n"))
	best, bestCount := ';', 0
	for _, c := range []rune{';', '\t', ','} {
		if n := strings.Count(string(header), string(c)); n > bestCount {
			best, bestCount = c, n
		}
	}
	return best
}

// readLines reads the header and the records. It skips empty lines.
func readLines(r *csv.Reader) ([]record, Faults) {
	var header []string
	var records []record
	var faults Faults
	for {
		cells, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var parseErr *csv.ParseError
		if errors.As(err, &parseErr) {
			return nil, append(faults, Fault{Row: parseErr.Line, Column: fmt.Sprint(parseErr.Column), Text: parseErr.Err.Error()})
		}
		if isEmpty(cells) {
			continue
		}
		row, _ := r.FieldPos(0)
		if header == nil {
			header, faults = checkHeader(row, cells)
			continue
		}
		rec, recFaults := toRecord(row, header, cells)
		records = append(records, rec)
		faults = append(faults, recFaults...)
	}
	if header == nil {
		faults = append(faults, Fault{Row: 1, Column: "1", Text: "sheet is empty"})
	}
	return records, faults
}

// isEmpty reports whether all cells are blank.
func isEmpty(cells []string) bool {
	for _, c := range cells {
		if strings.TrimSpace(c) != "" {
			return false
		}
	}
	return true
}

// checkHeader returns the column names of the header and its faults.
func checkHeader(row int, cells []string) ([]string, Faults) {
	var faults Faults
	header := make([]string, 0, len(cells))
	seen := map[string]bool{}
	for i, c := range cells {
		name := strings.ToLower(strings.TrimSpace(c))
		header = append(header, name)
		switch {
		case name == "":
		case !columns[name]:
			faults = append(faults, Fault{Row: row, Column: fmt.Sprint(i + 1), Text: fmt.Sprintf("column %q is unknown", name)})
		case seen[name]:
			faults = append(faults, Fault{Row: row, Column: name, Text: fmt.Sprintf("column %q stands twice", name)})
		}
		seen[name] = true
	}
	for _, name := range []string{columnKind, columnName} {
		if !seen[name] {
			faults = append(faults, Fault{Row: row, Column: name, Text: fmt.Sprintf("column %q is missing", name)})
		}
	}
	return header, faults
}

// toRecord returns the record of a line. Cells that are not empty must have a column
// name.
func toRecord(row int, header, cells []string) (record, Faults) {
	var faults Faults
	rec := record{row: row, cells: map[string]string{}}
	for i, c := range cells {
		c = strings.TrimSpace(c)
		if c == "" {
			continue
		}
		if i >= len(header) || header[i] == "" {
			faults = append(faults, Fault{Row: row, Column: fmt.Sprint(i + 1), Text: fmt.Sprintf("cell %q has no column name", c)})
			continue
		}
		rec.cells[header[i]] = c
	}
	return rec, faults
}
