package target

import (
	"errors"
	"fmt"
)

// Errors that callers compare with errors.Is.
var (
	// ErrUnknownStream means that the engine has no stream for the request id.
	ErrUnknownStream = errors.New("stream unknown to the engine")
	// ErrNotCached means that the prefix is not in the engine's KV cache.
	ErrNotCached = errors.New("prefix not in the engine's cache")
	// ErrBodyTooLarge means that a body exceeds the limit of ReadAll.
	ErrBodyTooLarge = errors.New("body too large")
	// ErrMalformed means that the response violates the protocol.
	ErrMalformed = errors.New("malformed response")
	// ErrEventMemory means that an event is incomplete while other streams use up the memory for
	// large ones.
	ErrEventMemory = errors.New("no memory left for a large event")
	// ErrTimeout means that the target did not respond in time.
	ErrTimeout = errors.New("target did not respond in time")
)

// Reason classifies a SendError.
type Reason string

// The reasons of a SendError.
const (
	ReasonInvalid Reason = "invalid" // the request is not valid in HTTP
	ReasonDial    Reason = "dial"    // the connection could not be established
	// ReasonClosedTarget means that Config.Admit returned false.
	ReasonClosedTarget Reason = "closed-target"
	ReasonCancelled    Reason = "cancelled"  // the context ended
	ReasonWrite        Reason = "write"      // the request was not written completely
	ReasonFirstByte    Reason = "first-byte" // no response within the first-byte timeout
	ReasonClosed       Reason = "closed"     // the target closed the connection before the response
	ReasonMalformed    Reason = "malformed"  // the response is not valid
	ReasonMismatch     Reason = "mismatch"   // the response belongs to another request
	ReasonRefused      Reason = "refused"    // the engine refused a control command
)

// SendError is the error of Target.Do and of the methods of Engine.
type SendError struct {
	Target string
	// Sent is false only if no byte of the request can have reached the target.
	Sent   bool
	Reason Reason
	Err    error
}

func (e *SendError) Error() string {
	sent := "not sent"
	if e.Sent {
		sent = "sent"
	}
	return fmt.Sprintf("target %s: %s (%s): %v", e.Target, e.Reason, sent, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// TruncatedError means that a response ended before it was complete.
type TruncatedError struct {
	// Offset is the length of what Next has returned: bytes for a plain body,
	// events for an event stream. Events count from the start of the stream, also
	// after Resume, so Offset can be passed to Resume.
	Offset int64
	Err    error
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("response truncated at offset %d: %v", e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Err }

// MismatchError means that a response or an event has the id of another request, or
// lacks a request id, in which case Got is empty.
type MismatchError struct {
	Want, Got string
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("response has request id %q, expected %q", e.Got, e.Want)
}

// StatusError means that an engine responded to a control command with an
// unexpected status.
type StatusError struct {
	Status int
	// Detail is the start of the response body.
	Detail string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Detail)
}

// StaleTokenError means that an engine rejected a command because it has received
// one with a greater fencing token. The command had no effect.
type StaleTokenError struct {
	// Sent is the token of the command. Current is the greatest token that the engine
	// has received; 0 if the engine did not report it.
	Sent, Current int64
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("fencing token %d is older than %d", e.Sent, e.Current)
}
