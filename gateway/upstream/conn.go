package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

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
)

// ErrMismatched is returned if the connection carried a response to another request.
var ErrMismatched = errors.New("response to another request")

// Conn is one connection to a target. It carries one request at a time and must not be used
// concurrently.
type Conn struct {
	net   net.Conn
	br    *bufio.Reader
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
	// bodyWritten is closed when a long body has been written or has failed with writeErr;
	// nil if the body was written inline.
	bodyWritten chan struct{}
	writeErr    error
	// unbindContext undoes BindContext and reports whether ctx was still active.
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
	httpResponse *http.Response
}

// BindContext makes reads and writes fail once ctx ends. Call it once after each Get.
func (c *Conn) BindContext(ctx context.Context) {
	c.unbindContext = context.AfterFunc(ctx, func() { c.net.SetDeadline(time.Unix(1, 0)) })
}

// Send writes a request. It may return while a long body is still being written, so that
// the response can be read meanwhile.
func (c *Conn) Send(m protocol.Request) error {
	c.bodyWritten = nil
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

// Receive reads the status line and headers of the response to a request, within
// timeout if that is positive. Responses with another request id are skipped, and the connection is
// then not reused. An empty id accepts any response.
func (c *Conn) Receive(method, id string, timeout time.Duration) (*Response, error) {
	if timeout > 0 {
		c.net.SetReadDeadline(time.Now().Add(timeout))
		defer c.net.SetReadDeadline(time.Time{})
	}
	interim, stale := 0, 0
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			c.unusable = true
			return nil, err
		}
		if resp.StatusCode < 200 {
			if interim++; interim > maxInterimResponses || resp.StatusCode == http.StatusSwitchingProtocols {
				c.unusable = true
				return nil, fmt.Errorf("unexpected interim response with status %d", resp.StatusCode)
			}
			continue
		}
		info := c.codec.ResponseInfo(resp.StatusCode, resp.Header)
		if id != "" && info.ID != id && (info.ID != "" || !info.NotRun && !info.Misdirected) {
			c.unusable = true
			if stale++; stale > maxStaleResponses || info.ID == "" {
				return nil, ErrMismatched
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, fmt.Errorf("%w: %w", ErrMismatched, err)
			}
			continue
		}
		return &Response{Status: resp.StatusCode, Header: resp.Header, Info: info, Length: resp.ContentLength, Body: resp.Body, httpResponse: resp}, nil
	}
}

// SetReadTimeout sets the deadline for further reads of a body to d from now; 0 removes it.
func (c *Conn) SetReadTimeout(d time.Duration) {
	if d <= 0 {
		c.net.SetReadDeadline(time.Time{})
		return
	}
	c.net.SetReadDeadline(time.Now().Add(d))
}

// Release returns the connection to the pool if the exchange was clean: bodyRead reports
// that the whole response body was read, both sides keep the connection open, no bytes are
// left over and the bound context is still active. Otherwise it closes the connection.
// The response is nil if none was read.
func (c *Conn) Release(resp *Response, bodyRead bool) {
	ctxActive := c.unbindContext == nil || c.unbindContext()
	if resp != nil {
		c.updateIdleTimeout(resp.Header)
	}
	if !bodyRead || !ctxActive || c.unusable || resp == nil || resp.httpResponse.Close || c.br.Buffered() > 0 || !c.bodySent() || c.idleTimeout <= 0 {
		c.net.Close()
		return
	}
	c.net.SetDeadline(time.Time{})
	c.pool.put(c)
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
