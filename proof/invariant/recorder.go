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

// NewRecorder returns an empty recorder. now stamps events without a time; nil
// means time.Now.
func NewRecorder(l Limits, now func() time.Time) *Recorder {
	if now == nil {
		now = time.Now
	}
	return &Recorder{limits: l, now: now}
}

// Record adds an event.
func (r *Recorder) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At.IsZero() {
		e.At = r.now()
	}
	r.events = append(r.events, e)
}

// Decide notes when a host decided on a recorded dispatch.
func (r *Recorder) SetDecidedAt(dispatch Event, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, e := range r.events {
		if e.Kind == Dispatched && e.Request == dispatch.Request && e.Target == dispatch.Target && e.At.Equal(dispatch.At) {
			r.events[i].DecidedAt = at
		}
	}
}

// Events returns a copy of the events in order of time; events of the same time
// keep the order in which they were recorded.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	events := slices.Clone(r.events)
	r.mu.Unlock()
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	return events
}

// Check returns the violations of the given invariants, or of all if none is
// given. I10 and the deadline of I9 concern the state at the time of the call.
func (r *Recorder) Check(ids ...ID) []Violation {
	return Check(r.Events(), r.limits, ids...)
}

// history is a sequence of events with an index by request.
type history struct {
	limits Limits
	events []Event
	// order holds the requests in order of their first event.
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

// end returns the time of the last event.
func (h *history) endTime() time.Time {
	if len(h.events) == 0 {
		return time.Time{}
	}
	return h.events[len(h.events)-1].At
}

// each calls f with the events of each request.
func (h *history) eachRequest(f func(events []Event) []Violation) []Violation {
	var found []Violation
	for _, id := range h.requestIDs {
		found = append(found, f(h.byRequest[id])...)
	}
	return found
}

func filterKinds(events []Event, kinds ...Kind) []Event {
	var out []Event
	for _, e := range events {
		if slices.Contains(kinds, e.Kind) {
			out = append(out, e)
		}
	}
	return out
}
