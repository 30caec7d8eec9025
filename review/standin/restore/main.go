//go:build review

// Command review-restore runs entry VMs in front of the project's stand-in of the platform. A key
// is revoked; then the store is away for a moment and returns from an older copy, while one entry
// VM is killed and started again. It checks that no request with the revoked key runs later than
// revoke-ms after the acknowledgement of its revocation.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveplatform"
)

const (
	revokeBound = 5 * time.Second
	// awayTime is how long the store is away, rewriteDelay how long after its return the
	// operators write again what it has lost.
	awayTime     = 1500 * time.Millisecond
	rewriteDelay = 800 * time.Millisecond
	// copyAge is the age of the copy when the store returns.
	copyAge = 9 * time.Second
)

type record struct {
	mu    sync.Mutex
	start time.Time
	out   *os.File
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
	_, _ = r.out.WriteString(line)
}

func main() {
	code, err := run(os.Args[1], os.Args[2], os.Getenv("TROUBLE"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 2
	}
	os.Exit(code)
}

func newSite(dir, program string) (site *chiveplatform.Site, err error) {
	// Addresses that another site uses are left out.
	for net := 60; net < 120; net++ {
		if site, err = chiveplatform.NewSite(dir, program, byte(net), 4, 6); err == nil {
			return site, nil
		}
	}
	return nil, err
}

// run plays the case. trouble is "0" for no disruption and "kill" for the restart of a process
// without the return of the store from a copy.
func run(program, recordPath, trouble string) (int, error) {
	kills, returns := trouble != "0", trouble != "0" && trouble != "kill"
	out, err := os.Create(recordPath)
	if err != nil {
		return 2, err
	}
	defer func() { _ = out.Close() }()
	rec := &record{start: time.Now(), out: out}
	dir, err := os.MkdirTemp("", "review-restore")
	if err != nil {
		return 2, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	site, err := newSite(dir, program)
	if err != nil {
		return 2, err
	}
	defer func() { _ = site.Close() }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		_ = site.Close()
		os.Exit(2)
	}()
	if err := site.Configure("kept", "revoked"); err != nil {
		return 2, err
	}
	for _, e := range site.EntryVMs {
		if err := e.Start(); err != nil {
			return 2, err
		}
	}
	if err := site.WaitReady(20 * time.Second); err != nil {
		return 2, err
	}
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	n := 0
	send := func(e *chiveplatform.EntryVM, key string) chiveplatform.Answer {
		n++
		id := fmt.Sprintf("%s-%d", key, n)
		rec.printf("sent %s to %s", id, e.Name)
		a := chiveplatform.Send(context.Background(), client, e.CallerAddress(), "any", id, key)
		rec.printf("answered %s: %d, complete %t", id, a.Status, a.Complete)
		return a
	}
	for _, key := range []string{"kept", "revoked"} {
		if a := send(site.EntryVMs[0], key); a.Status != http.StatusOK {
			return 2, fmt.Errorf("key %q is refused with %d before its revocation", key, a.Status)
		}
	}
	time.Sleep(2 * time.Second)
	older, copiedAt := site.Store.Copy(), time.Now()
	rec.printf("the store is copied")
	time.Sleep(500 * time.Millisecond)
	if err := site.Configure("kept"); err != nil {
		return 2, err
	}
	revokedAt := time.Now()
	rec.printf("the store acknowledges the configuration without the key \"revoked\"")
	time.Sleep(time.Until(copiedAt.Add(copyAge - awayTime)))
	restarted := site.EntryVMs[1]
	if returns {
		rec.printf("the store is away")
		site.Store.SetFault(chiveplatform.StoreBusy)
	}
	if kills {
		rec.printf("SIGKILL of %s", restarted.Name)
		restarted.Signal(syscall.SIGKILL)
		restarted.WaitExit(5 * time.Second)
	}
	time.Sleep(awayTime - 300*time.Millisecond)
	if kills {
		rec.printf("%s is started", restarted.Name)
		if err := restarted.Start(); err != nil {
			return 2, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	if returns {
		site.Store.ReturnFrom(older, func(string) bool { return true })
		site.Store.SetFault(chiveplatform.StoreHealthy)
		rec.printf("the store returns from a copy that is %.1f s old", time.Since(copiedAt).Seconds())
		time.AfterFunc(rewriteDelay, func() {
			// What operators wrote is written again, as a newer version.
			if err := site.Configure("kept"); err == nil {
				rec.printf("the operators have written the configuration again")
			}
		})
	}
	type sent struct {
		id string
		at time.Time
	}
	var late []sent
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, e := range site.EntryVMs {
			at := time.Now()
			send(e, "revoked")
			if at.Sub(revokedAt) > revokeBound {
				late = append(late, sent{fmt.Sprintf("revoked-%d", n), at})
			}
		}
	}
	if a := send(restarted, "kept"); a.Status != http.StatusOK {
		return 2, fmt.Errorf("%s does not serve at the end: %d", restarted.Name, a.Status)
	}
	broken := 0
	for _, r := range site.Runners {
		starts := r.StartTimes()
		for _, s := range late {
			if len(starts[s.id]) > 0 {
				broken++
				rec.printf("runner %s ran %s, which was sent %.3f s after the acknowledgement", r.ID, s.id, s.at.Sub(revokedAt).Seconds())
			}
		}
	}
	rec.printf("%d of %d requests with the revoked key ran", broken, len(late))
	if broken > 0 {
		return 1, nil
	}
	return 0, nil
}
