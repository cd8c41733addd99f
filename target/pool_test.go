package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"sardinefront.dev/core/sockets"
)

// partialWriteConn accepts the first n bytes of a request and then fails.
type partialWriteConn struct {
	net.Conn
	n int
}

func (c *partialWriteConn) Write(p []byte) (int, error) {
	n := min(len(p), c.n)
	c.n -= n
	return n, io.ErrClosedPipe
}

// Guards against SendError.Sent being false after a partial write, or true after a
// write that failed without sending a byte.
func TestSentCountsAcceptedBytes(t *testing.T) {
	for n, sent := range map[int]bool{0: false, 1: true} {
		c := NewService(Config{Name: "t", Address: "stuck:1"})
		c.pool.dial = func(context.Context, string, string) (net.Conn, error) {
			client, peer := net.Pipe()
			t.Cleanup(func() { peer.Close() })
			return &partialWriteConn{Conn: client, n: n}, nil
		}
		_, err := c.Do(context.Background(), getRequest("1"))
		checkSendError(t, err, sent, ReasonWrite)
	}
}

// Guards against reusing connections beyond their maximum age and idle time, and
// against forwarding hop-by-hop headers.
func TestConnectionBounds(t *testing.T) {
	var mu sync.Mutex
	used := map[string]int{}
	s := startServer(t, func(w net.Conn, c, n int, r *http.Request) bool {
		mu.Lock()
		used[r.Header.Get(HeaderRequestID)] = c
		mu.Unlock()
		if r.Header.Get("X-Named") != "" || r.Header.Get("Te") != "" || r.Header.Get("X-Kept") != "v" {
			return false
		}
		return writeResponse(w, r.Header.Get(HeaderRequestID), "ok")
	})
	cfg := s.config()
	c := NewService(cfg)
	defer c.Close()
	withIdleConn := func(change func(*conn)) {
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		change(c.pool.idle[0])
	}
	h := http.Header{"Connection": {"X-Named"}, "X-Named": {"v"}, "Te": {"v"}, "X-Kept": {"v"}}
	send := func(id string) {
		t.Helper()
		if _, err := fetchBody(c, Request{ID: id, Method: "GET", Path: "/", Header: h}); err != nil {
			t.Fatal(err)
		}
	}
	send("0")
	send("1")
	withIdleConn(func(cn *conn) { cn.idleSince = time.Now().Add(-30 * time.Second) })
	send("2")
	withIdleConn(func(cn *conn) { cn.created = time.Now().Add(-5 * time.Minute) })
	send("3")
	mu.Lock()
	defer mu.Unlock()
	if used["1"] != used["0"] || used["2"] == used["1"] || used["3"] == used["2"] {
		t.Errorf("connections by request: %v; want 0 and 1 to share one, 2 and 3 to use new ones", used)
	}
	withIdleConn(func(cn *conn) { cn.idleSince = time.Now().Add(-30 * time.Second) })
	c.pool.closeIdle()
	if n := len(c.pool.idle); n != 0 {
		t.Errorf("%d connections are still open after the maximum idle time", n)
	}
}

// Guards against reusing an idle connection that the target has closed, on which the
// request would be lost, or on which the target has sent an unsolicited response,
// which would be taken for the response to the next request.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	for _, unsolicited := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"} {
		after := make(chan struct{})
		s := startServer(t, func(w net.Conn, c, n int, r *http.Request) bool {
			if !writeResponse(w, r.Header.Get(HeaderRequestID), "ok") || c > 0 {
				return false
			}
			<-after
			_, _ = io.WriteString(w, unsolicited)
			return unsolicited != ""
		})
		c := NewService(s.config())
		defer c.Close()
		if _, err := fetchBody(c, getRequest("1")); err != nil {
			t.Fatal(err)
		}
		close(after)
		c.pool.mu.Lock()
		idle := c.pool.idle[0]
		c.pool.mu.Unlock()
		for deadline := time.Now().Add(5 * time.Second); sockets.Reusable(idle.Conn); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the idle connection still counts as usable after 5 s")
			}
		}
		if body, err := fetchBody(c, getRequest("2")); err != nil || body != "ok" {
			t.Errorf("%q, %v", body, err)
		}
	}
}

// Guards against one slow response that closes all idle connections of a target. While
// a target is overloaded, every request would then need a new connection.
func TestSlowResponseKeepsVerifiedConnections(t *testing.T) {
	s := startServer(t, func(w net.Conn, c, n int, r *http.Request) bool {
		return r.URL.Path == "/unanswered" || writeResponse(w, r.Header.Get(HeaderRequestID), "ok")
	})
	c := NewService(s.config())
	defer c.Close()
	unanswered := make(chan error, 1)
	go func() {
		_, err := c.Do(context.Background(), Request{Method: "GET", Path: "/unanswered", FirstByte: 200 * time.Millisecond})
		unanswered <- err
	}()
	for s.requestCount("") == 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := fetchBody(c, getRequest("1")); err != nil {
		t.Fatal(err)
	}
	checkSendError(t, <-unanswered, true, ReasonFirstByte)
	if n := len(c.pool.idle); n != 1 {
		t.Errorf("%d idle connections, expected the one that carried a response meanwhile", n)
	}
}
