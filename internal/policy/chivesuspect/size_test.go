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

// TestPartIsFoundAmongMany guards against a part that crashes runners unseen since the prompts have
// more parts than are remembered or told (BUDGET): wherever it stands, whatever its ID, and whether the
// others are those of sound prompts or new in each prompt. Prompts with the other parts go on.
func TestPartIsFoundAmongMany(t *testing.T) {
	t.Parallel()
	const entries = 3
	for _, size := range []int{2, 38, 300, maxHeadParts} {
		for _, bad := range []string{"0", "zz"} {
			for _, at := range []int{0, size / 2, size} {
				for _, shared := range []bool{true, false} {
					ledgers := [entries]*Ledger{{}, {}, {}}
					sound := Suspects{Part: partsWith("a", size, "sound", 0)}
					now, crashes := time.Minute, 0
					for n := 0; n < 20; n++ {
						l := ledgers[n%entries]
						for range 10 {
							now += 20 * time.Millisecond
							l.AddRequest(sound, now)
							l.AddAnswer(sound, now)
						}
						now += 300 * time.Millisecond
						prefix := "a"
						if !shared {
							prefix = fmt.Sprintf("own%d-", n)
						}
						s := Suspects{Part: partsWith(prefix, size, bad, at)}
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
					name := fmt.Sprintf("%q at place %d of %d, others shared %t", bad, at, size, shared)
					if crashes > badPartCrashes+entries {
						t.Errorf("%s: %d crashes", name, crashes)
					}
					for i, l := range ledgers {
						if suspect, _ := l.Excluded(parts(bad), now); suspect.ID != bad {
							t.Errorf("%s: entry VM %d does not exclude it", name, i)
						}
						if suspect, left := l.Excluded(sound, now); left > 0 {
							t.Errorf("%s: entry VM %d excludes the sound part %s", name, i, suspect.ID)
						}
					}
				}
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
