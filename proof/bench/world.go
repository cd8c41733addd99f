package bench

import (
	"math/rand/v2"
	"time"

	"sardinefront.dev/core/refusal"
)

// scheduler decides when and where requests run. The world calls it for events
// that an entry host can observe, and the scheduler calls dispatch, stop, pause
// and refuse of the world.
type scheduler interface {
	// submit adds a request that has arrived at its host.
	submit(j *job)
	// firstToken and progress report tokens of a running request.
	firstToken(j *job)
	progress(j *job)
	// finished reports a complete answer. The request has ended.
	finished(j *job)
	// lost reports that the target crashed during the request. The request has ended.
	lost(j *job)
	// notSent reports that the target refused the connection. The request may be
	// dispatched again.
	notSent(j *job)
	// cancel removes a request whose client has disconnected or whose deadline
	// has passed after its dispatch. The scheduler must stop it if it is running.
	cancel(j *job)
}

// world simulates the targets, the network and the clients of one run.
type world struct {
	deployment *deployment
	seed       uint64
	clk        clock
	rnd        *rand.Rand // of delays; independent of the workload
	sched      scheduler
	meter      *meter
	engines    []*engine
	targets    [poolCount][]target
}

// scenario describes the conditions of a run.
type scenario struct {
	deployment  *deployment
	seed        uint64
	load        float64       // offered load as a factor on capacity
	slowTargets bool          // a third of the targets run at a third of full speed
	engineCrash bool          // 1% of the engines, at least one, crash
	onlyTier    int           // draw requests of this tier only; -1 means all tiers
	duration    time.Duration // virtual time at which the measured arrivals end
}

// Requests that arrive during warmUp are not measured, because caches start empty
// and the pools have not learned the limits of their targets. Arrivals continue for
// coolDown after the scenario's duration, so that the measured requests end under
// the same load: an interactive answer takes at most 12 s at 30 ms per token.
const (
	warmUp   = 4 * time.Second
	coolDown = 12 * time.Second
)

// run simulates the scenario with the scheduler that build returns.
func (s *scenario) run(build func(*world) scheduler) *result {
	w := &world{deployment: s.deployment, seed: s.seed, rnd: rand.New(rand.NewPCG(s.seed, 99))}
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

// scheduleArrivals schedules the arrivals of one pool. Each arrival schedules the
// next one, so that the event queue stays small.
func (w *world) scheduleArrivals(s *scenario, pool int) {
	if len(w.targets[pool]) == 0 {
		return
	}
	g := newGenerator(s.deployment, pool, s.seed, s.onlyTier)
	jobs := g.arrivals(s.load*s.deployment.capacity(pool, s.onlyTier), s.duration+coolDown)
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

// scheduleCrashes takes 1% of the engines, at least one, down for 4 s in the middle
// of the duration.
func (w *world) scheduleCrashes(duration time.Duration) {
	for i := range max(1, len(w.engines)/100) {
		e := w.engines[i]
		w.clk.at(duration/2, e.crash)
		w.clk.at(duration/2+4*time.Second, e.restore)
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

// disconnect ends a request whose client has closed its connection.
func (w *world) disconnect(j *job) {
	if j.ended() {
		return
	}
	w.sched.cancel(j)
	w.meter.disconnected(j)
	j.state = jobDisconnected
}

// expire refuses a dispatched request that has not ended by its deadline. Requests
// that were never dispatched are refused by the scheduler.
func (w *world) expire(j *job) {
	if j.state != jobRunning && j.state != jobPaused {
		return
	}
	w.sched.cancel(j)
	w.refuse(j, refusal.DeadlineExceeded)
}

// delay returns the network delay between the host and the target of a request.
func (w *world) delay(j *job) time.Duration {
	if w.hostZone(j.host) == w.zoneOf(j.target) {
		return sameZoneDelay
	}
	return crossZoneDelay
}

// dispatch sends a request to a target or resumes it there. It has no effect if
// the answer is complete and in transit.
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

// stop cancels a running request at its target and sets its state to paused. It
// has no effect if the answer is complete and in transit.
func (w *world) stop(j *job) {
	if j.complete() {
		return
	}
	j.runSeq++
	j.state = jobPaused
	w.targets[j.pool][j.target].cancel(j)
}

// pause stops a request that will be resumed later, and records the pause.
func (w *world) pause(j *job) {
	w.stop(j)
	w.meter.recordPause(j)
}

// refuse ends a request without an answer.
func (w *world) refuse(j *job, reason refusal.Reason) {
	if j.ended() {
		return
	}
	w.meter.refused(j, reason)
	j.state = jobRefused
}

// token records that the target sends a token now.
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

// answered ends a request as soon as its last token, which the target sends now,
// has reached the host.
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

// notSent reports a refused connection to the scheduler after the network delay.
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
