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
	failureThreshold = 3
	// silencesInRow is lower because each silence has already cost a caller the
	// whole first-byte timeout.
	timeoutThreshold = 2
	// failureRate ejects a target that fails often but not in a row.
	failureRateThreshold = 0.5
	// minEvidence keeps the rate of a few requests from ejecting a target.
	minRateObservations = 5
	// errorRate and minErrors are the same for error answers.
	errorRateThreshold       = 0.7
	minErrorRateObservations = 8
	// decay forgets evidence; it halves about every 10 observations.
	observationDecay = 0.93
	// slowFactor and slowFor eject a target that stays far above its own
	// unloaded speed although its limit has shrunk to the minimum.
	slowdownThreshold = 6
	slowdownDuration  = 2 * time.Second
	// firstEjection doubles with each ejection up to maxEjection.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = time.Minute
	// trialSuccesses ends a trial.
	trialSuccessThreshold = 3
	// rampTime is how long the weight grows from rampFrom to 1 after a trial.
	rampDuration      = 10 * time.Second
	rampInitialWeight = 0.1
	// forgiveAfter is how long a target stays healthy until an earlier ejection
	// no longer lengthens the next one.
	ejectionResetAfter = 2 * time.Minute
)

// Tracker holds the evidence about one target. The zero value is healthy. It
// is not safe for concurrent use.
type Tracker struct {
	state                     State
	consecutiveFailures       int // in a row
	consecutiveTimeouts       int // in a row
	failedWeight, totalWeight float64
	lastFailure               time.Time
	slowSince                 time.Time
	ejectedUntil              time.Time // end of the ejection
	rampStart                 time.Time
	ejections                 int
	lastEjected               time.Time
	trialSuccesses            int // in the trial
}

// Observe records evidence and returns the reason if it ejects the target now,
// else an empty string.
func (t *Tracker) Observe(o Observation, now time.Time) string {
	t.totalWeight = t.totalWeight*observationDecay + 1
	t.failedWeight *= observationDecay
	if o == Success {
		t.consecutiveFailures, t.consecutiveTimeouts = 0, 0
		t.observeSuccess(now)
		return ""
	}
	t.failedWeight++
	t.lastFailure = now
	if o == ErrorResponse {
		return t.observeError(now)
	}
	t.consecutiveFailures++
	if o == Timeout {
		t.consecutiveTimeouts++
	}
	return t.evaluate(now)
}

// erred handles an error answer. In a trial it shows that the target is back.
func (t *Tracker) observeError(now time.Time) string {
	t.consecutiveFailures, t.consecutiveTimeouts = 0, 0
	t.observeSuccess(now)
	if t.state == Healthy && t.totalWeight >= minErrorRateObservations && t.failedWeight/t.totalWeight >= errorRateThreshold {
		return t.eject("error rate", now)
	}
	return ""
}

func (t *Tracker) observeSuccess(now time.Time) {
	if t.state != Trial {
		return
	}
	t.trialSuccesses++
	if t.trialSuccesses >= trialSuccessThreshold {
		t.state = Healthy
		t.rampStart = now
		t.failedWeight, t.totalWeight = 0, 0
	}
}

func (t *Tracker) evaluate(now time.Time) string {
	switch {
	case t.state == Ejected:
		return ""
	case t.state == Trial:
		return t.eject("failed its trial", now)
	case t.consecutiveTimeouts >= timeoutThreshold:
		return t.eject("silent", now)
	case t.consecutiveFailures >= failureThreshold:
		return t.eject("failures in a row", now)
	case t.totalWeight >= minRateObservations-1 && t.failedWeight/t.totalWeight >= failureRateThreshold:
		return t.eject("failure rate", now)
	}
	return ""
}

// doubtLife is how long a failure makes a target less attractive than others, and
// doubtPrior keeps a single one from weighing like many.
const (
	failureScoreFade  = 10 * time.Second
	failureScorePrior = 3
)

// Doubt returns the part of the recent evidence that is bad, 0..1, faded with the
// time since the last failure. It steers work away before the evidence suffices to
// eject, and lets it come back without a trial.
func (t *Tracker) FailureScore(now time.Time) float64 {
	if t.failedWeight == 0 {
		return 0
	}
	remaining := 1 - float64(now.Sub(t.lastFailure))/float64(failureScoreFade)
	return max(0, remaining) * t.failedWeight / (t.totalWeight + failureScorePrior)
}

// Slowdown records how many times slower than its unloaded speed the target
// is. It returns the reason if that ejects the target now.
func (t *Tracker) RecordSlowdown(factor float64, now time.Time) string {
	if factor < slowdownThreshold || t.state != Healthy {
		t.slowSince = time.Time{}
		return ""
	}
	if t.slowSince.IsZero() {
		t.slowSince = now
	}
	if now.Sub(t.slowSince) < slowdownDuration {
		return ""
	}
	return t.eject("slow", now)
}

func (t *Tracker) eject(reason string, now time.Time) string {
	if now.Sub(t.lastEjected) > ejectionResetAfter {
		t.ejections = 0
	}
	d := time.Duration(float64(baseEjectionTime) * math.Pow(2, float64(min(t.ejections, 10))))
	t.ejectedUntil = now.Add(min(d, maxEjectionTime))
	t.ejections++
	t.lastEjected = now
	t.state = Ejected
	t.consecutiveFailures, t.consecutiveTimeouts, t.trialSuccesses = 0, 0, 0
	t.slowSince = time.Time{}
	return reason
}

// Advance starts the trial of a target whose ejection has ended. It reports
// whether the state changed.
func (t *Tracker) Advance(now time.Time) bool {
	if t.state != Ejected || now.Before(t.ejectedUntil) {
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
	grown := float64(now.Sub(t.rampStart)) / float64(rampDuration)
	return min(1, rampInitialWeight+(1-rampInitialWeight)*grown)
}

// Panic reports whether so many targets are ejected that the host distrusts its
// own observations: more than half. The only target of a pool counts too, because
// without it the pool would answer nothing at all.
func PanicMode(ejected, targets int) bool {
	return 2*ejected > targets
}
