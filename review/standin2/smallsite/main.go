// Command smallsite plays a small deployment under one disruption. It starts the project's
// programs as separate processes with the commands of the deploy file, plays the store, the
// runners and the clients, and writes what was sent, answered and run to a record.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

func main() {
	name := flag.String("case", "", "case: crash, encoded, revoke, foreign or hide")
	recordPath := flag.String("record", "record.txt", "path of the record")
	dir := flag.String("dir", "", "folder for settings and logs")
	trouble := flag.Bool("trouble", true, "whether there is the disruption")
	flag.Parse()
	cases := map[string]func(*site, bool) (bool, error){"crash": playCrash, "foreign": playForeign, "hide": playHide, "encoded": playEncoded, "revoke": playRevoke}
	play := cases[*name]
	if play == nil || *dir == "" {
		fmt.Fprintln(os.Stderr, "smallsite: unknown case or no folder")
		os.Exit(2)
	}
	os.Exit(run(play, *recordPath, *dir, *trouble))
}

// run plays a case and returns the exit code.
func run(play func(*site, bool) (bool, error), recordPath, dir string, trouble bool) int {
	s, err := newSite(recordPath, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "smallsite:", err)
		return 2
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		s.close()
		os.Exit(2)
	}()
	if err := s.start(); err != nil {
		fmt.Fprintln(os.Stderr, "smallsite:", err)
		return 2
	}
	s.record.note("trouble %t", trouble)
	broken, err := play(s, trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "smallsite:", err)
		return 2
	case broken:
		s.record.note("the rule was broken")
		return 1
	}
	s.record.note("the rule held")
	return 0
}

// errTooFew is returned if there was too little traffic to judge.
var errTooFew = errors.New("too few requests were sent")

// oddEntry returns an entry that lacks the fields version, cold-remaining-ms, sequence and born.
func oddEntry(service, address string) map[string]any {
	return map[string]any{"service": service, "address": address, "zone": zones[0], "slots": modelSlots, "state": "ready"}
}

// playCrash lets another writer leave one entry, which lacks fields and names a server of a group
// of one rank, and counts the connections that are closed without an answer (LOST).
func playCrash(s *site, trouble bool) (broken bool, err error) {
	traffic := s.startClients()
	time.Sleep(contact + time.Second)
	began := time.Now()
	if trouble {
		r := newRunner(s, "i-other", service{name: modelService, engine: true}, len(s.runners)+1)
		r.group, r.groupSize, r.refuses = "other", 1, true
		if err := r.listen(); err != nil {
			return false, err
		}
		e := oddEntry(modelService, r.address)
		e["group"], e["size"] = map[string]any{"name": "other", "epoch": 1, "rank": 0, "state": "open"}, 1
		s.putEntry(r.id, e)
	}
	time.Sleep(60 * time.Second)
	answers := traffic.stop()
	lost := 0
	for _, a := range answers {
		if a.sentAt.After(began) && a.kept && a.status == 0 && !a.timedOut && s.record.arrived(a.id) {
			lost++
		}
	}
	ends := s.ownEnds()
	s.record.note("%d requests; %d of kept connections were passed on to a sound runner and their connections closed without an answer; processes ended by themselves: %v", len(answers), lost, ends)
	if len(answers) < 1000 {
		return false, errTooFew
	}
	return lost > 3, nil
}

// playForeign lets another writer leave one entry, which lacks fields and names the address of a
// server that is no runner, and counts the requests that end with a 3xx or 4xx which no runner has
// given (DENIED).
func playForeign(s *site, trouble bool) (broken bool, err error) {
	traffic := s.startClients()
	time.Sleep(contact + time.Second)
	began := time.Now()
	if trouble {
		address, err := s.listenForeign()
		if err != nil {
			return false, err
		}
		s.putEntry("other", oddEntry(plainService, address))
	}
	time.Sleep(20 * time.Second)
	answers := traffic.stop()
	all, denied := 0, 0
	for _, a := range answers {
		if a.sentAt.Before(began) {
			continue
		}
		all++
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 && a.seal == "" {
			denied++
		}
	}
	s.record.note("%d requests, %d ended with a 3xx or 4xx that no runner has given; the server that is no runner got %d requests", all, denied, s.record.count("foreign"))
	if all < 1000 {
		return false, errTooFew
	}
	return float64(denied) > 5+float64(all)/500, nil
}

// playHide lets another writer leave an entry beside that of each runner, of a service that no
// configuration names and with the same address, kills all processes right after, and compares
// the shares of requests that are served before and later than recovery-s after the machines are
// back (RECOVER).
func playHide(s *site, trouble bool) (broken bool, err error) {
	traffic := s.startClients()
	time.Sleep(6 * time.Second)
	fault := time.Now()
	if trouble {
		for i, r := range s.runners {
			e := oddEntry("other", r.address)
			e["born"] = time.Now().UnixMilli()
			s.putEntry(fmt.Sprintf("other-%d", i), e)
		}
	}
	s.record.note("all processes are killed")
	s.killAll()
	time.Sleep(900 * time.Millisecond)
	back := time.Now()
	if err := s.startProcesses(); err != nil {
		return false, err
	}
	time.Sleep(recovery + 12*time.Second)
	answers := traffic.stop()
	var before, served, after, servedAfter int
	for _, a := range answers {
		ok := a.status == 200 && a.complete
		switch {
		case a.sentAt.Before(fault.Add(-time.Second)):
			before++
			if ok {
				served++
			}
		case a.sentAt.After(back.Add(recovery)):
			after++
			if ok {
				servedAfter++
			}
		}
	}
	s.record.note("%d of %d requests were served before the final fault, %d of %d later than %v after the machines were back", served, before, servedAfter, after, recovery)
	if before < 100 || after < 100 {
		return false, errTooFew
	}
	return 4*served >= before && 4*servedAfter < after, nil
}

// Doses of the disruption answer_lost: 0.6 of the runners of the service, and the rate and the time,
// as on standard days of the small site.
const (
	lostRunners = 3
	lostRate    = 0.4
	lostTime    = 4 * time.Second
)

// playEncoded has clients order items whose codes have a slash, which is encoded in the path, lets
// runners lose the answers of requests that they ran, and counts the orders that ran more than once
// (TWICE). The route of an order is /order/, the longest prefix that begins its path: /order/look/
// does not begin /order/look%2F7.
func playEncoded(s *site, trouble bool) (broken bool, err error) {
	s.itemPath = "look%2F"
	traffic := s.startClients()
	// A window of the retry budget has passed.
	time.Sleep(12 * time.Second)
	if trouble {
		losing := s.runners[groupSize:][:lostRunners]
		for _, r := range losing {
			s.record.note("runner %s loses the answers of %v of its requests for %v", r.id, lostRate, lostTime)
			r.loses.Store(true)
		}
		time.Sleep(lostTime)
		for _, r := range losing {
			r.loses.Store(false)
		}
	} else {
		time.Sleep(lostTime)
	}
	time.Sleep(4 * time.Second)
	orders, twice := 0, 0
	for _, a := range traffic.stop() {
		if !strings.HasPrefix(a.id, "order-") {
			continue
		}
		orders++
		if n := s.record.runs(a.id); n > 1 {
			twice++
		}
	}
	s.record.note("%d orders were sent, %d of them ran more than once", orders, twice)
	if orders < 200 {
		return false, errTooFew
	}
	return twice > 0, nil
}

// playRevoke has the operator write a version of the configuration that takes the key of all
// clients away, with the only tenant, and counts the requests that are sent later than revoke-ms
// after its acknowledgement and run (CONFIG).
func playRevoke(s *site, trouble bool) (broken bool, err error) {
	traffic := s.startClients()
	time.Sleep(contact + time.Second)
	// The second version keeps the tenant if there is no disruption.
	if err := s.putConfig(2, !trouble); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	time.Sleep(revoke + 10*time.Second)
	late, ran, refused := 0, 0, 0
	for _, a := range traffic.stop() {
		if a.sentAt.Before(acknowledged.Add(revoke)) {
			continue
		}
		late++
		if s.record.arrived(a.id) {
			ran++
		}
		if a.status == 401 {
			refused++
		}
	}
	s.record.note("%d requests were sent later than %v after the acknowledgement: %d ran, %d were refused with 401", late, revoke, ran, refused)
	if late < 200 {
		return false, errTooFew
	}
	keyTaken := trouble
	return keyTaken && ran > 0, nil
}
