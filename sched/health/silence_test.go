package health

import (
	"testing"
	"time"
)

// Guards against a sound target that is ejected for long because several of its requests pause and
// go on: as having failed its trial, for failures in a row, or by the rate of its failures.
func TestPausesOfASoundTargetDoNotAddUp(t *testing.T) {
	var h Tracker
	now := start
	for range 20 {
		h.Observe(Timeout, now)
		h.ObserveResponsive(now)
		now = now.Add(time.Second)
	}
	if h.State() != Healthy {
		t.Error("single pauses have ejected the target")
	}
	for range timeoutThreshold {
		h.Observe(Timeout, now)
	}
	for range 5 {
		if h.State() != Ejected {
			t.Fatal("not ejected while its requests are silent")
		}
		if !h.ObserveResponsive(now) || h.State() != Trial {
			t.Fatal("no trial after the target went on")
		}
		h.Observe(Timeout, now)
	}
	h.ObserveResponsive(now)
	if h.Observe(Failure, now); h.State() != Ejected {
		t.Fatal("a failure in the trial does not eject the target")
	}
	if h.ObserveResponsive(now) {
		t.Error("an ejection for a failed trial has ended early")
	}
	if !h.Advance(now.Add(baseEjectionTime)) {
		t.Error("earlier ejections that a response has ended lengthen the next one")
	}
}
