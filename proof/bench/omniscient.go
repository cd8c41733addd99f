package bench

import (
	"slices"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

// omniscient is one scheduler for all hosts that sees the true state of every
// target without delay. It applies the same tiers and the same fairness between
// organisations as the entry hosts. Like them, it uses an estimate of the length
// of an answer, not the actual length.
type omniscient struct {
	w              *world
	queues         [poolCount][request.TierCount]*tierQueue
	inProgress     [poolCount][]int // requests in progress by target
	runningPatient [][]*job         // running patient requests by engine
	paused         []*job           // paused patient requests, oldest first
}

// patientHeadroom is the number of sequences of an engine's batch that patient
// requests leave free.
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
		// The freed slot is used after the caller of cancel has ended the request.
		o.w.clk.after(0, func() { o.schedule(j.pool) })
	}
	if i := slices.Index(o.paused, j); i >= 0 {
		o.paused = slices.Delete(o.paused, i, i+1)
	}
}

// release frees the slot of a request that no longer runs.
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

// schedule starts the requests for which there is capacity, in tier order. While
// a request of a tier waits for capacity, no request of a lower tier starts.
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

// Results of pickTarget other than the index of a target.
const (
	noCapacity   = -1 // no target can start the request now
	unattainable = -2 // there are free engines, and all would miss maxTimeToFirstToken
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

// pickEngine returns the engine with the lowest cost among those that meet the
// objectives, noCapacity or unattainable. Interactive requests leave one engine and
// 5% of the full-speed engines free for urgent requests.
func (o *omniscient) pickEngine(j *job) int {
	best, bestCost, freeEngines, fullSpeed := noCapacity, 0.0, 0, 0
	for i, e := range o.w.engines {
		if e.down || e.slowdown > 1 {
			continue
		}
		fullSpeed++
		if o.inProgress[enginePool][i] >= e.generation.seqLimit() {
			continue
		}
		if e.pendingPrompt <= freePromptSteps*e.generation.maxChunkTokens {
			freeEngines++
		}
		first, cost := o.estimate(e, j, e.pendingPrompt)
		if first <= o.firstTokenBudget(j) && (best < 0 || cost < bestCost) {
			best, bestCost = i, cost
		}
	}
	if best == noCapacity && freeEngines > 1+fullSpeed/20 {
		return unattainable
	}
	if best < 0 || j.req.Tier == request.Urgent {
		return best
	}
	if usesFreeEngine := o.w.engines[best].pendingPrompt <=
		freePromptSteps*o.w.engines[best].generation.maxChunkTokens; usesFreeEngine &&
		freeEngines <= 1+fullSpeed/20 {
		return noCapacity
	}
	return best
}

// freePromptSteps is the number of steps, needed to compute the pending prompts,
// up to which an engine counts as free for urgent requests.
const freePromptSteps = 4

// firstTokenBudget returns the seconds within which an engine must generate the
// first token, so that the request meets maxTimeToFirstToken.
func (o *omniscient) firstTokenBudget(j *job) float64 {
	return (j.arrival + maxTimeToFirstToken - 2*crossZoneDelay - o.w.clk.now).Seconds()
}

// estimate returns the seconds until the first token if the given number of
// pending prompt tokens is computed first, and the cost of the engine. In the
// cost, the time to compute uncached tokens has weight 6, because it also delays
// other requests and is wasted if another engine has cached the tokens.
func (o *omniscient) estimate(e *engine, j *job, pending int) (first, cost float64) {
	uncached := j.promptTokens - e.cache.match(j.req.Prefix)*blockTokens
	perToken := e.stepDuration(o.inProgress[enginePool][e.id], e.generation.maxChunkTokens).Seconds() /
		float64(e.generation.maxChunkTokens)
	first = float64(pending+uncached) * perToken
	return first, first + 5*float64(uncached)*perToken
}

// preemptPatient pauses a patient request in favour of j and returns its engine,
// or -1 if no engine would then meet maxTimeToFirstToken.
func (o *omniscient) preemptPatient(j *job) int {
	best, bestCost := -1, 0.0
	var victim *job
	for i, e := range o.w.engines {
		if e.down || e.slowdown > 1 || len(o.runningPatient[i]) == 0 {
			continue
		}
		candidate := pickVictim(o.runningPatient[i])
		remaining := 0
		if candidate.sequence != nil {
			remaining = candidate.sequence.remainingPrompt
		}
		first, cost := o.estimate(e, j, e.pendingPrompt-remaining)
		cost += float64(candidate.computed+candidate.generated-remaining) *
			e.generation.timePerPromptToken.Seconds()
		if first <= o.firstTokenBudget(j) && (best < 0 || cost < bestCost) {
			best, bestCost, victim = i, cost, candidate
		}
	}
	if best < 0 {
		return -1
	}
	o.w.pause(victim)
	if victim.state == jobPaused {
		o.release(victim)
		o.paused = append(o.paused, victim)
	}
	return best
}

// pickVictim returns the patient request to pause: the one with the most prompt
// tokens left to compute or, if all prompts are complete, the one that loses the
// fewest tokens.
func pickVictim(jobs []*job) *job {
	lostTokens := func(j *job) int {
		if j.sequence != nil && j.sequence.remainingPrompt > 0 {
			return -j.sequence.remainingPrompt
		}
		return j.computed + j.generated
	}
	return slices.MinFunc(jobs, func(a, b *job) int { return lostTokens(a) - lostTokens(b) })
}

// pickPatientEngine returns the engine with the earliest expected end of the
// request, or noCapacity. It leaves patientHeadroom in each batch, and it keeps at
// least half of the full-speed engines without a long queue of prompts.
func (o *omniscient) pickPatientEngine(j *job) int {
	best, bestCost, longQueues, fullSpeed := -1, 0.0, 0, 0
	for i, e := range o.w.engines {
		if e.down {
			continue
		}
		if e.slowdown == 1 {
			fullSpeed++
			if e.pendingPrompt > 4*e.generation.maxChunkTokens {
				longQueues++
			}
		}
		if o.inProgress[enginePool][i] >= o.patientLimit(e) {
			continue
		}
		step := e.stepDuration(o.inProgress[enginePool][i], 0).Seconds()
		_, c := o.estimate(e, j, e.pendingPrompt)
		if c += float64(j.req.MaxTokens) * step; best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	if best >= 0 && o.w.engines[best].slowdown == 1 && 2*longQueues >= fullSpeed {
		return -1
	}
	return best
}

// patientLimit returns the number of requests in progress at the engine below
// which patient requests start. Slow engines, which the other tiers don't use, are
// filled completely.
func (o *omniscient) patientLimit(e *engine) int {
	if e.slowdown > 1 {
		return e.generation.maxSeqs
	}
	return e.generation.seqLimit() - patientHeadroom
}

// pickLateEngine returns an engine without pending prompts, or -1, for a request
// that has missed maxTimeToFirstToken. It prefers slow engines. Full-speed engines
// are filled to one half, and only while a quarter of them is free.
func (o *omniscient) pickLateEngine() int {
	best, freeEngines, fullSpeed := -1, 0, 0
	for i, e := range o.w.engines {
		limit := e.generation.seqLimit() / 2
		if e.slowdown > 1 {
			limit = e.generation.maxSeqs
		} else {
			fullSpeed++
		}
		if e.down || e.pendingPrompt > 0 || o.inProgress[enginePool][i] >= limit {
			continue
		}
		if e.slowdown == 1 {
			freeEngines++
		}
		if best < 0 || e.slowdown > o.w.engines[best].slowdown {
			best = i
		}
	}
	if best >= 0 && o.w.engines[best].slowdown == 1 && 4*freeEngines < fullSpeed {
		return -1
	}
	return best
}

// pickService returns the service with the lowest estimated load that has an idle
// worker, or noCapacity.
func (o *omniscient) pickService() int {
	best, bestCost := -1, 0.0
	for i, t := range o.w.targets[servicePool] {
		s := t.(*service)
		c := s.slowdown * float64(o.inProgress[servicePool][i]+1)
		if o.inProgress[servicePool][i] < s.workers && (best < 0 || c < bestCost) {
			best, bestCost = i, c
		}
	}
	return best
}

// resumePaused resumes paused patient requests at their engines, oldest first.
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
