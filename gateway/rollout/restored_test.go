package rollout_test

import (
	"testing"
	"time"

	"sardinefront.dev/gateway/rollout"
)

// Guards against an order that starts anew, and whose outcome is lost, because it is written again
// after the store has come back from an older copy, and against a different one that does not start.
func TestRewrittenOrderGoesOn(t *testing.T) {
	now := time.Unix(9000, 0)
	o := rollout.Order{Service: "llm", Version: "v2", Duration: time.Minute, Revision: 70}
	tracker := rollout.New("h", rollout.Limits{MaxShare: 0.1})
	tracker.Start(o, 0, now)
	tracker.SetOutcome("llm", 70, rollout.Done, "no fault detected")
	targets := func(string, string) (int, int) { return 2, 1 }
	if d := tracker.Decide(true, targets, now); len(d) != 0 {
		t.Errorf("decisions %+v while the store holds the outcome", d)
	}
	tracker.StoreRestored()
	o.Revision = 12
	if at, ok := tracker.StartedAt(o); !ok || !at.Equal(now) {
		t.Errorf("start %s, known: %t", at, ok)
	}
	tracker.Start(o, 0, now.Add(time.Second))
	d := tracker.Decide(false, targets, now.Add(time.Second))
	if len(d) != 1 || d[0].State != rollout.Done || d[0].Order.Revision != 12 || !d[0].Repeated {
		t.Errorf("decisions %+v, want the outcome again", d)
	}
	tracker.StoreRestored()
	next := rollout.Order{Service: "llm", Version: "v3", Duration: time.Minute, Revision: 9}
	tracker.Start(next, 0, now)
	if !tracker.IsRunning(next) {
		t.Error("a new order of a lower revision does not start")
	}
}
