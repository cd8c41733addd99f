package target

import (
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Notice is what a target states about itself in the header of a response.
type Notice struct {
	Status int
	// StartedUnixMs is when the target's process started, in Unix milliseconds; 0 if the
	// target does not say.
	StartedUnixMs int64
	// Leaving is true if the target is about to stop and wants no new work.
	Leaving bool
	// RetryAfter is the value of Retry-After in a response with status 503, empty without one.
	RetryAfter string
	// Date is when the target sent the response, by its own clock; zero if it does not say.
	Date time.Time
	// NotRun is true if the target states that it did not run the request.
	NotRun bool
	// SentAt is when the request was sent, ReadAt when the header of the response was read.
	SentAt, ReadAt time.Time
}

// ErrClosed means that the target wants no request now, so none was sent.
var ErrClosed = errors.New("target accepts no requests now")

// notice returns the notice in the header of the response.
func (x *exchange) notice() Notice {
	h := &x.header
	n := Notice{
		Status:  h.StatusCode(),
		Leaving: isSet(h.Peek(HeaderLeaving)),
		NotRun:  isSet(h.Peek(HeaderNotRun)),
		SentAt:  x.conn.sentAt,
		ReadAt:  time.Now(),
	}
	if started, err := strconv.ParseInt(string(h.Peek(HeaderStarted)), 10, 64); err == nil && started > 0 {
		n.StartedUnixMs = started
	}
	if n.Status == http.StatusServiceUnavailable {
		n.RetryAfter = string(h.Peek("Retry-After"))
		n.Date, _ = http.ParseTime(string(h.Peek("Date"))) // zero if missing or malformed
	}
	return n
}

func isSet(value []byte) bool { return string(value) == "1" }

// admit returns ErrClosed if Config.Admit does not allow the request now.
func (c *client) admit(req *Request) error {
	if c.cfg.Admit == nil || c.cfg.Admit(!req.control) {
		return nil
	}
	return ErrClosed
}

// report passes the notice of the response to Config.OnNotice.
func (x *exchange) report() {
	if f := x.client.cfg.OnNotice; f != nil {
		f(x.notice())
	}
}
