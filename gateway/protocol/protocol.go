// Package protocol holds what the path of a request needs to know of the HTTP
// messages of callers and targets, and the Codec that an adapter implements to
// read and write them. No other package of this module knows a header's name
// beyond those of HTTP itself.
package protocol

import (
	"net/http"
	"time"
)

// Call is what a caller says about its request.
type RequestInfo struct {
	// ID is the caller's id of this attempt; empty if it sent none.
	ID string
	// Key is the API key; empty if it sent none.
	APIKey string
	// Patience is how long the caller waits; 0 if it did not say.
	Timeout time.Duration
	// Counted says that the request states its tokens.
	HasTokenCounts bool
	// PromptTokens and MaxTokens are the prompt and the most it may generate.
	PromptTokens, MaxTokens int
	// LengthHint is the caller's estimate of the generated tokens; 0 if unknown.
	OutputTokensHint int
	// Prefix lists the parts of the prompt in order.
	PromptParts []PromptPart
	// After is the id of the last event that the caller has; empty for a new run.
	LastEventID string
}

// Part is one part of a prompt, which other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Attempt is what the system adds to a request that it sends to a target.
type Attempt struct {
	// Instance is the incarnation that may run the request.
	Instance string
	// Organisation is the holder of the caller's key; empty on public routes.
	Organisation string
	// Remaining is the time left of the caller's patience.
	Remaining time.Duration
	// Reservation is the granted reservation; empty if none was taken.
	Reservation string
	// After is the id of the last event that was passed on; empty at the start.
	LastEventID string
}

// Load is what a target says of itself.
type LoadReport struct {
	Running, Waiting, Slots int
}

// Info is what the head of a target's answer says besides HTTP.
type ResponseInfo struct {
	// ID is the id of the request that the answer belongs to.
	ID string
	// NotRun says that the target did not run the request and never will.
	NotRun bool
	// Misdirected says that another incarnation has the address.
	Misdirected bool
	// Load is nil if the answer does not tell.
	Load *LoadReport
}

// Message is one request to a target.
type Request struct {
	Method string
	// URI is the request target as on the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Codec translates between HTTP messages and the types of this package.
type Codec interface {
	// Call reads what a caller says about its request.
	RequestInfo(h http.Header) RequestInfo
	// Forward returns the headers of a request for a target: the caller's, less
	// those that concern one connection or that only the system sets, plus those
	// of the attempt.
	RequestHeader(caller http.Header, a Attempt) http.Header
	// Info reads the head of a target's answer.
	ResponseInfo(status int, h http.Header) ResponseInfo
	// Answer returns the headers of a target's answer for the caller.
	ResponseHeader(target http.Header) http.Header
	// Reserve returns the call that reserves a slot and memory at a target.
	ReserveRequest(instance string, tokens int, life time.Duration) Request
	// Reservation reads the answer of that call; empty if the target is full.
	ParseReservation(status int, body []byte) (string, error)
	// Release returns the call that gives a reservation back.
	ReleaseRequest(instance, reservation string) Request
}
