package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"sardinefront.dev/core/httphead"
)

const (
	eventStream = "text/event-stream"
	// maxInterimResponses bounds the 1xx responses before the final one.
	maxInterimResponses = 8
)

// client implements Target for both kinds of targets.
type client struct {
	cfg              Config
	isEngine         bool
	pool             *pool
	firstByteTimeout atomic.Int64 // nanoseconds
}

func newClient(cfg Config, engine bool) *client {
	cfg = cfg.withDefaults()
	c := &client{cfg: cfg, isEngine: engine, pool: newPool(cfg)}
	c.firstByteTimeout.Store(int64(cfg.FirstByteTimeout))
	return c
}

// Service is a client of a plain HTTP service.
type Service struct{ *client }

var _ Target = (*Service)(nil)

// NewService returns a client of a plain service. It connects on the first request.
func NewService(cfg Config) *Service { return &Service{newClient(cfg, false)} }

// SetFirstByteTimeout changes the first-byte timeout of later requests, so that it
// can be adapted to latencies measured elsewhere. A value of 0 or less is ignored.
func (c *client) SetFirstByteTimeout(d time.Duration) {
	if d > 0 {
		c.firstByteTimeout.Store(int64(d))
	}
}

// Close implements Target.
func (c *client) Close() { c.pool.close() }

// Do implements Target.
func (c *client) Do(ctx context.Context, req Request) (*Response, error) { return c.send(ctx, req, 0) }

// send sends the request once. The offset is the number of events that precede the
// first event of the response stream.
func (c *client) send(ctx context.Context, req Request, offset int64) (*Response, error) {
	httpReq := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpReq)
	if err := c.buildRequest(httpReq, &req); err != nil {
		return nil, c.sendError(false, ReasonInvalid, err)
	}
	if err := ctx.Err(); err != nil {
		return nil, c.sendError(false, ReasonCancelled, err)
	}
	if err := c.admit(&req); err != nil {
		return nil, c.sendError(false, ReasonClosedTarget, err)
	}
	cn, err := c.pool.get(ctx, req.ID)
	if err != nil {
		return nil, c.sendError(false, cancelledOr(ctx, ReasonDial), err)
	}
	// The target may have closed while the connection was established.
	if err := c.admit(&req); err != nil {
		c.pool.put(cn)
		return nil, c.sendError(false, ReasonClosedTarget, err)
	}
	ex := &exchange{ctx: ctx, client: c, conn: cn}
	ex.stopCancelWatch = context.AfterFunc(ctx, func() { cn.Conn.Close() })
	resp, reason, err := c.roundTrip(ex, httpReq, &req, offset)
	if err != nil {
		ex.finish(false)
		if ctx.Err() != nil {
			reason, err = ReasonCancelled, ex.contextError()
		}
		return nil, c.sendError(cn.sent > 0, reason, err)
	}
	return resp, nil
}

func (c *client) roundTrip(ex *exchange, httpReq *fasthttp.Request, req *Request, offset int64) (*Response, Reason, error) {
	firstByteTimeout := time.Duration(c.firstByteTimeout.Load())
	if req.FirstByte > 0 {
		firstByteTimeout = req.FirstByte
	}
	if err := writeRequest(ex.conn, httpReq, firstByteTimeout); err != nil {
		return nil, ReasonWrite, ex.timeoutError(err)
	}
	if reason, err := ex.readHeader(firstByteTimeout, c.cfg.StallTimeout); err != nil {
		return nil, reason, err
	}
	ex.report()
	h := &ex.header
	h.SetNoDefaultContentType(true)
	resp := &Response{
		Status:      h.StatusCode(),
		Header:      endToEndHeaders(h),
		ContentType: string(h.ContentType()),
		Version:     string(h.Peek(HeaderVersion)),
		NotRun:      isSet(h.Peek(HeaderNotRun)),
	}
	resp.IsEventStream = c.isEngine && resp.Status < 300 && isEventStream(resp.ContentType)
	if err := ex.verifyResponseID(resp, req); err != nil {
		return nil, ReasonMismatch, err
	}
	reader := newBodyReader(ex, req.Method)
	if resp.IsEventStream {
		resp.Body = newEventBody(ex, reader, req.ID, offset)
	} else {
		resp.Body = &plainBody{exchange: ex, reader: reader}
	}
	return resp, "", nil
}

func writeRequest(cn *conn, req *fasthttp.Request, timeout time.Duration) error {
	cn.sent, cn.sentAt = 0, time.Now()
	cn.bw.Reset(cn)
	if err := cn.SetDeadline(cn.sentAt.Add(timeout)); err != nil {
		return err
	}
	if err := req.Write(cn.bw); err != nil {
		return err
	}
	return cn.bw.Flush()
}

// verifyResponseID compares the request id in the response header with that of the
// request. A successful response of an engine must have one, except for an event
// stream, whose events are verified one by one. On a reused connection each other response
// must have one, because the target may send a second copy of an earlier response.
func (x *exchange) verifyResponseID(resp *Response, req *Request) error {
	if req.ID == "" {
		return nil
	}
	got := resp.Header.Values(HeaderRequestID)
	for _, id := range got {
		if id != req.ID {
			return &MismatchError{Want: req.ID, Got: id}
		}
	}
	required := len(x.conn.answered) > 0 || x.client.isEngine && resp.Status < 300
	if len(got) == 0 && required && !resp.IsEventStream {
		return &MismatchError{Want: req.ID}
	}
	x.identified = len(got) > 0
	x.conn.answered[req.ID] = true
	return nil
}

func (c *client) sendError(sent bool, reason Reason, err error) *SendError {
	return &SendError{Target: c.cfg.Name, Sent: sent, Reason: reason, Err: err}
}

func cancelledOr(ctx context.Context, r Reason) Reason {
	if ctx.Err() != nil {
		return ReasonCancelled
	}
	return r
}

func isEventStream(contentType string) bool {
	t, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(t), eventStream)
}

// exchange is one request and its response on a connection.
type exchange struct {
	ctx             context.Context
	client          *client
	conn            *conn
	header          fasthttp.ResponseHeader
	stopCancelWatch func() bool
	finished        atomic.Bool
	// identified is true once the response, or an event of it, had the request's id.
	identified bool
}

// finish releases the connection; later calls have no effect. The connection is
// reused only if the response had the request's id and was read to its verified end.
func (x *exchange) finish(complete bool) {
	if !x.finished.CompareAndSwap(false, true) {
		return
	}
	contextActive := x.stopCancelWatch()
	if !complete || !x.identified || !contextActive || x.header.ConnectionClose() || x.conn.br.Buffered() > 0 {
		x.conn.Conn.Close()
		return
	}
	x.client.pool.put(x.conn)
}

// contextError returns the cause of the end of the context. A deadline is treated like a
// timeout of the connection: idle connections that may be unresponsive too are closed.
func (x *exchange) contextError() error {
	cause := context.Cause(x.ctx)
	if errors.Is(cause, context.DeadlineExceeded) {
		x.client.pool.closeUnverifiedSince(x.conn)
	}
	return cause
}

// timeoutError wraps err in ErrTimeout if it is a timeout, and then closes the idle
// connections that may be unresponsive too. Other errors are returned unchanged.
func (x *exchange) timeoutError(err error) error {
	if !isTimeout(err) {
		return err
	}
	x.client.pool.closeUnverifiedSince(x.conn)
	return fmt.Errorf("%w: %w", ErrTimeout, err)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout) ||
		(errors.As(err, &ne) && ne.Timeout())
}

// readHeader waits for the first byte and reads response headers until one is final.
// Interim (1xx) responses are skipped.
func (x *exchange) readHeader(firstByteTimeout, readTimeout time.Duration) (Reason, error) {
	if err := x.conn.SetReadDeadline(time.Now().Add(firstByteTimeout)); err != nil {
		return ReasonClosed, err
	}
	for range maxInterimResponses {
		if _, err := x.conn.br.Peek(1); err != nil {
			return firstByteReason(err), x.timeoutError(err)
		}
		if err := x.conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return ReasonClosed, err
		}
		if err := x.readCheckedHead(); err != nil {
			return ReasonMalformed, x.timeoutError(err)
		}
		if x.header.StatusCode() == http.StatusSwitchingProtocols {
			break
		}
		if x.header.StatusCode() >= 200 {
			return "", nil
		}
	}
	return ReasonMalformed, fmt.Errorf("%w: no final status, last status %d", ErrMalformed, x.header.StatusCode())
}

// readCheckedHead reads one header after a check, because fasthttp accepts malformed ones.
func (x *exchange) readCheckedHead() error {
	head, err := httphead.Peek(x.conn.br)
	if err != nil {
		return err
	}
	if err := httphead.Check(head); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return x.header.Read(x.conn.br)
}

func firstByteReason(err error) Reason {
	if isTimeout(err) {
		return ReasonFirstByte
	}
	return ReasonClosed
}

// truncate closes the connection and returns the *TruncatedError of a body that
// failed with err after offset.
func (x *exchange) truncate(offset int64, err error) error {
	switch {
	case x.ctx.Err() != nil:
		err = x.contextError()
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	default:
		err = x.timeoutError(err)
	}
	x.finish(false)
	return &TruncatedError{Offset: offset, Err: err}
}
