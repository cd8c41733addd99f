package retry_test

import (
	"testing"
	"time"

	"sardinefront.dev/gateway/retry"
)

// Guards against repeats of all hosts together that exceed the budget in some
// window while every request fails, and against a budget that is never usable.
func TestRepeatsOfAllHostsStayWithinTheBudget(t *testing.T) {
	limits := retry.Limits{Ratio: 0.2, FixedRetries: 54, Window: 10 * time.Second}
	const hosts = 7
	var all []*retry.Budget
	for range hosts {
		b := retry.New(limits)
		b.SetHosts(hosts)
		all = append(all, b)
	}
	now := time.Unix(1000, 0)
	var repeats, requests []time.Time
	for range 4000 {
		now = now.Add(10 * time.Millisecond)
		for _, b := range all {
			b.RecordRequest("s", now)
			requests = append(requests, now)
			for b.AllowRetry("s", now) {
				repeats = append(repeats, now)
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
	for i := 0; i < len(repeats); i += 50 {
		from := repeats[i]
		if got, most := within(repeats, from), limits.Ratio*within(requests, from)+limits.FixedRetries; got > most {
			t.Fatalf("%v repeats in a window, at most %v", got, most)
		}
	}
	if len(repeats) < 500 {
		t.Errorf("only %d repeats were allowed", len(repeats))
	}
}

// Guards against a spent budget that does not come back.
func TestBudgetComesBackAfterAWindow(t *testing.T) {
	b := retry.New(retry.Limits{Ratio: 0, FixedRetries: 10, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	for b.AllowRetry("s", now) {
	}
	if b.AllowRetry("s", now.Add(5*time.Second)) {
		t.Error("a spent budget is usable within its window")
	}
	if !b.AllowRetry("s", now.Add(11*time.Second)) {
		t.Error("a spent budget is not usable after its window")
	}
}
