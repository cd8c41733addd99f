package invariant

import (
	"fmt"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

// recorded reports whether the request must be on record before a dispatch, so
// that repeats with its id count as the same request.
func recorded(submitted []Event) bool {
	for _, e := range submitted {
		if e.Effect == request.NonIdempotent || e.Tier == request.Patient {
			return true
		}
	}
	return false
}

func nonIdempotent(submitted []Event) bool {
	for _, e := range submitted {
		if e.Effect == request.NonIdempotent {
			return true
		}
	}
	return false
}

// checkDispatchedOnce allows one dispatch for each request taken in. A recorded
// request is taken in once, however often it is repeated.
func checkDispatchedOnce(h *history) []Violation {
	return h.each(func(events []Event) []Violation {
		submitted, runs := of(events, Submitted), of(events, Dispatched)
		allowed := len(submitted)
		if recorded(submitted) {
			allowed = 1
		}
		if len(runs) <= allowed {
			return nil
		}
		return []Violation{{
			Message: fmt.Sprintf("%s was dispatched %d times, %d allowed", events[0].Request, len(runs), allowed),
			Events:  of(events, Submitted, Dispatched),
		}}
	})
}

// checkRunsOnce looks at non-idempotent requests only.
func checkRunsOnce(h *history) []Violation {
	return h.each(func(events []Event) []Violation {
		runs := of(events, Dispatched)
		if len(runs) < 2 || !nonIdempotent(of(events, Submitted)) {
			return nil
		}
		return []Violation{{
			Message: fmt.Sprintf("%s ran %d times", events[0].Request, len(runs)),
			Events:  of(events, Submitted, Dispatched),
		}}
	})
}

// checkNotRun counts: each submission that was refused as not run leaves one
// fewer that may have been dispatched. A recorded outcome that says not-run
// speaks for the request as a whole.
func checkNotRun(h *history) []Violation {
	return h.each(func(events []Event) []Violation {
		runs, submitted, notRun := 0, 0, 0
		never := false
		for _, e := range events {
			switch {
			case e.Kind == Submitted:
				submitted++
			case e.Kind == Dispatched:
				runs++
			case e.Kind == Refused && e.Ran == refusal.NotRun:
				notRun++
			case e.Kind == Outcome && e.State != "answered" && e.Ran == refusal.NotRun:
				never = true
			}
		}
		if notRun == 0 && !never || runs == 0 {
			return nil
		}
		if !never && runs+notRun <= submitted {
			return nil
		}
		return []Violation{{
			Message: fmt.Sprintf("%s: %d submissions, %d refused as not run, %d dispatches", events[0].Request, submitted, notRun, runs),
			Events:  of(events, Submitted, Dispatched, Refused, Outcome),
		}}
	})
}

// checkOwnAnswer compares the digest of each answer with the expected one.
func checkOwnAnswer(h *history) []Violation {
	return h.each(func(events []Event) []Violation {
		want := make(map[uint64]bool) // a repeat may differ in its body
		for _, e := range of(events, Submitted) {
			if e.Digest != 0 {
				want[e.Digest] = true
			}
		}
		var found []Violation
		for _, e := range events {
			answer := e.Kind == Answered || e.Kind == Outcome && e.State == "answered"
			if answer && len(want) > 0 && !want[e.Digest] {
				found = append(found, Violation{
					Message: fmt.Sprintf("%s: the answer has digest %x, which is not the expected one", e.Request, e.Digest),
					Events:  []Event{events[0], e},
				})
			}
		}
		return found
	})
}

// checkOutcome requires an outcome for each accepted request by the end of the
// history. An outcome may change from unknown to answered only.
func checkOutcome(h *history) []Violation {
	return h.each(func(events []Event) []Violation {
		if len(of(events, Accepted)) == 0 {
			return nil
		}
		var found []Violation
		state := ""
		accepted := false
		for _, e := range events {
			switch e.Kind {
			case Accepted:
				accepted = true
			case Lost:
				if accepted {
					found = append(found, Violation{Message: e.Request + " is no longer on record", Events: events})
				}
			case Answered:
				state = "answered"
			case Outcome:
				if state != "" && state != e.State && (state != "unknown" || e.State != "answered") {
					found = append(found, Violation{
						Message: fmt.Sprintf("the outcome of %s changed from %s to %s", e.Request, state, e.State),
						Events:  of(events, Accepted, Outcome, Answered),
					})
				}
				state = e.State
			}
		}
		if state == "" {
			found = append(found, Violation{Message: events[0].Request + " was accepted and has no outcome", Events: events})
		}
		return found
	})
}
