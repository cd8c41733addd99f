package bench

import (
	"math/rand/v2"
	"time"

	"sardinefront.dev/core/refusal"
)

// scheduler decides where requests run. The world calls it when something
// happens that an entry host would notice; it answers by calling dispatch,
// stop and refuse of the world.
type scheduler interface {
	// submit takes in a request that has arrived at its host.
	submit(j *job)
	// firstToken and progress report tokens of a running request.
	firstToken(j *job)
	progress(j *job)
	// finished reports a complete answer; the request has ended.
	finished(j *job)
	// lost reports that the target failed during the request, which has ended.
	lost(j *job)
	// notSent reports that the target accepted no connection. The request may
	// be dispatched again.
	notSent(j *job)
	// leave removes a request whose caller has gone or whose deadline passed
	// while it ran. The scheduler stops it if it runs.
	cancel(j *job)
}

// world holds the targets and the workload of one run.
type world struct {
	d       *deployment
	seed    uint64
	clk     clock
	rnd     *rand.Rand // delays; independent of the workload
	sched   scheduler
	meter   *meter
	engines []*engine
	targets [poolCount][]target
}

// scenario describes the conditions of a run.
type scenario struct {
	d           *deployment
	seed        uint64
	load        float64 // offered load as a factor on capacity
	slowTargets bool    // a third of the targets at a third of their speed
	engineCrash bool    // one in a hundred engines, at least one, crashes
	onlyTier    int     // draw requests of this tier alone; -1 draws all
	duration    time.Duration
}

// Requests that arrive in the first warmUp are not counted, because caches and
// limits start empty. Arrivals continue for tail after the span, so that the
// requests that are counted end under the same load; an interactive answer
// takes at most 12 s at 30 ms per token.
const (
	warmUp   = 4 * time.Second
	coolDown = 12 * time.Second
)

// run feeds the workload to the scheduler that build returns.
func (s *scenario) run(build func(*world) scheduler) *result {
	w := &world{d: s.d, seed: s.seed, rnd: rand.New(rand.NewPCG(s.seed, 99))}
	w.meter = newMeter(w, s)
	w.buildTargets(s.slowTargets)
	w.sched = build(w)
	for pool := range poolCount {
		w.scheduleArrivals(s, pool)
	}
	if s.engineCrash {
		w.scheduleCrashes(s.duration)
	}
	w.clk.runUntil(s.duration + coolDown)
	w.meter.chargePausedJobs()
	return w.meter.result()
}

// feed schedules the arrivals of one pool, each from its predecessor, so that
// the event queue stays small.
func (w *world) scheduleArrivals(s *scenario, pool int) {
	if len(w.targets[pool]) == 0 {
		return
	}
	g := newGenerator(s.d, pool, s.seed, s.onlyTier)
	jobs := g.arrivals(s.load*s.d.capacity(pool, s.onlyTier), s.duration+coolDown)
	var next func()
	i := 0
	next = func() {
		j := jobs[i]
		if i++; i < len(jobs) {
			w.clk.at(jobs[i].arrival, next)
		}
		w.arrive(j)
	}
	if len(jobs) > 0 {
		w.clk.at(jobs[0].arrival, next)
	}
}

// crashes stops one in a hundred engines in the middle of the span for 4 s.
func (w *world) scheduleCrashes(span time.Duration) {
	for i := range max(1, len(w.engines)/100) {
		e := w.engines[i]
		w.clk.at(span/2, e.crash)
		w.clk.at(span/2+4*time.Second, e.restore)
	}
}

func (w *world) arrive(j *job) {
	w.meter.arrived(j)
	if j.disconnectAt > 0 {
		w.clk.at(j.disconnectAt, func() { w.disconnect(j) })
	}
	w.clk.at(j.deadline, func() { w.expire(j) })
	w.sched.submit(j)
}

// giveUp ends a request whose caller has closed its connection.
func (w *world) disconnect(j *job) {
	if j.ended() {
		return
	}
	w.sched.cancel(j)
	w.meter.disconnected(j)
	j.state = jobDisconnected
}

// expire ends a request that has been started and did not end by its deadline.
// The scheduler refuses those that still wait.
func (w *world) expire(j *job) {
	if j.state != jobRunning && j.state != jobPaused {
		return
	}
	w.sched.cancel(j)
	w.refuse(j, refusal.DeadlineExceeded)
}

// delay returns the network delay between the host of a request and a target.
func (w *world) delay(j *job) time.Duration {
	if w.hostZone(j.host) == w.zoneOf(j.target) {
		return sameZoneDelay
	}
	return crossZoneDelay
}

// dispatch sends a request to a target, or resumes it there. It has no effect
// on a request whose answer is complete and on its way.
func (w *world) dispatch(j *job, target int, resume bool) {
	if j.complete() {
		return
	}
	w.meter.started(j)
	if j.state == jobWaiting {
		j.startedAt = w.clk.now
	}
	j.resumed = resume && target == j.target
	j.target = target
	j.state = jobRunning
	j.runSeq++
	run := j.runSeq
	w.clk.after(w.delay(j), func() {
		if j.runSeq != run {
			return
		}
		t := w.targets[j.pool][j.target]
		if !t.up() {
			w.notSent(j)
			return
		}
		if j.resumed {
			w.meter.resumes++
		} else {
			j.dispatches++
		}
		t.submit(j)
	})
}

// stop cancels a running request at its target and leaves it paused. It has no
// effect on a request whose answer is complete and on its way.
func (w *world) stop(j *job) {
	if j.complete() {
		return
	}
	j.runSeq++
	j.state = jobPaused
	w.targets[j.pool][j.target].cancel(j)
}

// pause is stop for a request that continues later.
func (w *world) pause(j *job) {
	w.stop(j)
	w.meter.recordPause(j)
}

// refuse ends a request without an answer.
func (w *world) refuse(j *job, why refusal.Reason) {
	if j.ended() {
		return
	}
	w.meter.refused(j, why)
	j.state = jobRefused
}

// token records a token that the target sends now.
func (w *world) token(j *job, decoding bool) {
	j.generated++
	if j.firstTokenAt == 0 {
		j.firstTokenAt = w.clk.now + w.delay(j)
		run := j.runSeq
		w.clk.after(w.delay(j), func() {
			if j.runSeq == run && !j.ended() {
				w.sched.firstToken(j)
			}
		})
	} else {
		gap := w.clk.now - j.lastTokenAt
		if gap > maxInterTokenLatency {
			j.longGaps++
		}
		w.meter.recordGap(j, gap)
		if j.generated%tokensPerProgressReport == 0 {
			w.sched.progress(j)
		}
	}
	j.lastTokenAt = w.clk.now
}

// answered ends a request whose last token the target sends now.
func (w *world) answered(j *job) {
	run := j.runSeq
	w.clk.after(w.delay(j), func() {
		if j.runSeq != run || j.ended() {
			return
		}
		w.meter.answered(j)
		j.state = jobAnswered
		w.sched.finished(j)
	})
}

// notSent reports a refused connection to the host.
func (w *world) notSent(j *job) {
	j.state = jobPaused
	run := j.runSeq
	w.clk.after(w.delay(j), func() {
		if j.runSeq == run && !j.ended() {
			w.sched.notSent(j)
		}
	})
}

// fail ends a request whose target crashed.
func (w *world) fail(j *job) {
	w.meter.lost(j)
	j.state = jobLost
	w.sched.lost(j)
}
