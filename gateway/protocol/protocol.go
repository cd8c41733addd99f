// Package protocol defines the metadata that the request path reads from and adds to HTTP
// messages of callers and targets, and the Codec that encodes it. Only the
// implementation of Codec depends on header names other than those of HTTP itself.
package protocol

import (
	"net/http"
	"time"
)

// RequestInfo is the metadata that a caller sends with a request.
type RequestInfo struct {
	// ID is the caller's id of this request; empty if it sent none.
	ID string
	// APIKey is the API key; empty if it sent none.
	APIKey string
	// Timeout is how long the caller waits; 0 if the request does not state it.
	Timeout time.Duration
	// HasTokenCounts is true if the request states PromptTokens and MaxTokens.
	HasTokenCounts bool
	// PromptTokens is the length of the prompt, MaxTokens the limit for generated tokens.
	PromptTokens, MaxTokens int
	// OutputTokensHint is the caller's estimate of the generated tokens; 0 if unknown.
	OutputTokensHint int
	// PromptParts lists the parts of the prompt in order.
	PromptParts []PromptPart
	// LastEventID is the id of the last event that the caller received; empty for a new
	// stream.
	LastEventID string
}

// PromptPart is one part of a prompt, which other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Attempt is the metadata that the host adds to a request for a target.
type Attempt struct {
	// Instance is the incarnation of the target that may run the request; any other one
	// must reject it.
	Instance string
	// Organisation owns the caller's API key; empty on public routes.
	Organisation string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Reservation is the id of the granted reservation; empty if there is none.
	Reservation string
	// LastEventID is the id of the last event that was forwarded to the caller; empty for
	// the first attempt.
	LastEventID string
}

// LoadReport is the load that a target reports.
type LoadReport struct {
	// Running and Waiting count requests. Slots is the number that the target runs at once.
	Running, Waiting, Slots int
	// WorkTime is how long work takes on the target's machine at the time of the report, as a
	// multiple of its usual time; 0 if the target does not report it.
	WorkTime float64
}

// ResponseInfo is the metadata in the headers of a target's response.
type ResponseInfo struct {
	// ID is the id of the request that the response belongs to.
	ID string
	// NotRun is true if the target did not run the request and never will.
	NotRun bool
	// Misdirected is true if another incarnation has the address.
	Misdirected bool
	// Load is nil if the response reports none, or one that cannot be read.
	Load *LoadReport
	// UnreadableLoad is the load report as received if it cannot be read, else empty.
	UnreadableLoad string
	// Leaving is true if the target states that it is about to shut down. It finishes what it
	// runs and wants no further requests.
	Leaving bool
	// ColdFor is how long the target says that it stays cold; 0 if it is not or did not say.
	ColdFor time.Duration
	// RetryAfter is the unparsed value of the header of that name; empty if there is none.
	RetryAfter string
	// Date is when the target sent the response, by its own clock; zero if it did not say.
	Date time.Time
}

// Request is one HTTP request to a target.
type Request struct {
	Method string
	// URI is the request target in origin form, as on the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Codec translates between HTTP messages and the types of this package.
type Codec interface {
	// RequestInfo reads the metadata of a caller's request.
	RequestInfo(h http.Header) RequestInfo
	// RequestHeader returns the headers of a request for a target: the caller's without
	// hop-by-hop headers and headers reserved for the host, plus those of the attempt.
	RequestHeader(caller http.Header, a Attempt) http.Header
	// ResponseInfo reads the metadata of a target's response.
	ResponseInfo(status int, h http.Header) ResponseInfo
	// ResponseHeader returns the headers of a target's response that go to the caller.
	ResponseHeader(target http.Header) http.Header
	// ReserveRequest returns the request that reserves a slot and KV memory at a target for
	// the given life.
	ReserveRequest(instance string, tokens int, life time.Duration) Request
	// ParseReservation reads the response to ReserveRequest and returns the id of the
	// reservation, empty if the target is full.
	ParseReservation(status int, body []byte) (string, error)
	// ReleaseRequest returns the request that cancels a reservation.
	ReleaseRequest(instance, reservation string) Request
}
