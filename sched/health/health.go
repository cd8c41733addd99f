// Package health ejects targets on evidence of failure, slowness or silence and
// brings them back with a trickle of traffic.
package health

import (
	"math"
	"time"
)

// Evidence is one observation of a target.
type Observation uint8

const (
	// Success is a complete answer.
	Success Observation = iota
	// Failure is an error answer, a cut answer or a failed connection.
	Failure
	// Silence is a request without bytes in the time allowed.
	Timeout
	// Erred is an error answer of a target that is alive. Requests fail for reasons of
	// their own, so errors eject only where they are the rule.
	ErrorResponse
)

// State is the state of a target.
type State uint8

const (
	// Healthy targets get traffic in proportion to Weight.
	Healthy State = iota
	// Ejected targets get nothing.
	Ejected
	// Trial targets get one request at a time until enough succeed.
	Trial
)

const (
	// failuresInRow ejects a target that fails outright.
	failuresInRow = 3
	// silencesInRow is lower because each silence has already cost a caller the
	// whole first-byte timeout.
	silencesInRow = 2
	// failureRate ejects a target that fails often but not in a row.
	failureRate = 0.5
	// minEvidence keeps the rate of a few requests from ejecting a target.
	minEvidence = 5
	// errorRate and minErrors are the same for error answers.
	errorRate = 0.7
	minErrors = 8
	// decay forgets evidence; it halves about every 10 observations.
	decay = 0.93
	// slowFactor and slowFor eject a target that stays far above its own
	// unloaded speed although its limit has shrunk to the minimum.
	slowFactor = 6
	slowFor    = 2 * time.Second
	// firstEjection doubles with each ejection up to maxEjection.
	firstEjection = 5 * time.Second
	maxEjection   = time.Minute
	// trialSuccesses ends a trial.
	trialSuccesses = 3
	// rampTime is how long the weight grows from rampFrom to 1 after a trial.
	rampTime = 10 * time.Second
	rampFrom = 0.1
	// forgiveAfter is how long a target stays healthy until an earlier ejection
	// no longer lengthens the next one.
	forgiveAfter = 2 * time.Minute
)

// Tracker holds the evidence about one target. The zero value is healthy. It
// is not safe for concurrent use.
type Tracker struct {
	state       State
	failures    int // in a row
	silences    int // in a row
	bad, all    float64
	lastBad     time.Time
	slowSince   time.Time
	until       time.Time // end of the ejection
	rampStart   time.Time
	ejections   int
	lastEjected time.Time
	successes   int // in the trial
}

// Observe records evidence and returns the reason if it ejects the target now,
// else an empty string.
func (t *Tracker) Observe(e Observation, now time.Time) string {
	t.all = t.all*decay + 1
	t.bad *= decay
	if e == Success {
		t.failures, t.silences = 0, 0
		t.succeed(now)
		return ""
	}
	t.bad++
	t.lastBad = now
	if e == ErrorResponse {
		return t.erred(now)
	}
	t.failures++
	if e == Timeout {
		t.silences++
	}
	return t.judge(now)
}

// erred handles an error answer. In a trial it shows that the target is back.
func (t *Tracker) erred(now time.Time) string {
	t.failures, t.silences = 0, 0
	t.succeed(now)
	if t.state == Healthy && t.all >= minErrors && t.bad/t.all >= errorRate {
		return t.eject("error rate", now)
	}
	return ""
}

func (t *Tracker) succeed(now time.Time) {
	if t.state != Trial {
		return
	}
	t.successes++
	if t.successes >= trialSuccesses {
		t.state = Healthy
		t.rampStart = now
		t.bad, t.all = 0, 0
	}
}

func (t *Tracker) judge(now time.Time) string {
	switch {
	case t.state == Ejected:
		return ""
	case t.state == Trial:
		return t.eject("failed its trial", now)
	case t.silences >= silencesInRow:
		return t.eject("silent", now)
	case t.failures >= failuresInRow:
		return t.eject("failures in a row", now)
	case t.all >= minEvidence-1 && t.bad/t.all >= failureRate:
		return t.eject("failure rate", now)
	}
	return ""
}

// doubtLife is how long a failure makes a target less attractive than others, and
// doubtPrior keeps a single one from weighing like many.
const (
	doubtLife  = 10 * time.Second
	doubtPrior = 3
)

// Doubt returns the part of the recent evidence that is bad, 0..1, faded with the
// time since the last failure. It steers work away before the evidence suffices to
// eject, and lets it come back without a trial.
func (t *Tracker) FailureScore(now time.Time) float64 {
	if t.bad == 0 {
		return 0
	}
	faded := 1 - float64(now.Sub(t.lastBad))/float64(doubtLife)
	return max(0, faded) * t.bad / (t.all + doubtPrior)
}

// Slowdown records how many times slower than its unloaded speed the target
// is. It returns the reason if that ejects the target now.
func (t *Tracker) RecordSlowdown(factor float64, now time.Time) string {
	if factor < slowFactor || t.state != Healthy {
		t.slowSince = time.Time{}
		return ""
	}
	if t.slowSince.IsZero() {
		t.slowSince = now
	}
	if now.Sub(t.slowSince) < slowFor {
		return ""
	}
	return t.eject("slow", now)
}

func (t *Tracker) eject(why string, now time.Time) string {
	if now.Sub(t.lastEjected) > forgiveAfter {
		t.ejections = 0
	}
	d := time.Duration(float64(firstEjection) * math.Pow(2, float64(min(t.ejections, 10))))
	t.until = now.Add(min(d, maxEjection))
	t.ejections++
	t.lastEjected = now
	t.state = Ejected
	t.failures, t.silences, t.successes = 0, 0, 0
	t.slowSince = time.Time{}
	return why
}

// Advance starts the trial of a target whose ejection has ended. It reports
// whether the state changed.
func (t *Tracker) Advance(now time.Time) bool {
	if t.state != Ejected || now.Before(t.until) {
		return false
	}
	t.state = Trial
	return true
}

// State returns the current state.
func (t *Tracker) State() State { return t.state }

// Weight returns the part of its limit that the target may use, 0..1.
func (t *Tracker) Weight(now time.Time) float64 {
	if t.state == Ejected {
		return 0
	}
	if t.rampStart.IsZero() {
		return 1
	}
	grown := float64(now.Sub(t.rampStart)) / float64(rampTime)
	return min(1, rampFrom+(1-rampFrom)*grown)
}

// Panic reports whether so many targets are ejected that the host distrusts its
// own observations: more than half. The only target of a pool counts too, because
// without it the pool would answer nothing at all.
func PanicMode(ejected, targets int) bool {
	return 2*ejected > targets
}
