package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sardinefront.dev/gateway/protocol"
)

// headerCodec is a codec whose responses carry the request id in the header Id.
type headerCodec struct{ protocol.Codec }

func (headerCodec) ResponseInfo(_ int, h http.Header) protocol.ResponseInfo {
	return protocol.ResponseInfo{ID: h.Get("Id")}
}

// connTo returns a connection to a target that plays one response script: it reads the
// request and then calls respond. The counter holds the number of bytes that the connection
// has read.
func connTo(t *testing.T, respond func(net.Conn)) (*Conn, *targetPool, *atomic.Int64) {
	t.Helper()
	host, target := net.Pipe()
	t.Cleanup(func() { host.Close(); target.Close() })
	go func() {
		defer target.Close()
		buf := make([]byte, 4<<10)
		if _, err := target.Read(buf); err == nil {
			respond(target)
		}
	}()
	var read atomic.Int64
	tp := &targetPool{}
	return newConn(&countingConn{Conn: host, read: &read}, headerCodec{}, tp), tp, &read
}

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// repeat writes s until the connection is closed.
func repeat(s string) func(net.Conn) {
	return func(c net.Conn) {
		chunk := []byte(strings.Repeat(s, 1+(8<<10)/len(s)))
		for {
			if _, err := c.Write(chunk); err != nil {
				return
			}
		}
	}
}

// after writes a prefix before the rest of the response.
func after(prefix string, rest func(net.Conn)) func(net.Conn) {
	return func(c net.Conn) {
		if _, err := io.WriteString(c, prefix); err == nil {
			rest(c)
		}
	}
}

// send writes a request with the id r1.
func send(t *testing.T, c *Conn) {
	t.Helper()
	if err := c.Send(protocol.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {"r1"}}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a target that sends bytes without end instead of a response: the head was
// read without a limit, until the process had no memory left.
func TestEndlessHeadIsBounded(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const otherResponse = ok + "Id: r0\r\n"
	cases := map[string]func(net.Conn){
		"no line end":               repeat("x"),
		"status line":               after("HTTP/1.1 200 ", repeat("x")),
		"header line":               after(ok+"A: ", repeat("x")),
		"headers":                   after(ok, repeat("A: b\r\n")),
		"interim responses":         repeat("HTTP/1.1 100 Continue\r\n\r\n"),
		"interim response headers":  after("HTTP/1.1 103 Early Hints\r\n", repeat("Link: x\r\n")),
		"responses to other ones":   repeat(otherResponse + "Content-Length: 1\r\n\r\nx"),
		"body of another response":  after(otherResponse+"\r\n", repeat("x")),
		"chunk of another response": after(otherResponse+"Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", repeat("x")),
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			c, tp, read := connTo(t, respond)
			send(t, c)
			resp, err := c.Receive(http.MethodGet, "r1", time.Minute)
			if err == nil {
				t.Fatalf("Receive returned status %d", resp.Status)
			}
			c.Release(nil, false)
			if n := read.Load(); n > maxHeadBytes+maxSkippedBodyBytes {
				t.Errorf("read %d bytes", n)
			}
			if len(tp.idle) > 0 {
				t.Error("the connection was kept")
			}
		})
	}
}

// Guards against a head limit that also cuts long bodies.
func TestLongBodyIsNotLimited(t *testing.T) {
	const length = 4 * (maxHeadBytes + maxSkippedBodyBytes)
	c, tp, _ := connTo(t, func(c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length))
	})
	send(t, c)
	resp, err := c.Receive(http.MethodGet, "r1", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != length || err != nil {
		t.Errorf("read %d bytes of %d, error %v", n, length, err)
	}
	c.Release(resp, true)
	if len(tp.idle) != 1 {
		t.Error("the connection was not kept")
	}
}

// Guards against endless framing around a body: chunk extensions and trailers are not limited
// by the length of the body.
func TestEndlessChunkFramingIsBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
	const maxFraming = 64 << 10
	cases := map[string]func(net.Conn){
		"one extension":  after(head+"1;", repeat("x")),
		"extensions":     after(head, repeat("1;"+strings.Repeat("x", 200)+"\r\ny\r\n")),
		"trailer line":   after(head+"0\r\nA: ", repeat("x")),
		"trailer fields": after(head+"0\r\n", repeat("A: b\r\n")),
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			c, tp, read := connTo(t, respond)
			send(t, c)
			resp, err := c.Receive(http.MethodGet, "r1", time.Minute)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err == nil {
				t.Error("the body was complete")
			}
			c.Release(resp, false)
			if n := read.Load(); n > maxFraming {
				t.Errorf("read %d bytes", n)
			}
			if len(tp.idle) > 0 {
				t.Error("the connection was kept")
			}
		})
	}
}

// Guards against a connection that is reused while a part of the last response is still to
// come: the next request on it would get that part. The caller of Release may have read only
// a part, through a limit.
func TestPartlyReadBodyClosesConnection(t *testing.T) {
	bodies := map[string]string{
		"with length": "Content-Length: 20\r\n\r\n",
		"in chunks":   "Transfer-Encoding: chunked\r\n\r\n14\r\n",
	}
	for name, head := range bodies {
		t.Run(name, func(t *testing.T) {
			c, tp, _ := connTo(t, after("HTTP/1.1 500 Failed\r\nId: r1\r\n"+head+"0123456789", func(c net.Conn) {
				io.Copy(io.Discard, c) // the second half stays unsent until the connection closes
			}))
			send(t, c)
			resp, err := c.Receive(http.MethodGet, "r1", time.Minute)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(io.LimitReader(resp.Body, 10)); err != nil {
				t.Fatal(err)
			}
			c.Release(resp, true)
			if len(tp.idle) > 0 {
				t.Error("the connection was kept with half a response to come")
			}
		})
	}
}

// Guards against a second copy of an earlier response that arrives between the check of the
// idle connection and the next request, and is taken for the response to a call without id.
func TestCallWithoutIDSkipsLateCopy(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 4\r\n\r\ncopy"
	c, tp, _ := connTo(t, after(late, func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine")
	}))
	send(t, c)
	resp, err := c.Receive(http.MethodPost, "", time.Minute)
	if err != nil {
		if !errors.Is(err, ErrMismatched) {
			t.Fatal(err)
		}
		return
	}
	body, err := io.ReadAll(resp.Body)
	if string(body) != "mine" || err != nil {
		t.Errorf("body %q, error %v", body, err)
	}
	c.Release(resp, true)
	if len(tp.idle) > 0 {
		t.Error("the connection was kept after an unexpected response")
	}
}

// resetConn is a connection that is reset while a long request body is being written: the write gets
// the reset, and the read ends like a connection that the target has closed.
type resetConn struct {
	net.Conn
	response io.Reader
	headSent bool
}

func (c *resetConn) Read(p []byte) (int, error) { return c.response.Read(p) }

func (c *resetConn) Write(p []byte) (int, error) {
	if !c.headSent {
		c.headSent = true
		return len(p), nil
	}
	return 0, syscall.ECONNRESET
}

// Guards against a part of a response without a length that is taken for the whole, because the
// connection was reset while the request body was being written.
func TestResetDuringUploadBreaksAResponseWithoutLength(t *testing.T) {
	host, target := net.Pipe()
	t.Cleanup(func() { host.Close(); target.Close() })
	for _, framing := range []string{"", "Connection: close\r\n"} {
		nc := &resetConn{Conn: host, response: strings.NewReader("HTTP/1.1 200 OK\r\nId: r1\r\n" + framing + "\r\npart of the response")}
		c := newConn(nc, headerCodec{}, &targetPool{})
		body := make([]byte, 900<<10)
		if err := c.Send(protocol.Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Id": {"r1"}}, Body: body}); err != nil {
			t.Fatal(err)
		}
		resp, err := c.Receive(http.MethodPost, "r1", 0)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(resp.Body); err == nil || resp.bodyComplete() {
			t.Errorf("%q: %d bytes are taken for the whole response", framing, len(got))
		}
	}
}
