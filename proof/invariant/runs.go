package invariant

import (
	"fmt"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

// mustBeRecorded reports whether the request must be recorded in the journal
// before it is dispatched. Repeated submissions with its id then count as the same
// request.
func mustBeRecorded(submitted []Event) bool {
	for _, e := range submitted {
		if e.Effect == request.NonIdempotent || e.Tier == request.Patient {
			return true
		}
	}
	return false
}

func isNonIdempotent(submitted []Event) bool {
	for _, e := range submitted {
		if e.Effect == request.NonIdempotent {
			return true
		}
	}
	return false
}

// checkDispatchedOnce allows one dispatch for each submission, or one in total for
// a recorded request, however often it is submitted.
func checkDispatchedOnce(h *history) []Violation {
	return h.eachRequest(func(events []Event) []Violation {
		submitted, dispatches := filterKinds(events, Submitted), filterKinds(events, Dispatched)
		allowed := len(submitted)
		if mustBeRecorded(submitted) {
			allowed = 1
		}
		if len(dispatches) <= allowed {
			return nil
		}
		return []Violation{{
			Message: fmt.Sprintf("%s was dispatched %d times, %d allowed", events[0].Request, len(dispatches), allowed),
			Events:  filterKinds(events, Submitted, Dispatched),
		}}
	})
}

// checkRunsOnce allows one dispatch in total for each non-idempotent request.
func checkRunsOnce(h *history) []Violation {
	return h.eachRequest(func(events []Event) []Violation {
		dispatches := filterKinds(events, Dispatched)
		if len(dispatches) < 2 || !isNonIdempotent(filterKinds(events, Submitted)) {
			return nil
		}
		return []Violation{{
			Message: fmt.Sprintf("%s ran %d times", events[0].Request, len(dispatches)),
			Events:  filterKinds(events, Submitted, Dispatched),
		}}
	})
}

// checkNotRun allows no more dispatches than there are submissions that were not
// refused as not run. A recorded outcome that says not-run covers all submissions
// of the request, so it allows none.
func checkNotRun(h *history) []Violation {
	return h.eachRequest(func(events []Event) []Violation {
		dispatches, submitted, notRun := 0, 0, 0
		outcomeNotRun := false
		for _, e := range events {
			switch {
			case e.Kind == Submitted:
				submitted++
			case e.Kind == Dispatched:
				dispatches++
			case e.Kind == Refused && e.RunState == refusal.NotRun:
				notRun++
			case e.Kind == OutcomeFetched && e.OutcomeState != "answered" && e.RunState == refusal.NotRun:
				outcomeNotRun = true
			}
		}
		if notRun == 0 && !outcomeNotRun || dispatches == 0 {
			return nil
		}
		if !outcomeNotRun && dispatches+notRun <= submitted {
			return nil
		}
		return []Violation{{
			Message: fmt.Sprintf("%s: %d submissions, %d refused as not run, %d dispatches", events[0].Request, submitted, notRun, dispatches),
			Events:  filterKinds(events, Submitted, Dispatched, Refused, OutcomeFetched),
		}}
	})
}

// checkAnswerDigests requires each answer to have the digest of an expected answer.
func checkAnswerDigests(h *history) []Violation {
	return h.eachRequest(func(events []Event) []Violation {
		expected := make(map[uint64]bool) // repeated submissions may differ in their bodies
		for _, e := range filterKinds(events, Submitted) {
			if e.Digest != 0 {
				expected[e.Digest] = true
			}
		}
		var found []Violation
		for _, e := range events {
			isAnswer := e.Kind == Answered || e.Kind == OutcomeFetched && e.OutcomeState == "answered"
			if isAnswer && len(expected) > 0 && !expected[e.Digest] {
				found = append(found, Violation{
					Message: fmt.Sprintf("%s: the answer has digest %x, which is not the expected one", e.Request, e.Digest),
					Events:  []Event{events[0], e},
				})
			}
		}
		return found
	})
}

// checkOutcomes requires an outcome for each accepted request by the end of the
// history. Once set, an outcome may change only from unknown to answered.
func checkOutcomes(h *history) []Violation {
	return h.eachRequest(func(events []Event) []Violation {
		if len(filterKinds(events, Accepted)) == 0 {
			return nil
		}
		var found []Violation
		state := ""
		accepted := false
		for _, e := range events {
			switch e.Kind {
			case Accepted:
				accepted = true
			case RequestLost:
				if accepted {
					found = append(found, Violation{Message: e.Request + " is no longer on record", Events: events})
				}
			case Answered:
				state = "answered"
			case OutcomeFetched:
				if state != "" && state != e.OutcomeState && (state != "unknown" || e.OutcomeState != "answered") {
					found = append(found, Violation{
						Message: fmt.Sprintf("the outcome of %s changed from %s to %s", e.Request, state, e.OutcomeState),
						Events:  filterKinds(events, Accepted, OutcomeFetched, Answered),
					})
				}
				state = e.OutcomeState
			}
		}
		if state == "" {
			found = append(found, Violation{Message: events[0].Request + " was accepted and has no outcome", Events: events})
		}
		return found
	})
}
