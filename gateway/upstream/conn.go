package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"sardinefront.dev/core/httphead"
	"sardinefront.dev/gateway/protocol"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxInlineBodyBytes is the largest body that is written before the response is read.
	// It fits into the socket buffers. A longer one is written concurrently, since the
	// target may respond before it has read the whole body.
	maxInlineBodyBytes = 8 << 10
	// maxInterimResponses bounds the 1xx responses before the final one.
	maxInterimResponses = 8
	// maxStaleResponses bounds the skipped responses to earlier requests.
	maxStaleResponses = 3
	// maxHeadBytes bounds the bytes up to the end of the final response's headers, interim
	// and skipped responses included. A target in trouble may send bytes without end.
	maxHeadBytes = 64 << 10
	// maxSkippedBodyBytes bounds the bodies of skipped responses.
	maxSkippedBodyBytes = 64 << 10
	// maxFailedIDs bounds the ids that a connection remembers. It is closed after that many
	// failed requests.
	maxFailedIDs = 8
)

var (
	// ErrMismatched is returned if the connection carried a response to another request.
	ErrMismatched = errors.New("response to another request")
	// ErrHeadTooLong is returned if the target sends more than maxHeadBytes before the body
	// of the response.
	ErrHeadTooLong = fmt.Errorf("no response headers within %d bytes", maxHeadBytes)
)

// Conn is one connection to a target. It carries one request at a time and must not be used
// concurrently.
type Conn struct {
	net   net.Conn
	in    *limitedReader
	br    *bufio.Reader // reads from in
	bw    *bufio.Writer
	codec protocol.Codec
	pool  *targetPool
	// idleTimeout is how long the target keeps the connection open between requests, less
	// idleMargin.
	idleTimeout time.Duration
	idleSince   time.Time
	// unusable is set after a read error or an unexpected response; the connection is then
	// closed instead of reused.
	unusable bool
	// failedIDs lists the requests to which the target responded with a failure on this
	// connection. They may be sent again, but not here: a second copy of the first response
	// could not be told from the second response.
	failedIDs []string
	// calledWithoutID is true after a response without an id, which the target may send again.
	calledWithoutID bool
	// bodyWritten is closed when a long body has been written or has failed with writeErr;
	// nil if the body was written inline.
	bodyWritten chan struct{}
	writeErr    error
	// sentAt is when the last request was sent.
	sentAt time.Time
	// ctx is the bound context; unbindContext undoes BindContext and reports whether ctx was
	// still active.
	ctx           context.Context
	unbindContext func() bool
}

// Response is a target's response; the caller reads Body and then calls Conn.Release.
type Response struct {
	Status int
	Header http.Header
	Info   protocol.ResponseInfo
	// Length is the length of the body in bytes, -1 if it is not known.
	Length       int64
	Body         io.Reader
	body         *bodyReader // the same as Body
	httpResponse *http.Response
}

// bodyComplete reports whether the whole body was read, or there is none.
func (r *Response) bodyComplete() bool { return r.body.complete || r.httpResponse.Body == http.NoBody }

// EndsWithConnection reports whether only the end of the connection shows the end of the body.
func (r *Response) EndsWithConnection() bool {
	return r.Length < 0 && len(r.httpResponse.TransferEncoding) == 0 && r.httpResponse.Body != http.NoBody
}

// bodyReader reads a response body and records whether all of it was read.
type bodyReader struct {
	io.Reader
	complete bool
	// checkEnd, if set, returns an error if the end of the connection does not show the end of the
	// body.
	checkEnd func() error
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && b.checkEnd != nil {
		if endErr := b.checkEnd(); endErr != nil {
			return n, endErr
		}
	}
	b.complete = b.complete || err == io.EOF
	return n, err
}

// limitedReader reads from a connection. While limited is set, it fails with ErrHeadTooLong
// once remaining bytes have been read.
type limitedReader struct {
	io.Reader
	limited   bool
	remaining int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(p)
	}
	if l.remaining <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := l.Reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// newConn returns a Conn on a new network connection.
func newConn(nc net.Conn, codec protocol.Codec, tp *targetPool) *Conn {
	in := &limitedReader{Reader: nc}
	return &Conn{
		net: nc, in: in, br: bufio.NewReaderSize(in, readBufferBytes), bw: bufio.NewWriterSize(nc, writeBufferBytes),
		codec: codec, pool: tp, idleTimeout: defaultIdleTimeout,
	}
}

// pastDeadline makes reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// BindContext makes reads and writes fail once ctx ends. Call it once after each Get. Until then or
// Release, a connection whose peer is cut off or reads nothing is kept: a sound target may be so for
// seconds.
func (c *Conn) BindContext(ctx context.Context) {
	c.ctx = ctx
	c.setUserTimeout(timeLeft(ctx) + userTimeoutMargin)
	c.unbindContext = context.AfterFunc(ctx, func() { c.net.SetDeadline(pastDeadline) })
}

// timeLeft returns the time until the deadline of ctx.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxUserTimeout
	}
	return min(max(0, time.Until(deadline)), maxUserTimeout)
}

// setUserTimeout sets TCP_USER_TIMEOUT. A failure means that the connection is closed, which its
// next use reports.
func (c *Conn) setUserTimeout(d time.Duration) {
	if sc, ok := c.net.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = setUserTimeout(raw, d)
		}
	}
}

// RebindContext replaces the bound context. It reports false if that has ended; the connection
// cannot be used any more then.
func (c *Conn) RebindContext(ctx context.Context) bool {
	if !c.unbindContext() {
		return false
	}
	c.BindContext(ctx)
	return true
}

// InterruptRead makes a read that waits for data, and each later one, fail with a timeout
// until ResumeRead. It may be called concurrently with a read.
func (c *Conn) InterruptRead() { c.net.SetReadDeadline(pastDeadline) }

// ResumeRead undoes InterruptRead. The bound context keeps its effect. It does nothing after
// Release.
func (c *Conn) ResumeRead() {
	if c.ctx == nil {
		return
	}
	c.net.SetReadDeadline(time.Time{})
	if c.ctx.Err() != nil {
		c.net.SetDeadline(pastDeadline)
	}
}

// Send writes a request. It may return while a long body is still being written, so that
// the response can be read meanwhile.
func (c *Conn) Send(m protocol.Request) error {
	c.bodyWritten, c.sentAt = nil, time.Now()
	fmt.Fprintf(c.bw, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.Method, m.URI, m.Host)
	if len(m.Body) > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch {
		c.bw.WriteString("Content-Length: ")
		c.bw.WriteString(strconv.Itoa(len(m.Body)))
		c.bw.WriteString("\r\n")
	}
	m.Header.Write(c.bw)
	c.bw.WriteString("\r\n")
	if len(m.Body) <= maxInlineBodyBytes {
		c.bw.Write(m.Body)
		return c.bw.Flush()
	}
	if err := c.bw.Flush(); err != nil {
		return err
	}
	done := make(chan struct{})
	c.bodyWritten = done
	go func() {
		defer close(done)
		_, c.writeErr = c.net.Write(m.Body)
	}()
	return nil
}

// bodySent reports whether the whole body has been written.
func (c *Conn) bodySent() bool {
	if c.bodyWritten == nil {
		return true
	}
	select {
	case <-c.bodyWritten:
		return c.writeErr == nil
	default:
		return false
	}
}

// checkBodySent waits until the whole body has been written and returns an error if that has failed.
// The kernel reports a reset once: if the write gets it, the read ends like a closed connection.
// The bound context ends the wait.
func (c *Conn) checkBodySent() error {
	if c.bodyWritten == nil {
		return nil
	}
	<-c.bodyWritten
	if c.writeErr != nil {
		return fmt.Errorf("%w: the connection failed while the request was being written: %w", io.ErrUnexpectedEOF, c.writeErr)
	}
	return nil
}

// Receive reads the status line and headers of the response to a request, within timeout if
// that is positive. Only a response with the request's id is accepted, because a target may send
// a second copy of an earlier response, which may lack an id. Responses to earlier requests are
// skipped, and the connection is then not reused. id is empty for a request to which the target
// responds without an id.
func (c *Conn) Receive(method, id string, timeout time.Duration) (*Response, error) {
	if timeout > 0 {
		c.net.SetReadDeadline(time.Now().Add(timeout))
		defer c.net.SetReadDeadline(time.Time{})
	}
	c.in.limited, c.in.remaining = true, maxHeadBytes
	defer func() { c.in.limited = false }()
	for range 1 + maxStaleResponses {
		resp, err := c.readFinalResponse(method)
		if err != nil {
			c.unusable = true
			return nil, err
		}
		info := c.codec.ResponseInfo(resp.StatusCode, resp.Header)
		c.observe(resp.StatusCode, info, id)
		if info.ID == id {
			c.recordResponse(id, resp.StatusCode)
			body := &bodyReader{Reader: resp.Body}
			r := &Response{Status: resp.StatusCode, Header: resp.Header, Info: info, Length: resp.ContentLength, Body: body, body: body, httpResponse: resp}
			if r.EndsWithConnection() {
				body.checkEnd = c.checkBodySent
			}
			return r, nil
		}
		c.unusable = true
		if info.ID == "" && !c.calledWithoutID {
			return nil, ErrMismatched
		}
		if err := c.skipBody(resp); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMismatched, err)
		}
	}
	return nil, ErrMismatched
}

// recordResponse records a response for the check of later ones on the connection.
func (c *Conn) recordResponse(id string, status int) {
	switch {
	case id == "":
		c.calledWithoutID = true
	case status >= http.StatusBadRequest:
		c.failedIDs = append(c.failedIDs, id)
	}
}

// observe reports a response to the observer of the pool. A skipped one has no known send time.
func (c *Conn) observe(status int, info protocol.ResponseInfo, id string) {
	if c.pool.observer == nil {
		return
	}
	o := Observation{Target: c.pool.key, Status: status, Info: info, ReceivedAt: time.Now()}
	if info.ID == id {
		o.SentAt = c.sentAt
	}
	c.pool.observer(o)
}

// readFinalResponse reads the next response that is not an interim one.
func (c *Conn) readFinalResponse(method string) (*http.Response, error) {
	for range 1 + maxInterimResponses {
		if err := c.checkHead(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, errors.New("unexpected interim response")
}

// checkHead waits for the next head and checks it, because http.ReadResponse accepts malformed ones.
func (c *Conn) checkHead() error {
	for {
		head, err := httphead.Peek(c.br)
		if err == nil {
			return httphead.Check(head)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
		c.growReadBuffer()
	}
}

// growReadBuffer doubles the full read buffer. maxHeadBytes bounds it.
func (c *Conn) growReadBuffer() {
	buffered, _ := c.br.Peek(c.br.Buffered())
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), c.in), 2*c.br.Size())
}

// shrinkReadBuffer drops a grown read buffer, which must be empty.
func (c *Conn) shrinkReadBuffer() {
	if c.br.Size() > readBufferBytes {
		c.br = bufio.NewReaderSize(c.in, readBufferBytes)
	}
}

// skipBody reads and drops the body of a response to another request.
func (c *Conn) skipBody(resp *http.Response) error {
	headBytesLeft := c.in.remaining
	c.in.remaining = maxSkippedBodyBytes
	_, err := io.Copy(io.Discard, resp.Body)
	c.in.remaining = headBytesLeft
	return err
}

// Release returns the connection to the pool if the exchange was clean: ok is true, the whole
// body was read, both sides keep the connection open, no bytes are left over and the bound
// context is still active. Otherwise it closes the connection. The response is nil if none
// was read.
func (c *Conn) Release(resp *Response, ok bool) {
	ctxActive := c.unbindContext == nil || c.unbindContext()
	c.setUserTimeout(idleUserTimeout)
	c.ctx, c.unbindContext = nil, nil
	if resp != nil {
		c.updateIdleTimeout(resp.Header)
	}
	reusable := ok && ctxActive && !c.unusable && resp != nil && resp.bodyComplete() && !resp.httpResponse.Close
	if !reusable || c.br.Buffered() > 0 || !c.bodySent() || c.idleTimeout <= 0 || len(c.failedIDs) >= maxFailedIDs {
		c.net.Close()
		return
	}
	c.net.SetDeadline(time.Time{})
	c.shrinkReadBuffer()
	c.pool.put(c)
}

// CloseOnPanic closes the connection if its user panics. It is called by defer.
func (c *Conn) CloseOnPanic() {
	if p := recover(); p != nil {
		c.net.Close()
		panic(p)
	}
}

// updateIdleTimeout reads the idle timeout from the Keep-Alive header, if there is one.
func (c *Conn) updateIdleTimeout(h http.Header) {
	v := h.Get("Keep-Alive")
	if v == "" {
		return
	}
	if s, ok := keepAliveTimeout(v); ok {
		c.idleTimeout = max(0, time.Duration(s)*time.Second-idleMargin)
	}
}
