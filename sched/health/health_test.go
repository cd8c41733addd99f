package health

import (
	"testing"
	"time"
)

var start = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a failing target that is not ejected, and against one that gets full traffic
// right after its trial.
func TestEjectionTrialAndRamp(t *testing.T) {
	var h Tracker
	now := start
	for range 2 {
		if why := h.Observe(Failure, now); why != "" {
			t.Fatalf("ejected early: %s", why)
		}
	}
	if why := h.Observe(Failure, now); why == "" || h.Weight(now) != 0 {
		t.Fatal("not ejected after three failures in a row")
	}
	if h.Advance(now.Add(baseEjectionTime - 1)) {
		t.Error("trial started before the ejection ended")
	}
	now = now.Add(baseEjectionTime)
	if !h.Advance(now) || h.State() != Trial {
		t.Fatal("no trial after the ejection ended")
	}
	for range trialSuccessThreshold {
		h.Observe(Success, now)
	}
	if w := h.Weight(now); h.State() != Healthy || w > 0.2 {
		t.Errorf("state %d with weight %.2f after the trial", h.State(), w)
	}
	if w := h.Weight(now.Add(rampDuration)); w != 1 {
		t.Errorf("weight %.2f after the ramp", w)
	}
}

// Guards against a target that fails its trial and is readmitted after the same time as before.
func TestEjectionsGrow(t *testing.T) {
	var h Tracker
	now := start
	for range failureThreshold {
		h.Observe(Failure, now)
	}
	for k := range 8 {
		d := h.ejectedUntil.Sub(now)
		if want := min(baseEjectionTime<<k, maxEjectionTime); d != want {
			t.Errorf("ejection %d lasts %s, want %s", k, d, want)
		}
		now = h.ejectedUntil
		h.Advance(now)
		h.Observe(Failure, now)
	}
}

// Guards against ejecting a target that fails one request in five, and against keeping one that
// fails every other request.
func TestFailureRate(t *testing.T) {
	for every, want := range map[int]bool{2: true, 5: false} {
		var h Tracker
		ejected := false
		for k := range 100 {
			e := Success
			if k%every == 0 {
				e = Failure
			}
			ejected = ejected || h.Observe(e, start) != ""
		}
		if ejected != want {
			t.Errorf("one failure in %d: ejected %v", every, ejected)
		}
	}
}

// Guards against an unresponsive target that costs many callers their timeout, and against
// ejecting a slow one for less than 2 s of continuous slowness.
func TestTimeoutsAndSlowness(t *testing.T) {
	var h Tracker
	h.Observe(Timeout, start)
	if h.Observe(Timeout, start) == "" {
		t.Error("not ejected after two timeouts in a row")
	}
	var s Tracker
	for ms := 0; ms < 3000; ms += 50 {
		factor := 10.0
		if ms == 1000 {
			factor = 1
		}
		why := s.RecordSlowdown(factor, start.Add(time.Duration(ms)*time.Millisecond))
		if (why != "") != (ms >= 3050) && ms < 3050 {
			t.Fatalf("ejected after %d ms, before 2 s of continuous slowness", ms)
		}
	}
	if s.RecordSlowdown(10, start.Add(3100*time.Millisecond)) == "" {
		t.Error("not ejected after 2 s of continuous slowness")
	}
}

// Guards against a host that stops using all targets because its own network fails.
func TestPanicMode(t *testing.T) {
	if PanicMode(1, 2) || PanicMode(150, 300) || !PanicMode(151, 300) || !PanicMode(2, 2) || !PanicMode(1, 1) || PanicMode(0, 0) {
		t.Error("panic mode must start above half of the targets")
	}
}

// Guards against ejecting a target for requests that fail at any target, and against keeping one
// that returns only errors.
func TestErrorResponsesEjectOnlyAboveErrorRate(t *testing.T) {
	var sometimes, always Tracker
	now := time.Unix(1000, 0)
	ejected := ""
	for i := range 100 {
		e := Success
		if i%5 < 3 && i%2 == 0 { // up to three in a row, under half
			e = ErrorResponse
		}
		if why := sometimes.Observe(e, now); why != "" {
			t.Fatalf("ejected after %d responses: %s", i, why)
		}
		if why := always.Observe(ErrorResponse, now); why != "" && ejected == "" {
			ejected = why
		}
	}
	if ejected == "" {
		t.Error("a target that returns only errors is not ejected")
	}
	if sometimes.FailureScore(now) == 0 || sometimes.FailureScore(now.Add(time.Minute)) != 0 {
		t.Error("the failure score must be positive after errors and 0 a minute later")
	}
}
