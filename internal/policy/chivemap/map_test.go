package chivemap

import (
	"reflect"
	"testing"
)

func TestNewFromLayout(t *testing.T) {
	tests := []struct {
		give   string
		layout [][][]int
		ok     bool
	}{
		{"each expert once", [][][]int{{{0, 2}, {1}}}, true},
		{"a replica", [][][]int{{{0, 2}, {1, 0}}, {{0}, {1, 2}}}, true},
		{"an expert is missing, a rank is empty", [][][]int{{{0, 1}, {}}}, false},
		{"a rank without experts", [][][]int{{{0, 1}, {2}, {}}}, true},
		{"no layer", nil, false},
		{"too many experts for the slots", [][][]int{{{0, 1, 2}, {0}}}, false},
		{"an expert that does not exist", [][][]int{{{0, 3}, {1, 2}}}, false},
		{"a negative expert", [][][]int{{{0, -1}, {1, 2}}}, false},
		{"an expert is missing", [][][]int{{{0}, {1}}}, false},
		{"layers with different ranks", [][][]int{{{0, 2}, {1}}, {{0, 1}}}, false},
	}
	for _, tt := range tests {
		m, err := NewFromLayout(2, 3, tt.layout)
		if (err == nil) != tt.ok {
			t.Errorf("%s: %v", tt.give, err)
		}
		if tt.ok && !reflect.DeepEqual(m.Layout(), tt.layout) {
			t.Errorf("%s: layout is %v, want %v", tt.give, m.Layout(), tt.layout)
		}
	}
}
