// Package finish estimates when a request gets its first event and its last one at a target. The
// estimates are functions of a snapshot of the target, the request and the current time. The
// package does no I/O, reads no clock and does not allocate.
package finish

import "time"

const (
	// typicalEvents is assumed for a request that states no number of tokens. maxEvents bounds the
	// number that a request states: few responses use up their maximum.
	typicalEvents = 25
	maxEvents     = 200
	// maxSlowdown bounds how much longer than a fast target another one takes to read a prompt.
	maxSlowdown = 8
	// prefillContention is the extra time to read a prompt at a target whose slots are all taken, as
	// a fraction: it alternates with the events of the running requests.
	prefillContention = 0.5
)

// Snapshot is what a host knows about a target.
type Snapshot struct {
	// Gap is the time between events at the target, FastGap that at a fast target of the pool, 0 if
	// that is unknown.
	Gap, FastGap time.Duration
	// Slots is the number of requests that the target runs at once.
	Slots int
	Load  Load
	Work  WorkTime
}

// Request is the work of one request.
type Request struct {
	// Prefill is the time in which a fast target reads the prompt, without the parts that the
	// target holds.
	Prefill time.Duration
	// Events is the expected number of events, see ExpectedEvents.
	Events float64
}

// Estimate is the time from the send to the first event of a response and to its end.
type Estimate struct {
	FirstEvent, Finish time.Duration
}

// ExpectedEvents returns the expected number of events of a request for at most maxTokens tokens,
// with eventTokens in each event. 0 stands for unknown.
func ExpectedEvents(maxTokens, eventTokens int) float64 {
	if maxTokens <= 0 {
		return typicalEvents
	}
	return min(maxEvents, max(1, float64(maxTokens)/float64(max(1, eventTokens))))
}

// EstimateStream returns the estimate for a streamed request at an engine.
func EstimateStream(s *Snapshot, r Request, now time.Time) Estimate {
	work, load := s.Work.Factor(now), s.Load.PerSlot(s.Slots, now)
	gap := float64(s.Gap) * work
	slowdown := 1.0
	if s.FastGap > 0 {
		slowdown = min(maxSlowdown, float64(s.Gap)/float64(s.FastGap))
	}
	first := gap + float64(r.Prefill)*slowdown*work*(1+prefillContention*min(1, load))
	// Requests that wait at the target start one by one as the running ones end.
	first += max(0, load-1) * typicalEvents * gap
	return Estimate{FirstEvent: time.Duration(first), Finish: time.Duration(first + gap*max(0, r.Events-1))}
}

// EstimateResponse returns the time to the response of a plain service whose mean latency is given.
// ownLoad is the number of requests of this host per slot, which count also without a report.
func EstimateResponse(s *Snapshot, latency time.Duration, ownLoad float64, now time.Time) time.Duration {
	return time.Duration(float64(latency) * s.Work.Factor(now) * (1 + max(ownLoad, s.Load.PerSlot(s.Slots, now))))
}
