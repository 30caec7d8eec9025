package chiveretry

import "testing"

func TestBudgetBoundsRetries(t *testing.T) {
	var b Budget
	const requests = 10_000
	retries := 0
	for range requests {
		b.AddRequest()
		for b.AllowRetry() {
			retries++
		}
	}
	if limit := requests*retryRatio + burst; float64(retries) > limit {
		t.Fatalf("%d retries for %d requests, want at most %g", retries, requests, limit)
	}
}

func TestZeroBudgetIsFull(t *testing.T) {
	var b Budget
	n := 0
	for b.AllowRetry() {
		n++
	}
	if n != burst {
		t.Fatalf("zero budget allows %d retries, want %g", n, burst)
	}
}
