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
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// inlineBody is the largest body that is written before the answer is read;
	// it fits into the socket buffers. A target may answer a longer one early.
	inlineBody = 8 << 10
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 8
	// maxForeign bounds the answers to earlier requests that are skipped.
	maxForeign = 3
)

// ErrMismatched means that the connection carried an answer to another request.
var ErrMismatched = errors.New("answer to another request")

// Conn is one connection to a target. It carries one exchange at a time.
type Conn struct {
	net   net.Conn
	br    *bufio.Reader
	bw    *bufio.Writer
	codec protocol.Codec
	pool  *hostPool
	// idleFor is how long the target keeps the connection open between requests.
	idleFor time.Duration
	idleAt  time.Time
	// spoiled connections carry something unexplained and are not used again.
	spoiled bool
	// writing is closed when the body of the current request is written.
	writing  chan struct{}
	writeErr error
	stop     func() bool
}

// Answer is the head of a target's answer with its body to be read.
type Answer struct {
	Status int
	Header http.Header
	Info   protocol.ResponseInfo
	// Length is the length of the body in bytes, -1 if it is not known.
	Length int64
	Body   io.Reader
	resp   *http.Response
}

// Bind cuts every wait on the connection when ctx ends. Call it once for each use.
func (c *Conn) Bind(ctx context.Context) {
	c.stop = context.AfterFunc(ctx, func() { c.net.SetDeadline(time.Unix(1, 0)) })
}

// Send writes a request. The answer may be read while a long body is still being
// written.
func (c *Conn) Send(m protocol.Request) error {
	c.writing = nil
	fmt.Fprintf(c.bw, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.Method, m.URI, m.Host)
	if len(m.Body) > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch {
		c.bw.WriteString("Content-Length: ")
		c.bw.WriteString(strconv.Itoa(len(m.Body)))
		c.bw.WriteString("\r\n")
	}
	m.Header.Write(c.bw)
	c.bw.WriteString("\r\n")
	if len(m.Body) <= inlineBody {
		c.bw.Write(m.Body)
		return c.bw.Flush()
	}
	if err := c.bw.Flush(); err != nil {
		return err
	}
	done := make(chan struct{})
	c.writing = done
	go func() {
		defer close(done)
		_, c.writeErr = c.net.Write(m.Body)
	}()
	return nil
}

// bodySent reports whether the whole request has been written.
func (c *Conn) bodySent() bool {
	if c.writing == nil {
		return true
	}
	select {
	case <-c.writing:
		return c.writeErr == nil
	default:
		return false
	}
}

// Receive reads the head of the answer to a request. Answers to earlier requests
// are skipped; the connection is not used again after one.
func (c *Conn) Receive(method, id string, wait time.Duration) (*Answer, error) {
	if wait > 0 {
		c.net.SetReadDeadline(time.Now().Add(wait))
		defer c.net.SetReadDeadline(time.Time{})
	}
	interim, foreign := 0, 0
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			c.spoiled = true
			return nil, err
		}
		if resp.StatusCode < 200 {
			if interim++; interim > maxInterim || resp.StatusCode == http.StatusSwitchingProtocols {
				c.spoiled = true
				return nil, fmt.Errorf("unexpected interim answer %d", resp.StatusCode)
			}
			continue
		}
		info := c.codec.ResponseInfo(resp.StatusCode, resp.Header)
		if id != "" && info.ID != id && (info.ID != "" || !info.NotRun && !info.Misdirected) {
			c.spoiled = true
			if foreign++; foreign > maxForeign || info.ID == "" {
				return nil, ErrMismatched
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, fmt.Errorf("%w: %w", ErrMismatched, err)
			}
			continue
		}
		return &Answer{Status: resp.StatusCode, Header: resp.Header, Info: info, Length: resp.ContentLength, Body: resp.Body, resp: resp}, nil
	}
}

// SetReadTimeout bounds the next reads of a body; 0 removes the bound.
func (c *Conn) SetReadTimeout(d time.Duration) {
	if d <= 0 {
		c.net.SetReadDeadline(time.Time{})
		return
	}
	c.net.SetReadDeadline(time.Now().Add(d))
}

// Finish ends the use of a connection. It is kept only if the whole answer was
// read and nothing about it is unexplained.
func (c *Conn) Finish(a *Answer, whole bool) {
	stopped := c.stop == nil || c.stop()
	if a != nil {
		c.noteIdle(a.Header)
	}
	if !whole || !stopped || c.spoiled || a == nil || a.resp.Close || c.br.Buffered() > 0 || !c.bodySent() || c.idleFor <= 0 {
		c.net.Close()
		return
	}
	c.net.SetDeadline(time.Time{})
	c.pool.put(c)
}

// noteIdle reads how long the target keeps the connection open.
func (c *Conn) noteIdle(h http.Header) {
	v := h.Get("Keep-Alive")
	if v == "" {
		return
	}
	if s, ok := keepAliveTimeout(v); ok {
		c.idleFor = max(0, time.Duration(s)*time.Second-idleMargin)
	}
}
