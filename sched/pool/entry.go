package pool

import (
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/flow"
	"sardinefront.dev/sched/health"
)

// phase is where a request is in its life.
type phase uint8

const (
	waiting phase = iota // in the queue, never dispatched
	running              // at its target
	stopped              // dispatched before; waits for its target to resume
)

// entry is one request that the pool knows.
type entry struct {
	req   *request.Request
	item  flow.Item
	phase phase
	// target is where the request runs or must resume; nil while waiting.
	target *target
	// run is the index in target.runs while running.
	run int
	// offset counts the tokens received over all runs, and timed those of which
	// the time is known: the first token of a run comes with the first byte.
	offset   int
	timed    int
	uncached int
	// pending is the part of uncached that its target has still to compute.
	pending int
	retries int
	// failed is the target that the last attempt did not reach.
	failed *target

	started time.Time // of this run
	// tied says that the request was dispatched before and must not be sent to
	// any other target.
	tied       bool
	first      bool // a byte has arrived in this run
	progressAt time.Time
	steps      int           // calls of Progress in this run
	gap        time.Duration // longest usual time between calls of Progress
}

const (
	// stallSteps is how many progress reports of a stream must have come before
	// their absence says something.
	stallSteps = 3
	// stallGaps is the multiple of the longest gap so far that counts as a
	// stall.
	stallGaps = 3
	// stallLeast keeps scheduling jitter from counting as a stall.
	stallLeast = 100 * time.Millisecond
	// loneWait bounds what one waiting request says about its target.
	loneWait = 2 * time.Second
)

// begin records the start of a run at t.
func (p *Pool) begin(e *entry, t *target, now time.Time) {
	e.phase, e.target = running, t
	e.started, e.progressAt = now, now
	e.first, e.steps, e.gap = false, 0, 0
	e.run = len(t.runs)
	t.runs = append(t.runs, e)
	t.load.OwnRequests.Add(1)
	t.load.OwnTokens.Add(int64(e.req.Tokens()))
	e.pending = e.uncached
	t.load.PendingPrefillTokens.Add(int64(e.pending))
	p.running[e.req.Tier]++
	p.tokensMean += (float64(e.req.Tokens()) - p.tokensMean) / 32
	if e.req.Tier == request.Patient && p.cfg.Kind == Engine {
		p.patient = append(p.patient, e)
	}
}

// end records the end of a run.
func (p *Pool) end(e *entry) {
	p.changes++
	t := e.target
	last := len(t.runs) - 1
	t.runs[e.run] = t.runs[last]
	t.runs[e.run].run = e.run
	t.runs[last] = nil
	t.runs = t.runs[:last]
	t.load.OwnRequests.Add(-1)
	t.load.OwnTokens.Add(-int64(e.req.Tokens()))
	t.computed(e)
	p.running[e.req.Tier]--
	if e.req.Tier != request.Patient {
		return
	}
	for i, other := range p.patient {
		if other == e {
			p.patient = append(p.patient[:i], p.patient[i+1:]...)
			return
		}
	}
}

// computed notes that the prompt of a request needs no more time at the target.
func (t *target) computed(e *entry) {
	t.load.PendingPrefillTokens.Add(-int64(e.pending))
	e.pending = 0
}

// stall lowers the limit of the target if its requests wait longer for a byte
// than they should, before the byte arrives. A single connection may have gone
// silent while the target works: a stalled stream counts only while no other
// stream of the target moves, and a lone wait only up to loneWait.
func (t *target) stall(now time.Time) {
	stalled, moving := 0, false
	for _, e := range t.runs {
		moving = moving || (e.first && now.Sub(e.progressAt) <= stallLeast)
		if e.stalled(now) {
			stalled++
		}
	}
	for _, e := range t.runs {
		wait := now.Sub(e.progressAt)
		switch {
		case !e.first && !e.tied && wait < loneWait:
			t.limiter.RecordStall(wait, 0, e.uncached, t.load.TotalRequests(), t.load.TotalTokens(), now)
		case e.stalled(now) && !moving && (stalled > 1 || wait < loneWait):
			t.limiter.RecordStall(wait, 1, 0, t.load.TotalRequests(), t.load.TotalTokens(), now)
		}
	}
}

// stalled reports whether a stream that used to report progress has stopped.
func (e *entry) stalled(now time.Time) bool {
	wait := now.Sub(e.progressAt)
	return e.first && e.steps >= stallSteps && wait > stallLeast && wait > stallGaps*e.gap
}

// FirstByte records the first byte of the answer.
func (p *Pool) RecordFirstByte(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[id]; e != nil && e.phase == running {
		p.firstByte(e, now)
	}
}

func (p *Pool) firstByte(e *entry, now time.Time) {
	if e.first {
		return
	}
	e.first = true
	e.progressAt = now
	e.timed = e.offset + 1
	e.target.computed(e)
	if e.tied {
		// How much of a resumed stream is still cached is not known.
		return
	}
	if p.late(now) {
		return
	}
	t := e.target
	d := now.Sub(e.started)
	t.limiter.RecordFirstByte(d, e.uncached, t.load.TotalRequests(), t.load.TotalTokens(), now)
	p.service.first(d, e.req.Tier)
}

// Progress records that tokens tokens of the answer have been received in
// total, including those before a pause.
func (p *Pool) RecordProgress(id string, tokens int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[id]
	if e == nil || e.phase != running || tokens <= e.offset {
		return
	}
	if !e.first {
		p.firstByte(e, now)
		e.offset, e.timed = tokens, tokens
		return
	}
	n := tokens - e.timed
	e.offset, e.timed = tokens, tokens
	if n <= 0 {
		return
	}
	d := now.Sub(e.progressAt)
	e.progressAt = now
	if p.late(now) {
		return
	}
	t := e.target
	t.limiter.RecordInterTokenLatency(d, n, t.load.TotalRequests(), t.load.TotalTokens(), now)
	p.service.between(d, n)
	e.steps++
	e.gap = max(e.gap, d)
}

// lateAfter is the time without a refresh from which the host itself must have
// been paused: with work it ticks every 50 ms, without every second.
const lateAfter = 1500 * time.Millisecond

// late reports whether times that end now say more about this host than about
// its targets.
func (p *Pool) late(now time.Time) bool {
	return !p.refreshedAt.IsZero() && now.Sub(p.refreshedAt) > lateAfter
}

// forgive lets all waits begin now, after this host was paused.
func (t *target) forgive(now time.Time) {
	for _, e := range t.runs {
		e.progressAt = now
	}
}

// evidence translates a result; ok is false where it says nothing about the
// target.
func (r Result) evidence() (e health.Observation, ok bool) {
	switch r {
	case OK:
		return health.Success, true
	case Failed, Truncated, NotSent:
		return health.Failure, true
	case TimedOut:
		return health.Timeout, true
	default:
		return 0, false
	}
}
