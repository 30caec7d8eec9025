package chivegateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/xxh3"
	"pgregory.net/rapid"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveseed"
	"github.com/chiveyoke/chiveyoke/internal/peer/chiveengine"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

// recorder is a caller that keeps what it got.
type recorder struct {
	text  string
	ended int
}

func (r *recorder) Begun() bool { return r.text != "" }

func (r *recorder) Text(text []byte) error {
	r.text += strings.Trim(string(text), `"`)
	return nil
}

func (r *recorder) End(string, chiveengine.Usage) error {
	r.ended++
	return nil
}

func newTestRun(out answerer) *chatRun {
	g := &Gateway{metrics: newMetrics(tally.NoopScope), ring: chivetime.NewRing("test", 16), ledger: newLedger()}
	return &chatRun{gateway: g, workspace: &chivesheet.Workspace{Name: "w"}, chat: &chiveengine.ChatRequest{Model: "m"}, out: out, began: time.Now()}
}

// answer is an answer as a list of tokens.
type answer []string

func (a answer) text() string { return strings.Join(a, "") }

// frames returns what an agent sends that begins at a token.
func (a answer) frames(from int) []chivelink.Frame {
	hash := xxh3.New()
	var list []chivelink.Frame
	for i := from; i < len(a); i++ {
		text := []byte(`"` + a[i] + `"`)
		_, _ = hash.Write(text)
		list = append(list, chivelink.Frame{Kind: chivelink.FrameDelta, Offset: uint64(i), Count: 1, Text: text})
	}
	end := &chivelink.End{Tokens: uint64(len(a)), Sum: hash.Sum64(), Finish: "stop"}
	return append(list, chivelink.Frame{Kind: chivelink.FrameEnd, End: end})
}

// spoil loses, doubles and swaps frames, and cuts the stream.
func spoil(t *rapid.T, frames []chivelink.Frame) []chivelink.Frame {
	var list []chivelink.Frame
	for _, f := range frames {
		switch rapid.IntRange(0, 30).Draw(t, "fate") {
		case 0:
		case 1:
			list = append(list, f, f)
		case 2:
			return list
		default:
			list = append(list, f)
		}
	}
	if len(list) > 1 && rapid.IntRange(0, 5).Draw(t, "swap") == 0 {
		i := rapid.IntRange(0, len(list)-2).Draw(t, "place")
		list[i], list[i+1] = list[i+1], list[i]
	}
	return list
}

// naiveRelay passes on all that comes, as a proxy does.
func naiveRelay(out *recorder, frames []chivelink.Frame) {
	for _, f := range frames {
		if f.Kind == chivelink.FrameDelta {
			_ = out.Text(f.Text)
		} else {
			_ = out.End("stop", chiveengine.Usage{})
		}
	}
}

// TestCallersGetTheWholeAnswerOnce relays spoiled attempts until one is whole. At
// any moment the caller has a prefix of the answer, and an end only after all of
// it. The naive relay breaks that under the same frames.
func TestCallersGetTheWholeAnswerOnce(t *testing.T) {
	naiveBroken := false
	chiveseed.Check(t, func(t *rapid.T) {
		var a answer
		for i := range rapid.IntRange(1, 40).Draw(t, "tokens") {
			a = append(a, fmt.Sprintf("w%d ", i))
		}
		out, naive := &recorder{}, &recorder{}
		r := newTestRun(out)
		for attempt := 0; out.ended == 0 && attempt < 50; attempt++ {
			from := rapid.IntRange(0, int(r.offset)).Draw(t, "from")
			frames := spoil(t, a.frames(from))
			naiveRelay(naive, frames)
			hash := xxh3.New()
			for _, f := range frames {
				r.frame = f
				ended, failure := r.take(hash)
				if !strings.HasPrefix(a.text(), out.text) {
					t.Fatalf("the caller has %q of %q", out.text, a.text())
				}
				if ended || failure != nil {
					break
				}
			}
		}
		if out.ended > 1 || out.ended == 1 && out.text != a.text() {
			t.Fatalf("ended %d times with %q of %q", out.ended, out.text, a.text())
		}
		naiveBroken = naiveBroken || naive.text != a.text() || naive.ended != 1
	})
	if !naiveBroken {
		t.Fatal("the naive relay served every answer, so the frames show nothing")
	}
}
