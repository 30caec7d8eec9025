package chivesuspect

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

// maxHeadParts is about the number of different parts that the head of a request may name: 16,384
// bytes, and four to five of them a part.
const maxHeadParts = 4000

// partsWith returns the parts of a prompt: n that other prompts may have, whose IDs begin with a
// prefix, and one at a place among them.
func partsWith(prefix string, n int, one string, at int) []string {
	list := make([]string, 0, n+1)
	for i := range n {
		list = append(list, fmt.Sprintf("%s%04x", prefix, i))
	}
	return slices.Insert(list, at, one)
}

// manyParts is a series of prompts of which one part crashes runners.
type manyParts struct {
	// size is the number of the other parts, and at the place of the bad one among them.
	size, at int
	bad      string
	// shared reports whether the other parts are those of sound prompts, or new in each prompt.
	shared bool
}

// sound returns a prompt that crashes no runner.
func (m manyParts) sound() Suspects {
	return Suspects{Part: partsWith("a", m.size, "sound", 0)}
}

// prompt returns prompt number n with the bad part.
func (m manyParts) prompt(n int) Suspects {
	prefix := "a"
	if !m.shared {
		prefix = fmt.Sprintf("own%d-", n)
	}
	return Suspects{Part: partsWith(prefix, m.size, m.bad, m.at)}
}

// play sends bad prompts to entry VMs in turn, and sound ones in between, which are answered. It returns
// the number of crashes and when the last prompt was sent.
func (m manyParts) play(ledgers []*Ledger) (crashes int, now time.Duration) {
	const prompts, soundPrompts = 20, 10
	sound := m.sound()
	now = time.Minute
	for n := range prompts {
		l := ledgers[n%len(ledgers)]
		for range soundPrompts {
			now += 20 * time.Millisecond
			l.AddRequest(sound, now)
			l.AddAnswer(sound, now)
		}
		now += 300 * time.Millisecond
		s := m.prompt(n)
		l.AddRequest(s, now)
		if _, left := l.Excluded(s, now); left > 0 {
			continue
		}
		crashes++
		l.AddBreak(fmt.Sprint("r", n), s, now)
		l.AddEnd(fmt.Sprint("r", n), now+100*time.Millisecond)
		now += 200 * time.Millisecond
		for _, other := range ledgers {
			if other != l {
				other.Merge(l.Facts(now), 50*time.Millisecond, now)
			}
		}
	}
	return crashes, now
}

// TestPartIsFoundAmongMany guards against a part that crashes runners unseen since the prompts have
// more parts than are remembered or told (BUDGET): wherever it stands, whatever its ID, and whether the
// others are those of sound prompts or new in each prompt. Prompts with the other parts go on.
func TestPartIsFoundAmongMany(t *testing.T) {
	t.Parallel()
	var tests []manyParts
	for _, size := range []int{2, 38, 300, maxHeadParts} {
		for _, bad := range []string{"0", "zz"} {
			for _, at := range []int{0, size / 2, size} {
				tests = append(tests, manyParts{size, at, bad, true}, manyParts{size, at, bad, false})
			}
		}
	}
	for _, tt := range tests {
		ledgers := []*Ledger{{}, {}, {}}
		crashes, now := tt.play(ledgers)
		if crashes > badPartCrashes+len(ledgers) {
			t.Errorf("%+v: %d crashes", tt, crashes)
		}
		for i, l := range ledgers {
			if suspect, _ := l.Excluded(parts(tt.bad), now); suspect.ID != tt.bad {
				t.Errorf("%+v: entry VM %d does not exclude the part", tt, i)
			}
			if suspect, left := l.Excluded(tt.sound(), now); left > 0 {
				t.Errorf("%+v: entry VM %d excludes the sound part %s", tt, i, suspect.ID)
			}
		}
	}
}

// TestPartNamedTwice guards against a part that counts as more common than it is, and is taken for
// sound, since a prompt names it more than once.
func TestPartNamedTwice(t *testing.T) {
	l, now := &Ledger{}, time.Minute
	s := parts("bad", "bad", "bad")
	for range 10 {
		l.AddRequest(parts("other"), now)
	}
	for n := range 3 {
		now += 2 * time.Second
		l.AddRequest(s, now)
		l.AddBreak(fmt.Sprint("r", n), s, now)
		l.AddEnd(fmt.Sprint("r", n), now)
	}
	h := &l.evidence[Part].history
	if share, rate := h.share("bad"), h.breakRate("bad"); share != 3.0/13 || rate != 0 {
		t.Errorf("share %v of all requests, rate %v of breaks of others, want %v and 0", share, rate, 3.0/13)
	}
}

// TestPartsTakeLittleMemory guards against callers that spend the memory of an entry VM with the
// number of the parts of their prompts: each request names as many as its head holds, all new, and
// refers to the memory of its head.
func TestPartsTakeLittleMemory(t *testing.T) {
	const limit = 24 << 20
	l, now := &Ledger{}, time.Minute
	memory := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := memory()
	for n := range 60 {
		now += 100 * time.Millisecond
		head := make([]byte, 0, 16<<10)
		for i := range maxHeadParts {
			head = fmt.Appendf(head, "%04x", (n*maxHeadParts+i)%(1<<16))
		}
		text := string(head)
		s := Suspects{Part: make([]string, 0, maxHeadParts)}
		for i := range maxHeadParts {
			s[Part] = append(s[Part], text[4*i:4*i+4])
		}
		l.AddRequest(s, now)
		l.AddBreak(fmt.Sprint("r", n), s, now)
		if n%2 == 0 {
			l.AddEnd(fmt.Sprint("r", n), now)
		}
		l.Facts(now)
	}
	// A head that one part in it keeps is 16 KiB.
	for n := range 4096 {
		head := fmt.Sprintf("%08x%16376d", n, 0)
		l.AddRequest(parts(head[:8]), now)
	}
	if used := memory() - before; used > limit {
		t.Errorf("%d MB are held, want at most %d", used>>20, limit>>20)
	}
	runtime.KeepAlive(l)
}

// BenchmarkParts measures what a request with many parts costs that is counted, checked and answered,
// with nothing excluded and with one other part.
func BenchmarkParts(b *testing.B) {
	for _, n := range []int{2, 38, maxHeadParts} {
		for _, excluded := range []bool{false, true} {
			b.Run(fmt.Sprintf("parts=%d/excluded=%t", n, excluded), func(b *testing.B) {
				l, s, now := &Ledger{}, Suspects{Part: partsWith("a", n, "one", 0)}, time.Minute
				if excluded {
					now = crashUnder(l, "bad", minCrashes, 2*time.Second, time.Minute)
				}
				b.ReportAllocs()
				for b.Loop() {
					l.AddRequest(s, now)
					for range 2 {
						if _, left := l.Excluded(s, now); left > 0 {
							b.Fatal("excluded")
						}
					}
					l.AddAnswer(s, now)
				}
			})
		}
	}
}

// BenchmarkFacts measures a report while the last crash leaves as many suspects as are remembered.
func BenchmarkFacts(b *testing.B) {
	l, now := &Ledger{}, time.Minute
	for n := range 5 {
		s := Suspects{Part: partsWith(fmt.Sprint(n, "-"), maxHeadParts, "bad", 0)}
		l.AddRequest(s, now)
		l.AddBreak(fmt.Sprint("r", n), s, now)
		l.AddEnd(fmt.Sprint("r", n), now)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Facts(now)
	}
}
