// Package health implements outlier detection: it ejects targets that fail, time out or are
// too slow, and readmits them after a trial with little traffic.
package health

import (
	"math"
	"time"
)

// Observation is the result of one request at a target.
type Observation uint8

const (
	// Success is a complete response.
	Success Observation = iota
	// Failure is a failed connection or a broken response. sched/pool also records error
	// responses as failures.
	Failure
	// Timeout is a request without any byte received in the time allowed.
	Timeout
	// ErrorResponse is an error response of a target that is alive. Errors may be caused by
	// the requests themselves, so they eject a target only at a high error rate.
	ErrorResponse
)

// State is the health state of a target.
type State uint8

const (
	// Healthy targets get traffic in proportion to Weight.
	Healthy State = iota
	// Ejected targets get no traffic.
	Ejected
	// Trial targets get one request at a time until enough succeed.
	Trial
)

const (
	// failureThreshold is the number of failures in a row that eject a target.
	failureThreshold = 3
	// timeoutThreshold is the number of timeouts in a row that eject a target. It is lower
	// because each timeout has already cost a caller the whole first-byte timeout.
	timeoutThreshold = 2
	// failureRateThreshold is the failure rate that ejects a target that fails often but not
	// in a row.
	failureRateThreshold = 0.5
	// minRateObservations keeps a target from being ejected by the rate of a few requests.
	minRateObservations = 5
	// errorRateThreshold and minErrorRateObservations are the same for error responses.
	errorRateThreshold       = 0.7
	minErrorRateObservations = 8
	// observationDecay reduces the weight of earlier observations with each new one. It
	// halves about every 10 observations.
	observationDecay = 0.93
	// slowdownThreshold and slowdownDuration are the slowdown factor and how long it must
	// last to eject a target: one that stays slow although its limit has shrunk to the
	// minimum.
	slowdownThreshold = 6
	slowdownDuration  = 2 * time.Second
	// baseEjectionTime is the length of the first ejection. It doubles with each further
	// ejection up to maxEjectionTime.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = time.Minute
	// trialSuccessThreshold is the number of successes that end a trial.
	trialSuccessThreshold = 3
	// rampDuration is how long the weight takes to grow from rampInitialWeight to 1 after a
	// trial.
	rampDuration      = 10 * time.Second
	rampInitialWeight = 0.1
	// ejectionResetAfter is the time since the start of the last ejection after which it no
	// longer lengthens the next one.
	ejectionResetAfter = 2 * time.Minute
)

// Tracker tracks the health of one target. The zero value is healthy. It is not safe for
// concurrent use.
type Tracker struct {
	state State
	// consecutiveFailures and consecutiveTimeouts are sums of weights: a timeout may count less than
	// 1.
	consecutiveFailures       float64
	consecutiveTimeouts       float64
	lastTimeoutWeight         float64
	failedWeight, totalWeight float64 // decayed counts of failed and of all observations
	lastFailure               time.Time
	slowSince                 time.Time
	ejectedUntil              time.Time
	ejectedSilent             bool // a timeout was the reason of the ejection
	rampStart                 time.Time
	ejections                 int
	lastEjected               time.Time
	trialSuccesses            int
}

// Observe records an observation and returns the reason if it ejects the target now, else an
// empty string.
func (t *Tracker) Observe(o Observation, now time.Time) string {
	if o == Timeout {
		return t.ObserveTimeout(1, now)
	}
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
	return t.evaluate(o, now)
}

// ObserveTimeout is Observe for a timeout that is a fault of the target only to the given weight,
// 0..1.
func (t *Tracker) ObserveTimeout(weight float64, now time.Time) string {
	t.totalWeight = t.totalWeight*observationDecay + 1
	t.failedWeight *= observationDecay
	t.lastTimeoutWeight = weight
	return t.addTimeout(weight, now)
}

// RaiseTimeout raises the weight of a timeout that was observed before.
func (t *Tracker) RaiseTimeout(by float64, now time.Time) string { return t.addTimeout(by, now) }

func (t *Tracker) addTimeout(weight float64, now time.Time) string {
	if weight == 0 {
		return ""
	}
	t.failedWeight += weight
	t.lastFailure = now
	t.consecutiveFailures += weight
	t.consecutiveTimeouts += weight
	return t.evaluate(Timeout, now)
}

// observeError records an error response. In a trial it counts as a success, because the
// target responds again.
func (t *Tracker) observeError(now time.Time) string {
	t.consecutiveFailures, t.consecutiveTimeouts = 0, 0
	t.observeSuccess(now)
	if t.state == Healthy && t.totalWeight >= minErrorRateObservations && t.failedWeight/t.totalWeight >= errorRateThreshold {
		return t.eject("error rate", now)
	}
	return ""
}

// observeSuccess counts a success in a trial and ends the trial after enough of them.
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

// evaluate ejects the target if it fails in a trial, or if its failures, timeouts or failure
// rate reach a threshold. It returns the reason.
func (t *Tracker) evaluate(o Observation, now time.Time) string {
	switch {
	case t.state == Ejected:
		return ""
	case t.state == Trial && o == Timeout && t.consecutiveTimeouts < 1:
		return ""
	case t.state == Trial:
		reason := t.eject("failed its trial", now)
		t.ejectedSilent = o == Timeout
		return reason
	case t.consecutiveTimeouts >= timeoutThreshold:
		reason := t.eject("silent", now)
		t.ejectedSilent = true
		return reason
	case t.consecutiveFailures >= failureThreshold:
		return t.eject("failures in a row", now)
	case t.totalWeight >= minRateObservations-1 && t.failedWeight/t.totalWeight >= failureRateThreshold:
		return t.eject("failure rate", now)
	}
	return ""
}

// failureScoreFade is the time after a failure in which the failure score falls to 0, and
// failureScorePrior keeps a single failure from weighing like many.
const (
	failureScoreFade  = 10 * time.Second
	failureScorePrior = 3
)

// FailureScore returns the fraction of the recent observations that were failures, timeouts or
// errors, 0..1, reduced with the time since the last of them. Schedulers use it to prefer other
// targets before a target is ejected, and to return to the target without a trial.
func (t *Tracker) FailureScore(now time.Time) float64 {
	if t.failedWeight == 0 {
		return 0
	}
	remaining := 1 - float64(now.Sub(t.lastFailure))/float64(failureScoreFade)
	return max(0, remaining) * t.failedWeight / (t.totalWeight + failureScorePrior)
}

// ObserveResponsive records that the target has gone on with a request after a timeout was
// observed for it. The timeout then no longer counts as a failure. It reports whether that ends
// an ejection for silence: the target then starts its trial, and the ejection does not lengthen
// the next one.
func (t *Tracker) ObserveResponsive(now time.Time) bool {
	t.consecutiveTimeouts = 0
	t.consecutiveFailures = max(0, t.consecutiveFailures-t.lastTimeoutWeight)
	t.failedWeight = max(0, t.failedWeight-t.lastTimeoutWeight)
	if t.state != Ejected || !t.ejectedSilent {
		return false
	}
	t.ejections--
	t.ejectedUntil = now
	return t.Advance(now)
}

// RecordSlowdown records by what factor the target is slower than it should be: its latency
// relative to its goal, which depends on its unloaded latency. It returns the reason if that
// ejects the target now, else an empty string.
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

// eject ejects the target and returns the reason.
func (t *Tracker) eject(reason string, now time.Time) string {
	if now.Sub(t.lastEjected) > ejectionResetAfter {
		t.ejections = 0
	}
	d := time.Duration(float64(baseEjectionTime) * math.Pow(2, float64(min(t.ejections, 10))))
	t.ejectedUntil = now.Add(min(d, maxEjectionTime))
	t.ejections++
	t.lastEjected = now
	t.state = Ejected
	t.ejectedSilent = false
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
	// Requests that were sent before the ejection may have ended since.
	t.consecutiveFailures, t.consecutiveTimeouts = 0, 0
	return true
}

// SuspectedSilent reports whether the timeouts in a row are halfway to an ejection.
func (t *Tracker) SuspectedSilent() bool { return 2*t.consecutiveTimeouts >= timeoutThreshold }

// State returns the current state.
func (t *Tracker) State() State { return t.state }

// Weight returns the fraction of the target's limit that may be used, 0..1.
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

// PanicMode reports whether more than half of the targets are ejected. The cause is then more
// likely this host or its network, and ejections should be ignored. This also applies to the
// only target of a pool, because without it the pool could serve no request at all.
func PanicMode(ejected, targets int) bool {
	return 2*ejected > targets
}
