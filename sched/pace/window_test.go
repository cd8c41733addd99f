package pace

import (
	"testing"
	"time"
)

const usual = 50 * time.Millisecond

// Load pattern: a started target among busy ones. Guards against a target that is flooded at once, and
// against a limit that stays although the target responds in time.
func TestStartedTargetAmongBusyOnes(t *testing.T) {
	var w Window
	if !w.Allows(100) {
		t.Fatal("a target without a pace is limited")
	}
	w.Start()
	const slots = 4
	for inflight := 1; inflight < slots; inflight++ {
		if !w.Allows(inflight-1) || w.Allows(inflight) {
			t.Errorf("after %d responses in time, the limit is not %d", inflight-1, inflight)
		}
		w.RecordFirstByte(usual, usual, slots)
	}
	if w.Active() {
		t.Error("the pace has not ended at the target's slots")
	}
}

// Load pattern: a recovered target that is still slow. Guards against a window that grows although
// responses are late, refused or fail, and against one that closes for good.
func TestRecoveredTargetThatIsStillSlow(t *testing.T) {
	var w Window
	w.Start()
	for range 10 {
		w.RecordFirstByte(10*usual, usual, 8)
	}
	if w.Allows(1) || !w.Allows(0) {
		t.Error("a slow target must get exactly one request at a time")
	}
	for range 3 {
		w.RecordFirstByte(usual, usual, 8)
	}
	w.Shrink()
	if !w.Allows(1) || w.Allows(2) {
		t.Error("a failure must halve the window")
	}
}

// Load pattern: many hosts, one started target. Guards against a paced target that all hosts leave
// idle, and against hosts that all probe it as often as a single one may.
func TestPacedTargetIsNotLeftIdle(t *testing.T) {
	var w Window
	if w.Idle(1, start) {
		t.Error("a target without a pace needs no probe")
	}
	w.Start()
	w.RecordGrant(start)
	if w.Idle(72, start.Add(time.Second)) || !w.Idle(72, start.Add(72*probeInterval)) || !w.Idle(2, start.Add(2*probeInterval)) {
		t.Error("the interval between probes must grow with the number of hosts")
	}
}
