package retry_test

import (
	"testing"
	"time"

	"sardinefront.dev/gateway/retry"
)

// Guards against retries that together exceed the budget in some window while every request fails
// on all hosts, and against a budget that never allows a retry.
func TestRetriesOfAllHostsStayWithinTheBudget(t *testing.T) {
	limits := retry.Limits{Ratio: 0.2, FixedRetries: 54, Window: 10 * time.Second}
	const hosts = 7
	var all []*retry.Budget
	for range hosts {
		b := retry.New(limits)
		b.SetHosts(hosts)
		all = append(all, b)
	}
	now := time.Unix(1000, 0)
	var retries, requests []time.Time
	for range 4000 {
		now = now.Add(10 * time.Millisecond)
		for _, b := range all {
			b.RecordRequest("s", now)
			requests = append(requests, now)
			for b.AllowRetry("s", now) {
				retries = append(retries, now)
			}
		}
	}
	within := func(list []time.Time, from time.Time) (n float64) {
		for _, at := range list {
			if !at.Before(from) && at.Before(from.Add(limits.Window)) {
				n++
			}
		}
		return n
	}
	for i := 0; i < len(retries); i += 50 {
		from := retries[i]
		if got, limit := within(retries, from), limits.Ratio*within(requests, from)+limits.FixedRetries; got > limit {
			t.Fatalf("%v retries in a window, want at most %v", got, limit)
		}
	}
	if len(retries) < 500 {
		t.Errorf("%d retries allowed, want at least 500", len(retries))
	}
}

// Guards against an exhausted budget that does not recover.
func TestBudgetRecoversAfterAWindow(t *testing.T) {
	b := retry.New(retry.Limits{Ratio: 0, FixedRetries: 10, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	for b.AllowRetry("s", now) {
	}
	if b.AllowRetry("s", now.Add(5*time.Second)) {
		t.Error("an exhausted budget allowed a retry within its window")
	}
	if !b.AllowRetry("s", now.Add(11*time.Second)) {
		t.Error("an exhausted budget allowed no retry after its window")
	}
}
