package chivelink

import (
	"bytes"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveswitch"
)

var testCall = Call{ID: "1", Workspace: "w", Endpoint: "e", Timeout: time.Second}

// TestOpenMessageCheck checks which first messages of a stream are valid.
func TestOpenMessageCheck(t *testing.T) {
	order := chiveswitch.Order{Group: "g", Endpoint: "e", Step: chiveswitch.StepHold, Token: chiveswitch.Token{Fence: 1}}
	badOrder := order
	badOrder.Step = "jump"
	cases := []struct {
		name string
		open OpenMessage
		ok   bool
	}{
		{"call", OpenMessage{Call: &testCall}, true},
		{"order", OpenMessage{Order: &order}, true},
		{"query", OpenMessage{Query: &Query{}}, true},
		{"sync", OpenMessage{Sync: &Sync{Node: Node{Name: "n"}}}, true},
		{"nothing", OpenMessage{}, false},
		{"two", OpenMessage{Call: &testCall, Query: &Query{}}, false},
		{"call without id", OpenMessage{Call: &Call{Workspace: "w", Endpoint: "e", Timeout: 1}}, false},
		{"call without timeout", OpenMessage{Call: &Call{ID: "1", Workspace: "w", Endpoint: "e"}}, false},
		{"unknown step", OpenMessage{Order: &badOrder}, false},
		{"sync without sender", OpenMessage{Sync: &Sync{}}, false},
	}
	for _, c := range cases {
		if err := c.open.Check(); (err == nil) != c.ok {
			t.Errorf("%s: Check returned %v", c.name, err)
		}
	}
}

// encode returns the CBOR encoding of v.
func encode(t testing.TB, v any) []byte {
	t.Helper()
	data, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// FuzzOpen checks that a call is accepted only with an id and a positive timeout.
func FuzzOpen(f *testing.F) {
	f.Add(encode(f, OpenMessage{Call: &testCall}))
	f.Add(encode(f, OpenMessage{Sync: &Sync{Node: Node{Name: "n"}, ConfigVersion: 3}}))
	f.Add(encode(f, OpenMessage{Query: &Query{From: "x"}}))
	f.Add([]byte{0xa1, 0x64, 'c', 'a', 'l', 'l', 0xf6})
	f.Fuzz(func(t *testing.T, data []byte) {
		var open OpenMessage
		if decMode.NewDecoder(bytes.NewReader(data)).Decode(&open) != nil || open.Check() != nil {
			return
		}
		if open.Call != nil && (open.Call.ID == "" || open.Call.Timeout <= 0) {
			t.Fatalf("Check accepted %+v", open.Call)
		}
	})
}

// FuzzFrame checks that FrameEnd and FrameFail are accepted only with their fields.
func FuzzFrame(f *testing.F) {
	f.Add(encode(f, Frame{Kind: FrameDelta, Text: []byte(`"a"`), TokenCount: 1}))
	f.Add(encode(f, Frame{Kind: FrameEnd, End: &End{TokenCount: 1}}))
	f.Add(encode(f, Frame{Kind: FrameFail, Failure: chiveverdict.NotRunf(chiveverdict.CodeDrain, 1, "x")}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var frame Frame
		if decMode.NewDecoder(bytes.NewReader(data)).Decode(&frame) != nil || frame.Check() != nil {
			return
		}
		if frame.Kind == FrameFail && frame.Failure == nil || frame.Kind == FrameEnd && frame.End == nil {
			t.Fatalf("Check accepted %+v", frame)
		}
	})
}

// BenchmarkFrame measures the encoding and decoding of one FrameDelta.
func BenchmarkFrame(b *testing.B) {
	var buffer bytes.Buffer
	enc := cbor.NewEncoder(&buffer)
	frame := Frame{Kind: FrameDelta, Attempt: 1, Offset: 100, TokenCount: 1, Text: []byte(`"word "`)}
	var out Frame
	b.ReportAllocs()
	for b.Loop() {
		buffer.Reset()
		if err := enc.Encode(&frame); err != nil {
			b.Fatal(err)
		}
		out = Frame{Text: out.Text[:0]}
		if err := decMode.Unmarshal(buffer.Bytes(), &out); err != nil {
			b.Fatal(err)
		}
	}
}
