package bench

import (
	"slices"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

// omniscient is one scheduler for all hosts that sees the true state of every
// target without delay. It has the same tiers and the same fairness across
// organisations as the entry hosts. It knows the estimate of an answer's
// length, as they do, and not the length.
type omniscient struct {
	w              *world
	queues         [poolCount][request.TierCount]*tierQueue
	inProgress     [poolCount][]int // requests in progress by target
	runningPatient [][]*job         // running patient requests by engine
	paused         []*job           // stopped patient requests, oldest first
}

// headroom is the number of requests that patient work leaves free in the
// batch of an engine.
const patientHeadroom = 2

func newOmniscient(w *world) scheduler {
	o := &omniscient{w: w, runningPatient: make([][]*job, len(w.engines))}
	for p := range poolCount {
		o.inProgress[p] = make([]int, len(w.targets[p]))
		for t := range request.TierCount {
			o.queues[p][t] = newTierQueue(w.meter.movedToLate)
		}
	}
	w.meter.fairness.singleQueue = true
	return o
}

func (o *omniscient) submit(j *job) {
	o.queues[j.pool][j.req.Tier].push(j)
	o.w.clk.at(j.deadline, func() {
		if j.state == jobWaiting {
			o.w.refuse(j, refusal.DeadlineExceeded)
		}
	})
	o.schedule(j.pool)
}

func (o *omniscient) firstToken(*job) {}
func (o *omniscient) progress(*job)   {}

func (o *omniscient) finished(j *job) {
	o.release(j)
	o.schedule(j.pool)
}

func (o *omniscient) lost(j *job) { o.finished(j) }

func (o *omniscient) notSent(j *job) {
	o.release(j)
	o.w.refuse(j, refusal.TargetUnreachable)
	o.schedule(j.pool)
}

func (o *omniscient) cancel(j *job) {
	if j.state == jobRunning {
		o.w.stop(j)
		o.release(j)
		// The caller ends the request after this call; the slot is free now.
		o.w.clk.after(0, func() { o.schedule(j.pool) })
	}
	if i := slices.Index(o.paused, j); i >= 0 {
		o.paused = slices.Delete(o.paused, i, i+1)
	}
}

// release returns the slot of a request that no longer runs.
func (o *omniscient) release(j *job) {
	o.inProgress[j.pool][j.target]--
	if j.pool != enginePool {
		return
	}
	p := o.runningPatient[j.target]
	if i := slices.Index(p, j); i >= 0 {
		o.runningPatient[j.target] = slices.Delete(p, i, i+1)
	}
}

func (o *omniscient) start(j *job, target int, resume bool) {
	o.inProgress[j.pool][target]++
	if j.pool == enginePool && j.req.Tier == request.Patient {
		o.runningPatient[target] = append(o.runningPatient[target], j)
	}
	o.w.dispatch(j, target, resume)
}

// place starts what fits, in tier order. A tier that has to wait keeps all
// lower tiers waiting.
func (o *omniscient) schedule(pool int) {
	for tier := range request.Tier(request.TierCount) {
		if tier == request.Patient && pool == enginePool {
			o.resumePaused()
		}
		q := o.queues[pool][tier]
		for j := q.peek(o.w.clk.now); j != nil; j = q.peek(o.w.clk.now) {
			t := o.pickTarget(j)
			if t == unattainable {
				q.moveToLate()
				continue
			}
			if t == noCapacity {
				return
			}
			q.pop()
			o.start(j, t, false)
		}
		for j := q.peekLate(); j != nil; j = q.peekLate() {
			t := o.pickLateEngine()
			if t < 0 {
				return
			}
			q.popLate()
			o.start(j, t, false)
		}
	}
}

// Results of choose besides the index of a target.
const (
	noCapacity   = -1 // nothing can start the request now
	unattainable = -2 // free engines would miss the first-token objective
)

func (o *omniscient) pickTarget(j *job) int {
	if j.pool == servicePool {
		return o.pickService()
	}
	if j.req.Tier == request.Patient {
		return o.pickPatientEngine(j)
	}
	t := o.pickEngine(j)
	if t >= 0 {
		return t
	}
	if p := o.preemptPatient(j); p >= 0 {
		return p
	}
	return t
}

// chooseFast returns the engine with the lowest cost among those that meet
// both objectives, or full or hopeless. Interactive requests leave some engines free for
// urgent ones.
func (o *omniscient) pickEngine(j *job) int {
	best, least, free, fast := noCapacity, 0.0, 0, 0
	for i, e := range o.w.engines {
		if e.down || e.slowdown > 1 {
			continue
		}
		fast++
		if o.inProgress[enginePool][i] >= e.gen.seqLimit() {
			continue
		}
		if e.pendingPrompt <= freePromptSteps*e.gen.maxChunkTokens {
			free++
		}
		first, cost := o.estimate(e, j, e.pendingPrompt)
		if first <= o.firstTokenBudget(j) && (best < 0 || cost < least) {
			best, least = i, cost
		}
	}
	if best == noCapacity && free > 1+fast/20 {
		return unattainable
	}
	if best < 0 || j.req.Tier == request.Urgent {
		return best
	}
	if taken := o.w.engines[best].pendingPrompt <= freePromptSteps*o.w.engines[best].gen.maxChunkTokens; taken && free <= 1+fast/20 {
		return noCapacity
	}
	return best
}

// freePrompt is the number of steps' worth of waiting prompts up to which an
// engine counts as free for urgent requests.
const freePromptSteps = 4

// budget returns the seconds that remain until the request misses the
// first-token objective.
func (o *omniscient) firstTokenBudget(j *job) float64 {
	return (j.arrival + maxTimeToFirstToken - 2*crossZoneDelay - o.w.clk.now).Seconds()
}

// estimate returns the seconds until the first token when pending prompt
// tokens come first, and the cost of the choice: the time to compute what is
// not cached counts six times, because it also delays others and is wasted
// where another engine holds it.
func (o *omniscient) estimate(e *engine, j *job, pending int) (first, cost float64) {
	own := j.promptTokens - e.cache.match(j.req.Prefix)*blockTokens
	perToken := e.stepDuration(o.inProgress[enginePool][e.id], e.gen.maxChunkTokens).Seconds() / float64(e.gen.maxChunkTokens)
	first = float64(pending+own) * perToken
	return first, first + 5*float64(own)*perToken
}

// choosePaused stops patient work for a request of a higher tier and returns
// its engine, or -1.
func (o *omniscient) preemptPatient(j *job) int {
	best, least := -1, 0.0
	var stop *job
	for i, e := range o.w.engines {
		if e.down || e.slowdown > 1 || len(o.runningPatient[i]) == 0 {
			continue
		}
		v := pickVictim(o.runningPatient[i])
		rest := 0
		if v.sequence != nil {
			rest = v.sequence.remainingPrompt
		}
		first, cost := o.estimate(e, j, e.pendingPrompt-rest)
		cost += float64(v.computed+v.generated-rest) * e.gen.timePerPromptToken.Seconds()
		if first <= o.firstTokenBudget(j) && (best < 0 || cost < least) {
			best, least, stop = i, cost, v
		}
	}
	if best < 0 {
		return -1
	}
	o.w.pause(stop)
	if stop.state == jobPaused {
		o.release(stop)
		o.paused = append(o.paused, stop)
	}
	return best
}

// victim returns the patient request to stop: the one with the longest rest of
// its prompt, else the one that loses the fewest tokens.
func pickVictim(jobs []*job) *job {
	worth := func(j *job) int {
		if j.sequence != nil && j.sequence.remainingPrompt > 0 {
			return -j.sequence.remainingPrompt
		}
		return j.computed + j.generated
	}
	return slices.MinFunc(jobs, func(a, b *job) int { return worth(a) - worth(b) })
}

// choosePatient returns the engine on which the request is likely to end
// first. It leaves headroom in each batch, and leaves at least half of the
// engines without a long queue of prompts.
func (o *omniscient) pickPatientEngine(j *job) int {
	best, least, long, fast := -1, 0.0, 0, 0
	for i, e := range o.w.engines {
		if e.down {
			continue
		}
		if e.slowdown == 1 {
			fast++
			if e.pendingPrompt > 4*e.gen.maxChunkTokens {
				long++
			}
		}
		if o.inProgress[enginePool][i] >= o.patientLimit(e) {
			continue
		}
		step := e.stepDuration(o.inProgress[enginePool][i], 0).Seconds()
		_, c := o.estimate(e, j, e.pendingPrompt)
		if c += float64(j.req.MaxTokens) * step; best < 0 || c < least {
			best, least = i, c
		}
	}
	if best >= 0 && o.w.engines[best].slowdown == 1 && 2*long >= fast {
		return -1
	}
	return best
}

// patientLimit returns the batch size up to which patient work starts. Engines
// that are too slow for the other tiers are filled.
func (o *omniscient) patientLimit(e *engine) int {
	if e.slowdown > 1 {
		return e.gen.maxSeqs
	}
	return e.gen.seqLimit() - patientHeadroom
}

// chooseLate returns an engine without waiting prompts for a request that has
// missed the first-token objective; slow engines come first. Others are used
// only while a quarter of them is free, and are filled to one half.
func (o *omniscient) pickLateEngine() int {
	best, free, fast := -1, 0, 0
	for i, e := range o.w.engines {
		limit := e.gen.seqLimit() / 2
		if e.slowdown > 1 {
			limit = e.gen.maxSeqs
		} else {
			fast++
		}
		if e.down || e.pendingPrompt > 0 || o.inProgress[enginePool][i] >= limit {
			continue
		}
		if e.slowdown == 1 {
			free++
		}
		if best < 0 || e.slowdown > o.w.engines[best].slowdown {
			best = i
		}
	}
	if best >= 0 && o.w.engines[best].slowdown == 1 && 4*free < fast {
		return -1
	}
	return best
}

func (o *omniscient) pickService() int {
	best, least := -1, 0.0
	for i, t := range o.w.targets[servicePool] {
		s := t.(*service)
		c := s.slowdown * float64(o.inProgress[servicePool][i]+1)
		if o.inProgress[servicePool][i] < s.workers && (best < 0 || c < least) {
			best, least = i, c
		}
	}
	return best
}

// resume continues stopped patient work at its engine, oldest first.
func (o *omniscient) resumePaused() {
	o.paused = slices.DeleteFunc(o.paused, func(j *job) bool {
		e := o.w.engines[j.target]
		if o.inProgress[enginePool][j.target] >= o.patientLimit(e) {
			return false
		}
		o.start(j, j.target, true)
		return true
	})
}
