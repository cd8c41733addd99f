// Package refusal defines the one typed refusal of the system. Its reason is
// the response header, the log field and the counter label.
package refusal

import (
	"fmt"
	"net/http"
	"time"
)

// Ran says whether a refused request ran at its target.
type RunState uint8

// NotRun is said only where it is certain that no byte went to a target.
const (
	NotRun RunState = iota
	RunCompleted
	RunUnknown
)

// String returns the value of the Sardinefront-Ran header.
func (r RunState) String() string {
	switch r {
	case NotRun:
		return "not-run"
	case RunCompleted:
		return "ran"
	default:
		return "unknown"
	}
}

// Reason identifies why a request was refused.
type Reason uint8

// The reasons. Each has a row in the table below.
const (
	BadRequest Reason = iota
	BodyTooLarge
	CallerTimeout
	NoRule
	UnknownPool
	QueueFull
	Shed
	DeadlineExceeded
	NoTarget
	StoreUnavailable
	JournalUnreachable
	InProgress
	OutcomeUnknown
	OutcomeFailed
	TargetRefused
	TargetUnreachable
	TargetFailed
	ResponseTruncated
	ResponseMismatched
	TargetTimedOut
	CallerDisconnected
	ShuttingDown
	Unauthorized
	NotFound
	NotReady
	QuotaExceeded
	Overloaded
	TargetFull
	TargetAddressReused
	RetryBudgetExhausted
	reasonCount
)

// row describes one reason.
type row struct {
	name   string
	status int
	ran    RunState
	retry  time.Duration
}

// statusClientClosedRequest marks a caller that closed its connection. HTTP
// defines no code for it; 499 is the usual one.
const statusClientClosedRequest = 499

var table = [reasonCount]row{
	BadRequest:         {"bad-request", http.StatusBadRequest, NotRun, 0},
	BodyTooLarge:       {"body-too-large", http.StatusRequestEntityTooLarge, NotRun, 0},
	CallerTimeout:      {"caller-timeout", http.StatusRequestTimeout, NotRun, 0},
	NoRule:             {"no-rule", http.StatusNotFound, NotRun, 0},
	UnknownPool:        {"unknown-pool", http.StatusNotFound, NotRun, 0},
	QueueFull:          {"queue-full", http.StatusTooManyRequests, NotRun, 2 * time.Second},
	Shed:               {"shed", http.StatusServiceUnavailable, NotRun, 5 * time.Second},
	DeadlineExceeded:   {"deadline", http.StatusGatewayTimeout, NotRun, time.Second},
	NoTarget:           {"no-target", http.StatusServiceUnavailable, NotRun, 2 * time.Second},
	StoreUnavailable:   {"store-unavailable", http.StatusServiceUnavailable, NotRun, 5 * time.Second},
	JournalUnreachable: {"journal-unreachable", http.StatusServiceUnavailable, NotRun, 5 * time.Second},
	InProgress:         {"in-progress", http.StatusConflict, RunUnknown, 2 * time.Second},
	OutcomeUnknown:     {"outcome-unknown", http.StatusConflict, RunUnknown, 0},
	OutcomeFailed:      {"outcome-failed", http.StatusBadGateway, RunCompleted, 0},
	TargetRefused:      {"target-refused", http.StatusBadGateway, RunUnknown, time.Second},
	TargetUnreachable:  {"target-unreachable", http.StatusBadGateway, NotRun, time.Second},
	TargetFailed:       {"target-failed", http.StatusBadGateway, RunUnknown, time.Second},
	ResponseTruncated:  {"answer-cut", http.StatusBadGateway, RunUnknown, time.Second},
	ResponseMismatched: {"answer-mismatched", http.StatusBadGateway, RunUnknown, time.Second},
	TargetTimedOut:     {"target-silent", http.StatusGatewayTimeout, RunUnknown, time.Second},
	CallerDisconnected: {"caller-gone", statusClientClosedRequest, RunUnknown, 0},
	ShuttingDown:       {"shutting-down", http.StatusServiceUnavailable, NotRun, time.Second},
	Unauthorized:       {"unauthorized", http.StatusUnauthorized, NotRun, 0},
	// An earlier submission may still be on its way to the record.
	NotFound:             {"not-found", http.StatusNotFound, RunUnknown, 0},
	NotReady:             {"not-ready", http.StatusServiceUnavailable, NotRun, time.Second},
	QuotaExceeded:        {"quota-exceeded", http.StatusTooManyRequests, NotRun, time.Second},
	Overloaded:           {"overloaded", http.StatusServiceUnavailable, NotRun, time.Second},
	TargetFull:           {"target-full", http.StatusServiceUnavailable, NotRun, 200 * time.Millisecond},
	TargetAddressReused:  {"target-moved", http.StatusServiceUnavailable, NotRun, 200 * time.Millisecond},
	RetryBudgetExhausted: {"retry-budget", http.StatusServiceUnavailable, NotRun, 500 * time.Millisecond},
}

// Reasons returns all reasons in table order.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// String returns the name used by headers, logs and counters.
func (r Reason) String() string {
	if r >= reasonCount {
		return fmt.Sprintf("reason(%d)", uint8(r))
	}
	return table[r].name
}

// Status returns the HTTP status code of the reason.
func (r Reason) Status() int { return table[r].status }

// PromisesNotRun reports whether callers take the reason's status as a promise that
// the request has not run and never will.
func (r Reason) StatusImpliesNotRun() bool {
	switch r.Status() {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Ran returns what the reason says about the run unless the refusal itself
// knows better.
func (r Reason) DefaultRunState() RunState { return table[r].ran }

// Refusal is the error that a caller receives instead of an answer.
type Refusal struct {
	Reason   Reason
	RunState RunState
	// RetryAfter is 0 where a repeat makes no sense.
	RetryAfter time.Duration
	Detail     string
}

// New returns a refusal with the table's defaults for the reason.
func New(r Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: r, RunState: table[r].ran, RetryAfter: table[r].retry, Detail: fmt.Sprintf(format, args...)}
}

// WithRan returns a copy that states the given run state.
func (f *Refusal) WithRunState(ran RunState) *Refusal {
	c := *f
	c.RunState = ran
	return &c
}

// Error implements error.
func (f *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Reason, f.RunState, f.Detail)
}
