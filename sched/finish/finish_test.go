package finish_test

import (
	"math"
	"testing"
	"time"

	"sardinefront.dev/sched/finish"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// Guards against an order of targets that ignores what is asked of them: a long prompt finishes
// first at the fast target although work there takes longer at the moment, any request does at an
// idle target among equals.
func TestOrderOfUnevenTargets(t *testing.T) {
	long := finish.Request{Prefill: 200 * ms, Events: 10}
	fast := finish.Snapshot{Gap: 10 * ms, FastGap: 10 * ms, Slots: 4}
	slow := finish.Snapshot{Gap: 40 * ms, FastGap: 10 * ms, Slots: 4}
	fast.Work.Report(2, start)
	f, s := finish.EstimateStream(&fast, long, start), finish.EstimateStream(&slow, long, start)
	if f.FirstEvent >= s.FirstEvent || f.Finish >= s.Finish || s.FirstEvent != 840*ms || s.Finish != 1200*ms {
		t.Errorf("at the fast target %v, at the slow one %v", f, s)
	}
	idle, busy := slow, slow
	busy.Load.Report(4, 1, 4, start)
	i, b := finish.EstimateStream(&idle, long, start), finish.EstimateStream(&busy, long, start)
	if i.FirstEvent >= b.FirstEvent || finish.EstimateResponse(&idle, 20*ms, 0, start) >= finish.EstimateResponse(&busy, 20*ms, 0, start) {
		t.Errorf("at the idle target %v, at the busy one %v", i, b)
	}
}

// Guards against reports that are wrong or old and yet keep requests away from a target, or send
// all of them to it.
func TestWildOrStaleWorkTimeDoesNoHarm(t *testing.T) {
	for _, value := range []float64{0, -1, 1e-9, 1e9, math.Inf(1), math.NaN()} {
		var w finish.WorkTime
		for i := range 100 {
			w.Report(value, start.Add(time.Duration(i)*10*ms))
		}
		last := start.Add(990 * ms)
		if f := w.Factor(last); !(f >= 0.8 && f <= 1.25) {
			t.Errorf("reports of %v: factor %v", value, f)
		}
		if f := w.Factor(last.Add(300 * ms)); f != 1 {
			t.Errorf("reports of %v: factor %v after 300 ms", value, f)
		}
	}
}

// Guards against one report among many that decides over a target.
func TestOneWorkTimeAmongManyHasLittleWeight(t *testing.T) {
	var w finish.WorkTime
	for i := range 100 {
		w.Report(1, start.Add(time.Duration(i)*10*ms))
	}
	w.Report(2, start.Add(1000*ms))
	if f := w.Factor(start.Add(1000 * ms)); f <= 1 || f > 1.1 {
		t.Errorf("factor %v", f)
	}
}

// Guards against a burst of one host that follows one report to the same target.
func TestOwnSendsCountUntilTheNextReport(t *testing.T) {
	var l finish.Load
	l.Report(1, 0, 4, start)
	for range 3 {
		l.RecordSend()
	}
	l.RecordEnd()
	if got := l.PerSlot(4, start); got != 0.75 {
		t.Errorf("load %v after three sends and an end", got)
	}
	l.Report(1, 0, 4, start)
	if got := l.PerSlot(4, start); got != 0.25 {
		t.Errorf("load %v after the next report", got)
	}
}

// Guards against an estimate that rests on the largest response that a caller allows.
func TestExpectedEvents(t *testing.T) {
	for _, c := range []struct{ maxTokens, eventTokens int }{{0, 4}, {100, 4}, {100_000, 4}, {1, 4}, {30, 0}} {
		if got := finish.ExpectedEvents(c.maxTokens, c.eventTokens); got < 1 || got > 200 {
			t.Errorf("%+v: %v events", c, got)
		}
	}
	if got := finish.ExpectedEvents(100, 4); got != 25 {
		t.Errorf("%v events", got)
	}
}
