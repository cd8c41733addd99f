// Package refusal defines the one typed refusal of the system. Its reason is
// the response header, the log field and the counter label.
package refusal

import (
	"fmt"
	"net/http"
	"time"
)

// Ran says whether a refused request ran at its target.
type Ran uint8

// NotRun is said only where it is certain that no byte went to a target.
const (
	NotRun Ran = iota
	Completed
	Unknown
)

// String returns the value of the Sardinefront-Ran header.
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "not-run"
	case Completed:
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
	DeadlinePassed
	NoTarget
	StoreUnavailable
	JournalUnreachable
	InProgress
	OutcomeUnknown
	OutcomeFailed
	TargetRefused
	TargetUnreachable
	TargetFailed
	AnswerCut
	AnswerMismatched
	TargetSilent
	CallerGone
	ShuttingDown
	Unauthorized
	NotFound
	NotReady
	QuotaExceeded
	Overloaded
	TargetFull
	TargetMoved
	RetryBudget
	reasonCount
)

// row describes one reason.
type row struct {
	name   string
	status int
	ran    Ran
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
	DeadlinePassed:     {"deadline", http.StatusGatewayTimeout, NotRun, time.Second},
	NoTarget:           {"no-target", http.StatusServiceUnavailable, NotRun, 2 * time.Second},
	StoreUnavailable:   {"store-unavailable", http.StatusServiceUnavailable, NotRun, 5 * time.Second},
	JournalUnreachable: {"journal-unreachable", http.StatusServiceUnavailable, NotRun, 5 * time.Second},
	InProgress:         {"in-progress", http.StatusConflict, Unknown, 2 * time.Second},
	OutcomeUnknown:     {"outcome-unknown", http.StatusConflict, Unknown, 0},
	OutcomeFailed:      {"outcome-failed", http.StatusBadGateway, Completed, 0},
	TargetRefused:      {"target-refused", http.StatusBadGateway, Unknown, time.Second},
	TargetUnreachable:  {"target-unreachable", http.StatusBadGateway, NotRun, time.Second},
	TargetFailed:       {"target-failed", http.StatusBadGateway, Unknown, time.Second},
	AnswerCut:          {"answer-cut", http.StatusBadGateway, Unknown, time.Second},
	AnswerMismatched:   {"answer-mismatched", http.StatusBadGateway, Unknown, time.Second},
	TargetSilent:       {"target-silent", http.StatusGatewayTimeout, Unknown, time.Second},
	CallerGone:         {"caller-gone", statusClientClosedRequest, Unknown, 0},
	ShuttingDown:       {"shutting-down", http.StatusServiceUnavailable, NotRun, time.Second},
	Unauthorized:       {"unauthorized", http.StatusUnauthorized, NotRun, 0},
	// An earlier submission may still be on its way to the record.
	NotFound:      {"not-found", http.StatusNotFound, Unknown, 0},
	NotReady:      {"not-ready", http.StatusServiceUnavailable, NotRun, time.Second},
	QuotaExceeded: {"quota-exceeded", http.StatusTooManyRequests, NotRun, time.Second},
	Overloaded:    {"overloaded", http.StatusServiceUnavailable, NotRun, time.Second},
	TargetFull:    {"target-full", http.StatusServiceUnavailable, NotRun, 200 * time.Millisecond},
	TargetMoved:   {"target-moved", http.StatusServiceUnavailable, NotRun, 200 * time.Millisecond},
	RetryBudget:   {"retry-budget", http.StatusServiceUnavailable, NotRun, 500 * time.Millisecond},
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
func (r Reason) PromisesNotRun() bool {
	switch r.Status() {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Ran returns what the reason says about the run unless the refusal itself
// knows better.
func (r Reason) Ran() Ran { return table[r].ran }

// Refusal is the error that a caller receives instead of an answer.
type Refusal struct {
	Reason Reason
	Ran    Ran
	// RetryAfter is 0 where a repeat makes no sense.
	RetryAfter time.Duration
	Detail     string
}

// New returns a refusal with the table's defaults for the reason.
func New(r Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: r, Ran: table[r].ran, RetryAfter: table[r].retry, Detail: fmt.Sprintf(format, args...)}
}

// WithRan returns a copy that states the given run state.
func (f *Refusal) WithRan(ran Ran) *Refusal {
	c := *f
	c.Ran = ran
	return &c
}

// Error implements error.
func (f *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Reason, f.Ran, f.Detail)
}
