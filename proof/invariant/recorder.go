package invariant

import (
	"slices"
	"sync"
	"time"
)

// Recorder collects events. Its methods are safe for concurrent use.
type Recorder struct {
	limits Limits
	now    func() time.Time

	mu     sync.Mutex
	events []Event
}

// NewRecorder returns an empty recorder. now returns the time of events that are
// recorded without one; nil means time.Now.
func NewRecorder(l Limits, now func() time.Time) *Recorder {
	if now == nil {
		now = time.Now
	}
	return &Recorder{limits: l, now: now}
}

// Record adds an event. If its time is zero, it is set to the current time.
func (r *Recorder) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At.IsZero() {
		e.At = r.now()
	}
	r.events = append(r.events, e)
}

// SetDecidedAt sets when a host decided on a dispatch that has been recorded. A
// dispatch that is not on record is ignored.
func (r *Recorder) SetDecidedAt(dispatch Event, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, e := range r.events {
		if e.Kind == Dispatched && e.Request == dispatch.Request && e.Target == dispatch.Target && e.At.Equal(dispatch.At) {
			r.events[i].DecidedAt = at
		}
	}
}

// Events returns a copy of the events sorted by time; events of the same time keep
// the order in which they were recorded.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	events := slices.Clone(r.events)
	r.mu.Unlock()
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	return events
}

// Check returns the violations of the given invariants, or of all if none is
// given. I10 and the deadline of I9 are evaluated for the events recorded up to
// the call.
func (r *Recorder) Check(ids ...ID) []Violation {
	return Check(r.Events(), r.limits, ids...)
}

// history is a sequence of events sorted by time, with an index by request.
type history struct {
	limits Limits
	events []Event
	// requestIDs holds the requests in order of their first event.
	requestIDs []string
	byRequest  map[string][]Event
}

func newHistory(events []Event, l Limits) *history {
	h := &history{limits: l, events: events, byRequest: make(map[string][]Event)}
	for _, e := range events {
		if e.Request == "" {
			continue
		}
		if _, ok := h.byRequest[e.Request]; !ok {
			h.requestIDs = append(h.requestIDs, e.Request)
		}
		h.byRequest[e.Request] = append(h.byRequest[e.Request], e)
	}
	return h
}

// endTime returns the time of the last event, zero if there is none.
func (h *history) endTime() time.Time {
	if len(h.events) == 0 {
		return time.Time{}
	}
	return h.events[len(h.events)-1].At
}

// eachRequest calls f with the events of each request and joins the results.
func (h *history) eachRequest(f func(events []Event) []Violation) []Violation {
	var found []Violation
	for _, id := range h.requestIDs {
		found = append(found, f(h.byRequest[id])...)
	}
	return found
}

// filterKinds returns the events of the given kinds.
func filterKinds(events []Event, kinds ...Kind) []Event {
	var out []Event
	for _, e := range events {
		if slices.Contains(kinds, e.Kind) {
			out = append(out, e)
		}
	}
	return out
}
