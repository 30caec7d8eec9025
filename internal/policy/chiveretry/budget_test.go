package chiveretry

import "testing"

func TestRetriesStayASmallPartOfRequests(t *testing.T) {
	var b Budget
	const requests = 10_000
	retries := 0
	for range requests {
		b.AddRequest()
		for b.AllowRetry() {
			retries++
		}
	}
	if most := requests*ratio + burst; float64(retries) > most {
		t.Fatalf("%d retries of %d requests, more than %g", retries, requests, most)
	}
}

func TestZeroBudgetIsFull(t *testing.T) {
	var b Budget
	n := 0
	for b.AllowRetry() {
		n++
	}
	if n != burst {
		t.Fatalf("a new budget holds %d retries, not %g", n, burst)
	}
}
