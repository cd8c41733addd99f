// Package admission decides which requests are queued while there are fewer slots than requests, and
// how long a request can usefully wait. Its functions take a snapshot, the request and the time; the
// package does no I/O and reads no clock.
package admission

import "time"

// minQueueFraction is the fraction of a goal that a request may always spend in the queue. A start
// delay that was measured under overload would otherwise make each request late on arrival.
const minQueueFraction = 0.5

// Goal is the goal for the first event of one request.
type Goal struct {
	// Arrived is when this attempt arrived. Age is the time since the caller's first attempt then.
	Arrived time.Time
	Age     time.Duration
	// Limit is the time from the first attempt until the first event must arrive.
	Limit time.Duration
	// StartDelay is the expected time from a grant to the first event.
	StartDelay time.Duration
}

// LatestStart returns when a request must be granted a target to meet its goal.
func (g Goal) LatestStart() time.Time {
	first := g.Arrived.Add(-g.Age)
	queue := max(g.Limit-g.StartDelay, time.Duration(minQueueFraction*float64(g.Limit)))
	return first.Add(queue)
}

// medianStep is the relative step by which a tracked median follows its samples.
const medianStep = 0.05

// TrackMedian adds a sample to an approximate running median, 0 for none. Unlike a mean, it does not
// follow the few samples of slow targets.
func TrackMedian(median, sample time.Duration) time.Duration {
	step := time.Duration(medianStep * float64(median))
	switch {
	case median == 0:
		return sample
	case sample > median:
		return min(sample, median+step)
	}
	return max(sample, median-step)
}

// Snapshot describes the queue that a new request meets.
type Snapshot struct {
	// Urgent is the number of requests in lanes that are served first.
	Urgent int
	// Lane is the number of requests in the request's own lane, Own those of its organisation, and
	// Organisations the number of organisations with requests there.
	Lane, Own, Organisations int
	// StartRate is the rate of starts while requests wait, per second; 0 if unknown.
	StartRate float64
}

// ExpectedWait returns how long a new request probably waits. The result is not ok if the rate of
// starts is unknown.
func (s Snapshot) ExpectedWait() (wait time.Duration, ok bool) {
	if s.StartRate <= 0 {
		return 0, false
	}
	ahead := float64(s.Urgent + s.ahead())
	return time.Duration((ahead + 1) / s.StartRate * float64(time.Second)), true
}

// ahead returns the number of requests of the lane that are served before a new one. The organisations
// take turns, so that a small one does not wait for the whole backlog of a large one.
func (s Snapshot) ahead() int {
	others := s.Organisations
	if s.Own > 0 {
		others--
	}
	return min(s.Lane, s.Own+others*(s.Own+1))
}

// Cause is why a request is refused on arrival.
type Cause uint8

// The causes.
const (
	// Admitted means that the request is queued.
	Admitted Cause = iota
	// NoStartInTime means that the caller would give up before a slot is free.
	NoStartInTime
	// BehindLongWait means that the request would wait behind one that has waited for long.
	BehindLongWait
)

// String returns the value of the metric label.
func (c Cause) String() string {
	return [...]string{"admitted", "no-start-in-time", "behind-long-wait"}[c]
}

// Request is what Decide knows about a new request.
type Request struct {
	// MaxWait is how long the request may wait before its caller gives up.
	MaxWait time.Duration
	// LongestAhead is the longest wait of a request that precedes this one whatever happens, and
	// LongestOvertaken that of one which the new request would precede if requests are started.
	LongestAhead, LongestOvertaken time.Duration
	// MaxAhead is the wait of a request ahead from which a new one is refused.
	MaxAhead time.Duration
}

// hopelessFactor is the multiple of the longest possible wait that the expected one must exceed. The
// estimate is uncertain, and a refusal costs the caller an attempt.
const hopelessFactor = 2

// Decide returns whether a new request is queued, and if not, why.
func Decide(s Snapshot, r Request) Cause {
	wait, known := s.ExpectedWait()
	switch {
	case known && float64(wait) > hopelessFactor*float64(r.MaxWait):
		return NoStartInTime
	case r.LongestAhead > r.MaxAhead:
		return BehindLongWait
	case !known && r.LongestOvertaken > r.MaxAhead:
		return BehindLongWait
	}
	return Admitted
}
