package share

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

var start = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against allowances whose sum exceeds the limits, which would overload every target at
// once, or leaves a part of the limits unused.
func TestAllowancesAddUp(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	const hosts, targets, limit = 40, 300, 10.0
	sum := 0
	for range hosts * targets {
		sum += Allowance(limit, 1.0/hosts, rnd.Float64())
	}
	if part := float64(sum) / (targets * limit); part < 0.95 || part > 1.05 {
		t.Errorf("the sum of the allowances is %.2f of the limits", part)
	}
}

// Guards against herding: a report of an idle target must lose its weight before all hosts have
// sent requests there.
func TestOldReportReturnsToTheMean(t *testing.T) {
	var e Estimator
	e.RecordReport(Work{}, Work{}, start)
	mean := Work{Requests: 10}
	last := -1.0
	for _, age := range []time.Duration{0, 1, 2, 4, 8, 16} {
		got := e.EstimateOthers(mean, 40, start.Add(age*time.Second)).Requests
		if got < last {
			t.Errorf("estimate falls to %.1f after %d s", got, age)
		}
		last = got
	}
	if first := e.EstimateOthers(mean, 40, start).Requests; first > 2 || last < 9 {
		t.Errorf("fresh %.1f, old %.1f; want near 0 and near 10", first, last)
	}
}

// Guards against counting this host's own work as that of others: an older report includes the
// host's work at that time, not its current work.
func TestReportFromThePast(t *testing.T) {
	var e Estimator
	for ms := 0; ms <= 2000; ms += 50 {
		own := int64(5)
		if ms >= 1000 {
			own = 1
		}
		e.RecordOwn(own, start.Add(time.Duration(ms)*time.Millisecond))
	}
	e.RecordReport(Work{Requests: 9}, Work{Requests: 1}, start.Add(500*time.Millisecond))
	if got := e.ReportedOthers(); got != 4 {
		t.Errorf("others had %.0f requests, want 4", got)
	}
	if e.RecordReport(Work{Requests: 1}, Work{}, start) {
		t.Error("an older report replaced a newer one")
	}
}

// Guards against taking the work of a sample of peers for that of the whole zone.
func TestPeersAreASample(t *testing.T) {
	var e Estimator
	for range 13 {
		e.RecordPeer(Work{Requests: 0.5}, start)
	}
	// Each of 39 peers has half a request here: 19.5 in total.
	got := e.EstimateOthers(Work{Requests: 19.5}, 40, start).Requests
	if math.Abs(got-19.5) > 0.1 {
		t.Errorf("estimate %.1f, want 19.5", got)
	}
}
