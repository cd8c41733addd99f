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
	// inlineBody is the largest body that is written before the answer is read;
	// it fits into the socket buffers. A target may answer a longer one early.
	maxInlineBodyBytes = 8 << 10
	// maxInterim bounds the 1xx answers before the final one.
	maxInterimResponses = 8
	// maxForeign bounds the answers to earlier requests that are skipped.
	maxStaleResponses = 3
)

// ErrMismatched means that the connection carried an answer to another request.
var ErrMismatched = errors.New("answer to another request")

// Conn is one connection to a target. It carries one exchange at a time.
type Conn struct {
	conn  net.Conn
	br    *bufio.Reader
	bw    *bufio.Writer
	codec protocol.Codec
	pool  *targetPool
	// idleFor is how long the target keeps the connection open between requests.
	idleTimeout time.Duration
	idleSince   time.Time
	// spoiled connections carry something unexplained and are not used again.
	unusable bool
	// writing is closed when the body of the current request is written.
	bodyWritten   chan struct{}
	writeErr      error
	unbindContext func() bool
}

// Answer is the head of a target's answer with its body to be read.
type Response struct {
	Status int
	Header http.Header
	Info   protocol.ResponseInfo
	// Length is the length of the body in bytes, -1 if it is not known.
	Length int64
	Body   io.Reader
	resp   *http.Response
}

// Bind cuts every wait on the connection when ctx ends. Call it once for each use.
func (c *Conn) BindContext(ctx context.Context) {
	c.unbindContext = context.AfterFunc(ctx, func() { c.conn.SetDeadline(time.Unix(1, 0)) })
}

// Send writes a request. The answer may be read while a long body is still being
// written.
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
		_, c.writeErr = c.conn.Write(m.Body)
	}()
	return nil
}

// bodySent reports whether the whole request has been written.
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

// Receive reads the head of the answer to a request. Answers to earlier requests
// are skipped; the connection is not used again after one.
func (c *Conn) ReadResponse(method, id string, wait time.Duration) (*Response, error) {
	if wait > 0 {
		c.conn.SetReadDeadline(time.Now().Add(wait))
		defer c.conn.SetReadDeadline(time.Time{})
	}
	interim, foreign := 0, 0
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			c.unusable = true
			return nil, err
		}
		if resp.StatusCode < 200 {
			if interim++; interim > maxInterimResponses || resp.StatusCode == http.StatusSwitchingProtocols {
				c.unusable = true
				return nil, fmt.Errorf("unexpected interim answer %d", resp.StatusCode)
			}
			continue
		}
		info := c.codec.ResponseInfo(resp.StatusCode, resp.Header)
		if id != "" && info.ID != id && (info.ID != "" || !info.NotRun && !info.Misdirected) {
			c.unusable = true
			if foreign++; foreign > maxStaleResponses || info.ID == "" {
				return nil, ErrMismatched
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, fmt.Errorf("%w: %w", ErrMismatched, err)
			}
			continue
		}
		return &Response{Status: resp.StatusCode, Header: resp.Header, Info: info, Length: resp.ContentLength, Body: resp.Body, resp: resp}, nil
	}
}

// SetReadTimeout bounds the next reads of a body; 0 removes the bound.
func (c *Conn) SetReadTimeout(d time.Duration) {
	if d <= 0 {
		c.conn.SetReadDeadline(time.Time{})
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(d))
}

// Finish ends the use of a connection. It is kept only if the whole answer was
// read and nothing about it is unexplained.
func (c *Conn) Release(a *Response, whole bool) {
	stopped := c.unbindContext == nil || c.unbindContext()
	if a != nil {
		c.updateIdleTimeout(a.Header)
	}
	if !whole || !stopped || c.unusable || a == nil || a.resp.Close || c.br.Buffered() > 0 || !c.bodySent() || c.idleTimeout <= 0 {
		c.conn.Close()
		return
	}
	c.conn.SetDeadline(time.Time{})
	c.pool.put(c)
}

// noteIdle reads how long the target keeps the connection open.
func (c *Conn) updateIdleTimeout(h http.Header) {
	v := h.Get("Keep-Alive")
	if v == "" {
		return
	}
	if s, ok := keepAliveTimeout(v); ok {
		c.idleTimeout = max(0, time.Duration(s)*time.Second-idleMargin)
	}
}
