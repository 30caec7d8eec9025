package chivesheet

import (
	"fmt"
	"strings"
)

// Fault is one error in a sheet and its place in the file.
type Fault struct {
	// Row counts the lines of the file from 1, the header included.
	Row int `json:"row"`
	// Column is the name of the column, or its number from 1 if the header has no
	// valid name for it.
	Column string `json:"column"`
	// Text says what is wrong.
	Text string `json:"text"`
}

// String returns the fault as ROW:COLUMN: TEXT.
func (f Fault) String() string {
	return fmt.Sprintf("%d:%s: %s", f.Row, f.Column, f.Text)
}

// Faults holds all faults of one sheet, ordered by row.
type Faults []Fault

// Error implements error. It returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
