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

// recordingWriter is an answerWriter that keeps what the caller receives.
type recordingWriter struct {
	text     string
	endCount int
}

func (r *recordingWriter) Begun() bool { return r.text != "" }

func (r *recordingWriter) Text(text []byte) error {
	r.text += strings.Trim(string(text), `"`)
	return nil
}

func (r *recordingWriter) End(string, chiveengine.Usage) error {
	r.endCount++
	return nil
}

// newTestChatRequest returns a chatRequest that writes to out, with a gateway
// that has only what relaying needs.
func newTestChatRequest(out answerWriter) *chatRequest {
	g := &Gateway{metrics: newMetrics(tally.NoopScope), ring: chivetime.NewRing("test", 16), ledger: newLedger()}
	return &chatRequest{gateway: g, workspace: &chivesheet.Workspace{Name: "w"}, chat: &chiveengine.ChatRequest{Model: "m"}, out: out, startedAt: time.Now()}
}

// answer holds the tokens of an answer.
type answer []string

func (a answer) text() string { return strings.Join(a, "") }

// frames returns the frames that an agent sends when it resumes the answer at
// token from.
func (a answer) frames(from int) []chivelink.Frame {
	hash := xxh3.New()
	var list []chivelink.Frame
	for i := from; i < len(a); i++ {
		text := []byte(`"` + a[i] + `"`)
		_, _ = hash.Write(text)
		list = append(list, chivelink.Frame{Kind: chivelink.FrameDelta, Offset: uint64(i), TokenCount: 1, Text: text})
	}
	end := &chivelink.End{TokenCount: uint64(len(a)), Checksum: hash.Sum64(), FinishReason: "stop"}
	return append(list, chivelink.Frame{Kind: chivelink.FrameEnd, End: end})
}

// injectFaults drops, duplicates and swaps frames, and cuts the stream.
func injectFaults(t *rapid.T, frames []chivelink.Frame) []chivelink.Frame {
	var list []chivelink.Frame
	for _, f := range frames {
		switch rapid.IntRange(0, 30).Draw(t, "fault") {
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
		i := rapid.IntRange(0, len(list)-2).Draw(t, "position")
		list[i], list[i+1] = list[i+1], list[i]
	}
	return list
}

// naiveRelay passes on every frame that arrives, as a plain proxy does.
func naiveRelay(out *recordingWriter, frames []chivelink.Frame) {
	for _, f := range frames {
		if f.Kind == chivelink.FrameDelta {
			_ = out.Text(f.Text)
		} else {
			_ = out.End("stop", chiveengine.Usage{})
		}
	}
}

// TestChatDeliversAnswerExactlyOnce guards against lost and repeated tokens
// when a generation is resumed after a broken attempt. It relays attempts with
// injected faults until one is complete. At any time the caller must have a
// prefix of the answer, and an end only after the complete answer. A naive
// relay must break this with the same frames, which shows that the faults
// matter.
func TestChatDeliversAnswerExactlyOnce(t *testing.T) {
	naiveBroken := false
	chiveseed.Check(t, func(t *rapid.T) {
		var a answer
		for i := range rapid.IntRange(1, 40).Draw(t, "tokens") {
			a = append(a, fmt.Sprintf("w%d ", i))
		}
		out, naive := &recordingWriter{}, &recordingWriter{}
		r := newTestChatRequest(out)
		for attempt := 0; out.endCount == 0 && attempt < 50; attempt++ {
			from := rapid.IntRange(0, int(r.offset)).Draw(t, "from")
			frames := injectFaults(t, a.frames(from))
			naiveRelay(naive, frames)
			hash := xxh3.New()
			for _, f := range frames {
				r.frame = f
				complete, failure := r.handleFrame(hash)
				if !strings.HasPrefix(a.text(), out.text) {
					t.Fatalf("caller has %q, which is not a prefix of %q", out.text, a.text())
				}
				if complete || failure != nil {
					break
				}
			}
		}
		if out.endCount > 1 || out.endCount == 1 && out.text != a.text() {
			t.Fatalf("answer ended %d times with text %q, want %q", out.endCount, out.text, a.text())
		}
		naiveBroken = naiveBroken || naive.text != a.text() || naive.endCount != 1
	})
	if !naiveBroken {
		t.Fatal("naive relay delivered every answer: the injected faults have no effect")
	}
}
