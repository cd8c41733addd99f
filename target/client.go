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
)

const (
	eventStream = "text/event-stream"
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 8
)

// client implements Target for both kinds of targets.
type client struct {
	cfg       Config
	engine    bool
	pool      *pool
	firstByte atomic.Int64 // nanoseconds
}

func newClient(cfg Config, engine bool) *client {
	cfg = cfg.withDefaults()
	c := &client{cfg: cfg, engine: engine, pool: newPool(cfg)}
	c.firstByte.Store(int64(cfg.FirstByteTimeout))
	return c
}

// Service is a plain HTTP service.
type Service struct{ *client }

var _ Target = (*Service)(nil)

// NewService returns an adapter for a plain service. It dials on demand.
func NewService(cfg Config) *Service { return &Service{newClient(cfg, false)} }

// SetFirstByte changes the first-byte timeout of calls that start later, so
// that it can follow what the target achieves elsewhere.
func (c *client) SetFirstByteTimeout(d time.Duration) {
	if d > 0 {
		c.firstByte.Store(int64(d))
	}
}

// Close implements Target.
func (c *client) Close() { c.pool.close() }

// Do implements Target.
func (c *client) Do(ctx context.Context, call Request) (*Response, error) { return c.do(ctx, call, 0) }

// do sends the call once. The offset is where an event stream starts.
func (c *client) do(ctx context.Context, call Request, offset int64) (*Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := c.fill(req, &call); err != nil {
		return nil, c.fail(false, ReasonInvalid, err)
	}
	if err := ctx.Err(); err != nil {
		return nil, c.fail(false, ReasonCancelled, err)
	}
	cn, err := c.pool.get(ctx)
	if err != nil {
		return nil, c.fail(false, cancelledOr(ctx, ReasonDial), err)
	}
	x := &exchange{ctx: ctx, client: c, conn: cn}
	x.stop = context.AfterFunc(ctx, func() { cn.Conn.Close() })
	ans, reason, err := c.exchange(x, req, &call, offset)
	if err != nil {
		x.finish(false)
		if ctx.Err() != nil {
			reason, err = ReasonCancelled, x.ended()
		}
		return nil, c.fail(cn.sent > 0, reason, err)
	}
	return ans, nil
}

func (c *client) exchange(x *exchange, req *fasthttp.Request, call *Request, offset int64) (*Response, Reason, error) {
	wait := time.Duration(c.firstByte.Load())
	if call.FirstByte > 0 {
		wait = call.FirstByte
	}
	if err := write(x.conn, req, wait); err != nil {
		return nil, ReasonWrite, x.silence(err)
	}
	if reason, err := x.readHeader(wait, c.cfg.StallTimeout); err != nil {
		return nil, reason, err
	}
	h := &x.header
	h.SetNoDefaultContentType(true)
	ans := &Response{
		Status:      h.StatusCode(),
		Header:      copyHeader(h),
		ContentType: string(h.ContentType()),
		Version:     string(h.Peek(HeaderVersion)),
	}
	ans.IsEventStream = c.engine && ans.Status < 300 && isEventStream(ans.ContentType)
	if err := c.verifyID(ans, call); err != nil {
		return nil, ReasonMismatch, err
	}
	framed := newFraming(x, call.Method)
	if ans.IsEventStream {
		ans.Body = newEventBody(x, framed, call.ID, offset)
	} else {
		ans.Body = &plainBody{exchange: x, framing: framed}
	}
	return ans, "", nil
}

func write(cn *conn, req *fasthttp.Request, wait time.Duration) error {
	cn.sent, cn.sentAt = 0, time.Now()
	cn.bw.Reset(cn)
	if err := cn.SetDeadline(cn.sentAt.Add(wait)); err != nil {
		return err
	}
	if err := req.Write(cn.bw); err != nil {
		return err
	}
	return cn.bw.Flush()
}

// verifyID compares the id that the answer names with the call's. A successful
// answer of an engine must name it; the events of a stream are verified one by
// one.
func (c *client) verifyID(ans *Response, call *Request) error {
	if call.ID == "" {
		return nil
	}
	got := ans.Header.Values(HeaderRequestID)
	for _, id := range got {
		if id != call.ID {
			return &MismatchError{Want: call.ID, Got: id}
		}
	}
	if len(got) == 0 && c.engine && ans.Status < 300 && !ans.IsEventStream {
		return &MismatchError{Want: call.ID}
	}
	return nil
}

func (c *client) fail(sent bool, reason Reason, err error) *SendError {
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

// exchange is one request and its answer on a connection.
type exchange struct {
	ctx      context.Context
	client   *client
	conn     *conn
	header   fasthttp.ResponseHeader
	stop     func() bool
	finished atomic.Bool
}

// finish ends the use of the connection once. It is kept only if the answer was
// read to its verified end.
func (x *exchange) finish(complete bool) {
	if !x.finished.CompareAndSwap(false, true) {
		return
	}
	live := x.stop()
	if !complete || !live || x.header.ConnectionClose() || x.conn.br.Buffered() > 0 {
		x.conn.Conn.Close()
		return
	}
	x.client.pool.put(x.conn)
}

// ended returns the cause of the end of the context. A deadline that passes while
// the target owes bytes is silence, too.
func (x *exchange) ended() error {
	cause := context.Cause(x.ctx)
	if errors.Is(cause, context.DeadlineExceeded) {
		x.client.pool.suspect(x.conn)
	}
	return cause
}

// silence marks the target's connections as suspect if err is a timeout, and
// returns err with ErrTimeout.
func (x *exchange) silence(err error) error {
	if !isTimeout(err) {
		return err
	}
	x.client.pool.suspect(x.conn)
	return fmt.Errorf("%w: %w", ErrTimeout, err)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout) ||
		(errors.As(err, &ne) && ne.Timeout())
}

// readHeader waits for the first byte and reads headers until a final one.
func (x *exchange) readHeader(first, rest time.Duration) (Reason, error) {
	if err := x.conn.SetReadDeadline(time.Now().Add(first)); err != nil {
		return ReasonClosed, err
	}
	for range maxInterim {
		if _, err := x.conn.br.Peek(1); err != nil {
			return firstByteReason(err), x.silence(err)
		}
		if err := x.conn.SetReadDeadline(time.Now().Add(rest)); err != nil {
			return ReasonClosed, err
		}
		if err := x.header.Read(x.conn.br); err != nil {
			return ReasonMalformed, x.silence(err)
		}
		if x.header.StatusCode() == http.StatusSwitchingProtocols {
			break
		}
		if x.header.StatusCode() >= 200 {
			return "", nil
		}
	}
	return ReasonMalformed, fmt.Errorf("%w: no final status", ErrMalformed)
}

func firstByteReason(err error) Reason {
	if isTimeout(err) {
		return ReasonFirstByte
	}
	return ReasonClosed
}

// cut closes the connection and returns the error of a body that ended early.
func (x *exchange) cut(offset int64, err error) error {
	switch {
	case x.ctx.Err() != nil:
		err = x.ended()
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	default:
		err = x.silence(err)
	}
	x.finish(false)
	return &TruncatedError{Offset: offset, Err: err}
}
