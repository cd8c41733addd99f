package health

import "testing"

// Guards against a sound target that stays ejected after it has gone on, and against readmitting
// one that was ejected for failures.
func TestResponsiveTargetStartsItsTrial(t *testing.T) {
	var h Tracker
	for range timeoutThreshold {
		h.Observe(Timeout, start)
	}
	if h.State() != Ejected {
		t.Fatal("not ejected for silence")
	}
	if !h.ObserveResponsive(start) || h.State() != Trial {
		t.Error("no trial after the target went on")
	}
	h = Tracker{}
	for range failureThreshold {
		h.Observe(Failure, start)
	}
	if h.ObserveResponsive(start) || h.State() != Ejected {
		t.Error("an ejection for failures has ended early")
	}
}
