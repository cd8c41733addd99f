package pool

import (
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/flow"
	"sardinefront.dev/sched/health"
)

// phase is the state of a request in the pool.
type phase uint8

const (
	waiting   phase = iota // in the queue, never dispatched
	running                // dispatched to its target
	suspended              // dispatched before; waits to resume at its target
)

// entry is one request in the pool. A run is the time from a dispatch or resumption to
// its end or pause.
type entry struct {
	req   *request.Request
	item  flow.Item
	phase phase
	// target is where the request runs or must resume. It is nil while waiting.
	target *target
	// runIndex is the index in target.runs while running.
	runIndex int
	// offset counts the tokens received over all runs. timedTokens counts those whose
	// arrival time is known: the first token of a run arrives with the first byte.
	offset         int
	timedTokens    int
	uncachedTokens int
	// pendingTokens is the part of uncachedTokens that the target has yet to compute.
	pendingTokens int
	retries       int
	// unreachable is the target that the last attempt did not reach.
	unreachable *target

	runStartedAt time.Time
	// pinned is true if the request was dispatched before and must not be sent to any
	// other target.
	pinned        bool
	firstByteSeen bool // a byte has arrived in this run
	progressAt    time.Time
	progressCount int           // progress reports in this run
	longestGap    time.Duration // longest time between them
}

const (
	// stallMinProgress is the number of progress reports that a stream needs before it
	// can count as stalled.
	stallMinProgress = 3
	// stallGapMultiple is the multiple of the longest gap so far that counts as a stall.
	stallGapMultiple = 3
	// minStall keeps scheduling jitter from counting as a stall.
	minStall = 100 * time.Millisecond
	// maxSingleWait is the wait up to which a single request lowers the target's limit. A
	// longer wait may be caused by a fault of its connection instead.
	maxSingleWait = 2 * time.Second
)

// beginRun records the start of a run at t.
func (p *Pool) beginRun(e *entry, t *target, now time.Time) {
	e.phase, e.target = running, t
	e.runStartedAt, e.progressAt = now, now
	e.firstByteSeen, e.progressCount, e.longestGap = false, 0, 0
	e.runIndex = len(t.runs)
	t.runs = append(t.runs, e)
	t.load.OwnRequests.Add(1)
	t.load.OwnTokens.Add(int64(e.req.EstimatedTokens()))
	e.pendingTokens = e.uncachedTokens
	t.load.PendingPrefillTokens.Add(int64(e.pendingTokens))
	p.running[e.req.Tier]++
	p.meanTokens += (float64(e.req.EstimatedTokens()) - p.meanTokens) / 32
	if e.req.Tier == request.Patient && p.cfg.Kind == Engine {
		p.pausable = append(p.pausable, e)
	}
}

// endRun records the end of a run.
func (p *Pool) endRun(e *entry) {
	p.capacityChanges++
	t := e.target
	last := len(t.runs) - 1
	t.runs[e.runIndex] = t.runs[last]
	t.runs[e.runIndex].runIndex = e.runIndex
	t.runs[last] = nil
	t.runs = t.runs[:last]
	t.load.OwnRequests.Add(-1)
	t.load.OwnTokens.Add(-int64(e.req.EstimatedTokens()))
	t.clearPending(e)
	p.running[e.req.Tier]--
	if e.req.Tier != request.Patient {
		return
	}
	for i, other := range p.pausable {
		if other == e {
			p.pausable = append(p.pausable[:i], p.pausable[i+1:]...)
			return
		}
	}
}

// clearPending removes the prompt of a request from the prefill pending at the target.
func (t *target) clearPending(e *entry) {
	t.load.PendingPrefillTokens.Add(-int64(e.pendingTokens))
	e.pendingTokens = 0
}

// recordStalls lowers the limit of the target while its requests wait too long for a
// byte, without waiting for the byte to arrive. A single connection may be dead while
// the target works: a stalled stream counts only while no other stream of the target
// makes progress, and a single wait only up to maxSingleWait.
func (t *target) recordStalls(now time.Time) {
	stalled, progressing := 0, false
	for _, e := range t.runs {
		progressing = progressing || (e.firstByteSeen && now.Sub(e.progressAt) <= minStall)
		if e.stalled(now) {
			stalled++
		}
	}
	for _, e := range t.runs {
		wait := now.Sub(e.progressAt)
		switch {
		case !e.firstByteSeen && !e.pinned && wait < maxSingleWait:
			t.limiter.RecordStall(wait, 0, e.uncachedTokens, t.load.TotalRequests(), t.load.TotalTokens(), now)
		case e.stalled(now) && !progressing && (stalled > 1 || wait < maxSingleWait):
			t.limiter.RecordStall(wait, 1, 0, t.load.TotalRequests(), t.load.TotalTokens(), now)
		}
	}
}

// stalled reports whether a stream that has made progress before makes none now.
func (e *entry) stalled(now time.Time) bool {
	wait := now.Sub(e.progressAt)
	return e.firstByteSeen && e.progressCount >= stallMinProgress && wait > minStall && wait > stallGapMultiple*e.longestGap
}

// RecordFirstByte records that the first byte of the response has arrived.
func (p *Pool) RecordFirstByte(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[id]; e != nil && e.phase == running {
		p.recordFirstByte(e, now)
	}
}

func (p *Pool) recordFirstByte(e *entry, now time.Time) {
	if e.firstByteSeen {
		return
	}
	e.firstByteSeen = true
	e.progressAt, e.target.progressAt = now, now
	e.timedTokens = e.offset + 1
	e.target.clearPending(e)
	if e.pinned {
		// How much of a resumed stream is still cached is unknown.
		return
	}
	if p.hostWasPaused(now) {
		return
	}
	t := e.target
	d := now.Sub(e.runStartedAt)
	t.limiter.RecordFirstByte(d, e.uncachedTokens, t.load.TotalRequests(), t.load.TotalTokens(), now)
	p.runTimes.recordFirstToken(d, e.req.Tier)
}

// RecordProgress records the total number of tokens of the response received so far,
// including those before a pause.
func (p *Pool) RecordProgress(id string, tokens int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[id]
	if e == nil || e.phase != running || tokens <= e.offset {
		return
	}
	if !e.firstByteSeen {
		p.recordFirstByte(e, now)
		e.offset, e.timedTokens = tokens, tokens
		return
	}
	n := tokens - e.timedTokens
	e.offset, e.timedTokens = tokens, tokens
	if n <= 0 {
		return
	}
	d := now.Sub(e.progressAt)
	e.progressAt, e.target.progressAt = now, now
	if p.hostWasPaused(now) {
		return
	}
	t := e.target
	t.limiter.RecordInterTokenLatency(d, n, t.load.TotalRequests(), t.load.TotalTokens(), now)
	p.runTimes.recordInterToken(d, n)
	e.progressCount++
	e.longestGap = max(e.longestGap, d)
}

// hostPauseAfter is the time without a refresh from which the host process itself must
// have been paused: it ticks every 50 ms with work and every second without.
const hostPauseAfter = 1500 * time.Millisecond

// hostWasPaused reports whether durations that end now include a pause of this host and
// must not be used as measurements of its targets.
func (p *Pool) hostWasPaused(now time.Time) bool {
	return !p.refreshedAt.IsZero() && now.Sub(p.refreshedAt) > hostPauseAfter
}

// restartWaits restarts the measurement of all waits, after this host was paused.
func (t *target) restartWaits(now time.Time) {
	for _, e := range t.runs {
		e.progressAt = now
	}
}

// observation translates a result for health tracking. ok is false if the result does
// not depend on the target's health.
func (r Result) observation() (obs health.Observation, ok bool) {
	switch r {
	case OK:
		return health.Success, true
	case Failed, Truncated, NotSent:
		return health.Failure, true
	case TimedOut, DeadlineReached:
		return health.Timeout, true
	default:
		return 0, false
	}
}
