// Package target is the HTTP client with which package host sends requests to engines
// and plain services. It verifies that each response is complete and belongs to its
// request, and never resends a request by itself. Package gateway uses package
// gateway/upstream instead.
package target

import (
	"context"
	"io"
	"net/http"
	"time"

	"sardinefront.dev/core/membudget"
)

// The headers of the protocol between hosts and targets.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderFencingToken = "X-Fencing-Number"
	HeaderVersion      = "X-Version"
	// HeaderLeaving is "1" in every response of a target that is about to stop.
	HeaderLeaving = "X-Leaving"
	// HeaderNotRun is "1" in the response to a request that the target did not run.
	HeaderNotRun = "X-Not-Run"
	// HeaderStarted is the start of the target's process in Unix milliseconds.
	HeaderStarted = "X-Started"
)

// Target is a client of one back end. Methods are safe for concurrent use.
type Target interface {
	// Do sends the request once and returns when the header of the response has
	// arrived. Every error is a *SendError. The caller must read the body of the
	// response to io.EOF or close it. When ctx ends, also after Do has returned,
	// the connection is closed at once.
	Do(ctx context.Context, req Request) (*Response, error)
	// Close closes idle connections. It does not interrupt requests in progress.
	Close()
}

// Request is one request to a target. If Validate returns an error, the request is
// not sent.
type Request struct {
	// ID is sent as X-Request-Id. A response with another id is an error. If ID is
	// empty, ids are not compared, and the connection is not reused.
	ID     string
	Method string
	// Path is the request target in origin form, with the query.
	Path string
	// Header is sent except for hop-by-hop headers and those that the client sets
	// itself: Host, Content-Length, Expect and X-Request-Id. Accept-Encoding is not sent
	// to engines.
	Header http.Header
	Body   []byte
	// Stream requests an event stream from an engine.
	Stream bool
	// FirstByte overrides the target's first-byte timeout if positive.
	FirstByte time.Duration

	// control marks requests that continue or manage earlier work.
	control bool
}

// Response is the response to a request, after its header has arrived.
type Response struct {
	Status      int
	Header      http.Header
	ContentType string
	// Version is the value of X-Version, empty if the target sent none.
	Version string
	// NotRun is true if the target states that it did not run the request.
	NotRun bool
	// IsEventStream is true for a successful event stream of an engine, the only
	// kind of response that can be resumed.
	IsEventStream bool
	Body          Body
}

// Body streams the body of a response.
type Body interface {
	// Next returns the next part of the body, which is valid until the next
	// call. In an event stream a part is one whole event, as it was sent, whose
	// request id has been verified; blocks without data, such as comments, are
	// dropped. Next returns io.EOF only after the end has been verified: by the
	// content length or the last chunk, and for event streams also by the
	// terminal event. Otherwise it returns a *TruncatedError or a
	// *MismatchError.
	Next() ([]byte, error)
	// Close closes the connection unless the body was read to its end. It may
	// be called concurrently with Next and more than once.
	Close() error
}

// Config holds the address of a target and the limits of its connections. A zero
// duration or size selects the default.
type Config struct {
	// Name is used in errors only.
	Name string
	// Address is host:port.
	Address string
	// DialTimeout bounds the time to connect. Default 2 s.
	DialTimeout time.Duration
	// FirstByteTimeout bounds the time to write the request, and then the wait for
	// the first byte of the response. Default 30 s; SetFirstByteTimeout changes it.
	FirstByteTimeout time.Duration
	// StallTimeout bounds the wait for each further part of a response.
	// Default 30 s.
	StallTimeout time.Duration
	// MaxConnAge bounds the age of a connection when a request is sent on it.
	// Default 5 min.
	MaxConnAge time.Duration
	// MaxIdleTime bounds how long a connection stays idle between two requests.
	// Default 30 s.
	MaxIdleTime time.Duration
	// MaxIdleConns bounds the number of idle connections. Default 64.
	MaxIdleConns int
	// SenderToken is sent as a bearer token with an engine's control commands
	// if it is not empty.
	SenderToken string
	// Admit, if set, is called before a request is sent. If it returns false, no byte is sent and
	// the error is ErrClosed. newWork is false for requests that continue or manage earlier
	// work: those of Resume, Cancel and the control commands.
	Admit func(newWork bool) bool
	// OnNotice, if set, is called with the notice of each response, of whatever status, before
	// the response is returned.
	OnNotice func(Notice)
	// EventMemory bounds what the streams of all targets hold of incomplete events. Default: a
	// budget that all targets of the process share.
	EventMemory *membudget.Budget
}

var defaultEventMemory = membudget.NewForEvents()

func (c Config) withDefaults() Config {
	if c.EventMemory == nil {
		c.EventMemory = defaultEventMemory
	}
	setDefault(&c.DialTimeout, 2*time.Second)
	setDefault(&c.FirstByteTimeout, 30*time.Second)
	setDefault(&c.StallTimeout, 30*time.Second)
	setDefault(&c.MaxConnAge, 5*time.Minute)
	setDefault(&c.MaxIdleTime, 30*time.Second)
	if c.MaxIdleConns <= 0 {
		c.MaxIdleConns = 64
	}
	return c
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d <= 0 {
		*d = v
	}
}

// ReadAll reads a body to its verified end and closes it. If the body exceeds limit
// bytes, the error is ErrBodyTooLarge. It returns the bytes read before an error.
func ReadAll(b Body, limit int) ([]byte, error) {
	defer b.Close()
	var all []byte
	for {
		part, err := b.Next()
		if err == io.EOF {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		if len(all)+len(part) > limit {
			return all, ErrBodyTooLarge
		}
		all = append(all, part...)
	}
}
