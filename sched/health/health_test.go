package health

import (
	"testing"
	"time"
)

var start = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a failing target that stays in use and against one that gets
// full traffic the moment it returns.
func TestEjectionTrialAndRamp(t *testing.T) {
	var h Tracker
	now := start
	for range 2 {
		if why := h.Observe(Failure, now); why != "" {
			t.Fatalf("ejected early: %s", why)
		}
	}
	if why := h.Observe(Failure, now); why == "" || h.Weight(now) != 0 {
		t.Fatal("three failures in a row do not eject")
	}
	if h.Advance(now.Add(baseEjectionTime - 1)) {
		t.Error("trial before the ejection ended")
	}
	now = now.Add(baseEjectionTime)
	if !h.Advance(now) || h.State() != Trial {
		t.Fatal("no trial after the ejection")
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

// Guards against a target that fails its trial and returns just as soon.
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

// Guards against ejecting for a mixed but mostly good record, and against
// missing one where every other answer fails.
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

// Guards against a silent target that costs many callers their timeout, and
// against a slow one that is ejected for a moment of slowness.
func TestTimeoutsAndSlowness(t *testing.T) {
	var h Tracker
	h.Observe(Timeout, start)
	if h.Observe(Timeout, start) == "" {
		t.Error("two silences do not eject")
	}
	var s Tracker
	for ms := 0; ms < 3000; ms += 50 {
		factor := 10.0
		if ms == 1000 {
			factor = 1
		}
		why := s.RecordSlowdown(factor, start.Add(time.Duration(ms)*time.Millisecond))
		if (why != "") != (ms >= 3050) && ms < 3050 {
			t.Fatalf("ejected after %d ms, before 2 s of slowness in a row", ms)
		}
	}
	if s.RecordSlowdown(10, start.Add(3100*time.Millisecond)) == "" {
		t.Error("2 s of slowness do not eject")
	}
}

// Guards against a host that ejects everything because its own network fails.
func TestPanicMode(t *testing.T) {
	if PanicMode(1, 2) || PanicMode(150, 300) || !PanicMode(151, 300) || !PanicMode(2, 2) || !PanicMode(1, 1) || PanicMode(0, 0) {
		t.Error("panic mode starts above half of at least two targets")
	}
}

// Guards against a target that is ejected for requests that fail everywhere, and
// against one that answers nothing but errors and stays.
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
			t.Fatalf("ejected after %d answers: %s", i, why)
		}
		if why := always.Observe(ErrorResponse, now); why != "" && ejected == "" {
			ejected = why
		}
	}
	if ejected == "" {
		t.Error("a target that only errs stays")
	}
	if sometimes.FailureScore(now) == 0 || sometimes.FailureScore(now.Add(time.Minute)) != 0 {
		t.Error("errors should make a target doubted for a while")
	}
}
