package target

import (
	"errors"
	"fmt"
)

// Errors that callers compare with errors.Is.
var (
	// ErrUnknownStream means that the engine does not know the request id.
	ErrUnknownStream = errors.New("stream unknown to the engine")
	// ErrNotCached means that the engine does not hold the prefix.
	ErrNotCached = errors.New("prefix not in the engine's cache")
	// ErrBodyTooLarge means that a body exceeds the reader's limit.
	ErrBodyTooLarge = errors.New("body too large")
	// ErrMalformed means that the answer breaks the protocol.
	ErrMalformed = errors.New("malformed answer")
	// ErrTimeout means that the target stayed silent for too long.
	ErrTimeout = errors.New("target silent")
)

// Reason classifies a SendError.
type Reason string

// The reasons of a SendError.
const (
	ReasonInvalid   Reason = "invalid"    // the call cannot be expressed in HTTP
	ReasonDial      Reason = "dial"       // no connection
	ReasonCancelled Reason = "cancelled"  // the context ended
	ReasonWrite     Reason = "write"      // the request was not written whole
	ReasonFirstByte Reason = "first-byte" // no answer within the first-byte timeout
	ReasonClosed    Reason = "closed"     // the target closed the connection without an answer
	ReasonMalformed Reason = "malformed"  // the answer is not HTTP
	ReasonMismatch  Reason = "mismatch"   // the answer names another request
	ReasonRefused   Reason = "refused"    // the engine refused a control command
)

// SendError is the error of Do.
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

// CutError means that an answer ended before its verified end.
type TruncatedError struct {
	// Offset is what Next has returned before: bytes for a plain body, events
	// for an event stream, counted from the start of the stream also after
	// Resume, so that it is the offset to resume from.
	Offset int64
	Err    error
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("answer cut at offset %d: %v", e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Err }

// MismatchError means that an answer names another request, or that an event
// names none, in which case Got is empty.
type MismatchError struct {
	Want, Got string
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer names request %q, expected %q", e.Got, e.Want)
}

// StatusError means that a target answered a control command with an
// unexpected status.
type StatusError struct {
	Status int
	// Detail is the start of the answer's body.
	Detail string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Detail)
}

// StaleFenceError means that an engine refused a command because it has seen a
// greater fencing number. The command had no effect.
type StaleTokenError struct {
	// Fence was sent, Current is the engine's; 0 if the engine did not name it.
	Sent, Current int64
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("fencing number %d is older than %d", e.Sent, e.Current)
}
