package ingress

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/sched/reserve"
)

// Guards against a deadline, a stop or a caller that ends an attempt and counts as a failure of a
// target, or of its version in a rollout, that has made progress until then.
func TestOutcomeOfEndedAttempts(t *testing.T) {
	const longPause = 3 * time.Second
	route := &routing.Route{Kind: routing.Stream, MaxEventGap: 200 * time.Millisecond}
	for name, c := range map[string]struct {
		begun     bool
		unbounded bool
		silence   time.Duration
		reason    refusal.Reason
		want      reserve.Outcome
	}{
		"events until the deadline":          {true, false, 100 * time.Millisecond, refusal.DeadlineAfterSend, reserve.Abandoned},
		"stalled until the deadline":         {true, false, longPause, refusal.DeadlineAfterSend, reserve.TimedOut},
		"bytes without end":                  {true, true, 100 * time.Millisecond, refusal.DeadlineAfterSend, reserve.TimedOut},
		"no byte until the deadline":         {false, false, longPause, refusal.DeadlineAfterSend, reserve.DeadlineReached},
		"no byte until the stop":             {false, false, longPause, refusal.StoppedAfterSend, reserve.Abandoned},
		"no byte before the caller has left": {false, false, longPause, refusal.CallerDisconnected, reserve.Abandoned},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			x := &exchange{route: route, r: httptest.NewRequest("POST", "/", nil), progress: progress{lastAt: now.Add(-c.silence), unbounded: c.unbounded}}
			if c.begun {
				x.progress.firstAt = x.progress.lastAt
			}
			if got := x.endOutcome(c.reason); got != c.want {
				t.Errorf("outcome %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against the reason of a later end: the caller often leaves just after the deadline.
func TestFirstEndGivesTheReason(t *testing.T) {
	caller, leave := context.WithCancel(t.Context())
	deadline, cancel := context.WithDeadline(caller, time.Now().Add(-time.Second))
	defer cancel()
	ctx, end := context.WithCancelCause(deadline)
	leave()
	end(errGraceEnded)
	if got := endReason(ctx); got != refusal.DeadlineAfterSend {
		t.Errorf("reason %s", got)
	}
}
