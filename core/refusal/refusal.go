// Package refusal defines the error with which the system refuses a request. The name of its
// reason is the same in the response header, in the log field and in the metric label.
package refusal

import (
	"fmt"
	"net/http"
	"time"
)

// RunState states whether a refused request ran at a target.
type RunState uint8

// The run states.
const (
	// NotRun means that the request did not run and will not run. Of each attempt, either no
	// byte was sent to the target, or the target responded that it did not run the request.
	NotRun RunState = iota
	// RunCompleted means that the request ran at a target.
	RunCompleted
	// RunUnknown means that the request may have run or may still run.
	RunUnknown
)

// String returns the value of the response header Sardinefront-Ran.
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

// Reason is the cause of a refusal.
type Reason uint8

// The reasons. Their names, statuses and defaults are in the table below.
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
	TargetsBackedOff
	InternalError
	PromptPartQuarantined
	DeadlineAfterSend
	StoppedAfterSend
	reasonCount
)

// properties are the name of a reason, its HTTP status and the defaults of its refusals.
type properties struct {
	name       string
	status     int
	runState   RunState
	retryAfter time.Duration
}

// statusClientClosedRequest is the status for a caller that closed its connection. HTTP
// defines no code for it; 499 is the usual one.
const statusClientClosedRequest = 499

var table = [reasonCount]properties{
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
	// An earlier submission of the id may not have reached the journal yet.
	NotFound:             {"not-found", http.StatusNotFound, RunUnknown, 0},
	NotReady:             {"not-ready", http.StatusServiceUnavailable, NotRun, time.Second},
	QuotaExceeded:        {"quota-exceeded", http.StatusTooManyRequests, NotRun, time.Second},
	Overloaded:           {"overloaded", http.StatusServiceUnavailable, NotRun, time.Second},
	TargetFull:           {"target-full", http.StatusServiceUnavailable, NotRun, 200 * time.Millisecond},
	TargetAddressReused:  {"target-moved", http.StatusServiceUnavailable, NotRun, 200 * time.Millisecond},
	RetryBudgetExhausted: {"retry-budget", http.StatusServiceUnavailable, NotRun, 500 * time.Millisecond},
	TargetsBackedOff:     {"targets-backed-off", http.StatusServiceUnavailable, NotRun, time.Second},
	InternalError:        {"internal-error", http.StatusInternalServerError, RunUnknown, 0},
	// A repeat within seconds is refused as well.
	PromptPartQuarantined: {"prompt-part-quarantined", http.StatusServiceUnavailable, NotRun, 30 * time.Second},
	// A request that was sent may have run, so these have reasons and statuses of their own beside
	// those of a request that ends in the queue.
	DeadlineAfterSend: {"deadline-after-send", http.StatusGatewayTimeout, RunUnknown, time.Second},
	StoppedAfterSend:  {"stopped-after-send", http.StatusGatewayTimeout, RunUnknown, time.Second},
}

// Reasons returns all reasons in table order.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// String returns the name used in headers, logs and metric labels.
func (r Reason) String() string {
	if r >= reasonCount {
		return fmt.Sprintf("reason(%d)", uint8(r))
	}
	return table[r].name
}

// Status returns the HTTP status code of the reason.
func (r Reason) Status() int { return table[r].status }

// StatusImpliesNotRun reports whether callers take the reason's HTTP status as a guarantee that
// the request has not run and never will.
func (r Reason) StatusImpliesNotRun() bool { return StatusImpliesNotRun(r.Status()) }

// StatusImpliesNotRun reports whether callers take the HTTP status as a guarantee that the
// request has not run and never will.
func StatusImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// DefaultRunState returns the run state of the reason's refusals unless a refusal sets its own
// with WithRunState.
func (r Reason) DefaultRunState() RunState { return table[r].runState }

// Refusal is the error that a caller receives instead of a response.
type Refusal struct {
	Reason   Reason
	RunState RunState
	// RetryAfter is the delay suggested to the caller, or 0 if repeating the request is
	// pointless.
	RetryAfter time.Duration
	// Detail describes the cause for logs and for the response.
	Detail string
}

// New returns a Refusal with the reason's defaults. The format and its arguments give the
// Detail.
func New(r Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: r, RunState: table[r].runState, RetryAfter: table[r].retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// WithRunState returns a copy of the refusal with the given run state.
func (f *Refusal) WithRunState(ran RunState) *Refusal {
	c := *f
	c.RunState = ran
	return &c
}

// Error implements error.
func (f *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Reason, f.RunState, f.Detail)
}
