package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/fleetuser"
)

const (
	// longTimeoutMs is the timeout of all routes for requests that outlast a pause of their target.
	longTimeoutMs = 8000
	// linkPause is a pause of a sound target, or of the link to it. It is longer than any bound for
	// connections without a request.
	linkPause = 2200 * time.Millisecond
	// hugeBodyBytes is the limit for bodies. It exceeds what a target that does not read accepts.
	hugeBodyBytes = 1 << 20
	// readBufferBytes is the receive buffer of a target that reads late.
	readBufferBytes = 16 << 10
	// ackDelay is the longest time until a kernel acknowledges what it has received.
	ackDelay = 100 * time.Millisecond
)

// dropAll is a socket filter that drops all packets that arrive at a connection.
var dropAll = unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}

// cutLink drops all packets that arrive at a connection for some time, after the last ones are
// acknowledged.
func cutLink(t *testing.T, c net.Conn, d time.Duration) {
	time.Sleep(ackDelay)
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	control := func(set func(fd int) error) {
		var setErr error
		if err := raw.Control(func(fd uintptr) { setErr = set(int(fd)) }); err != nil || setErr != nil {
			t.Error(err, setErr)
		}
	}
	control(func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	})
	time.Sleep(d)
	control(func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

// pausedResponse writes the response for a path in two parts, with a pause between them at a place.
func pausedResponse(c net.Conn, r *http.Request, place string, pause func()) {
	id := "HTTP/1.1 200 OK\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\n"
	rest, events := "Server-Stamp: s\r\nContent-Length: 4\r\n\r\n", "Server-Stamp: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	parts := map[string][2]string{
		"before the head":    {"", id + rest + "text"},
		"inside the head":    {id, rest + "text"},
		"inside the body":    {id + rest + "te", "xt"},
		"before a stream":    {"", id + events + streamEvents(1, 3)},
		"between its events": {id + events + streamEvents(1, 2), streamEvents(3, 3)},
		"inside an event":    {id + events + streamEvents(1, 2) + "id: 3\nda", "ta: piece-3\n\n"},
	}[place]
	io.WriteString(c, parts[0])
	pause()
	io.WriteString(c, parts[1])
}

// pausePlaces are the places of a pause in a response, with the path of a request that may not be
// repeated.
var pausePlaces = map[string]string{
	"before the head": pathNonIdempotent, "inside the head": pathNonIdempotent, "inside the body": pathNonIdempotent,
	"before a stream": pathNonResumable, "between its events": pathNonResumable, "inside an event": pathNonResumable,
}

// pausedBody returns the body of pausedResponse for a path.
func pausedBody(path string) string {
	if path == pathNonResumable {
		return streamEvents(1, 3)
	}
	return "text"
}

// Guards against a request that may not be repeated and ends before its deadline because its sound
// target, or the link to it, pauses for two seconds.
func TestPauseOfTargetEndsNoRequest(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("link cut %t", cut), func(t *testing.T) {
			fx := newFixture(t)
			fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, longTimeoutMs, 0, 2))
			respond := func(c net.Conn, r *http.Request) bool {
				pausedResponse(c, r, r.Header.Get("X-Place"), func() {
					if cut {
						cutLink(t, c, linkPause)
						return
					}
					time.Sleep(linkPause)
				})
				return r.URL.Path == pathNonIdempotent
			}
			for i := range 2 {
				fx.addRawServer(plainName, fmt.Sprintf("i-plain%d", i), respond)
				fx.addRawServer(engineName, fmt.Sprintf("i-engine%d", i), respond)
			}
			fx.startHost()
			var wg sync.WaitGroup
			for place, path := range pausePlaces {
				c := fx.dial()
				fx.send(c, "POST", path, "order", "X-Place: "+place, "Request-Deadline: 8000")
				want := pausedBody(path)
				wg.Go(func() {
					if resp := fx.read(c); resp.err != nil || resp.status != http.StatusOK || resp.body != want {
						t.Errorf("%s: response %+v", place, resp)
					}
				})
			}
			wg.Wait()
		})
	}
}

// Guards against a request that is lost because the link to its target is cut while it is sent.
func TestCutLinkDelaysRequest(t *testing.T) {
	fx := newFixture(t)
	fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, longTimeoutMs, 0, 2))
	fx.addListener(plainName, "i-cut", func(c net.Conn) {
		defer c.Close()
		cutLink(t, c, linkPause)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			t.Error(err)
			return
		}
		writeHead(c, r, "Content-Length: 2")
		fmt.Fprint(c, "ok")
	})
	fx.startHost()
	if resp := fx.call("POST", pathNonIdempotent, "order", "Request-Deadline: 8000"); resp.err != nil || resp.body != "ok" {
		t.Errorf("response %+v", resp)
	}
}

// Guards against a connection that is closed because its sound target does not read for two
// seconds: its answer to a request with a long body was lost.
func TestTargetThatReadsLateKeepsItsRequest(t *testing.T) {
	for name, answersFirst := range map[string]bool{"answers after the body": false, "answers before the body": true} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, longTimeoutMs, 0, 2))
			read := make(chan int64, 1)
			fx.addListener(plainName, "i-late", func(c net.Conn) {
				defer c.Close()
				defer close(read)
				_ = c.(*net.TCPConn).SetReadBuffer(readBufferBytes)
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if answersFirst {
					writeHead(c, r, "Content-Length: 4")
					fmt.Fprint(c, "te")
				}
				time.Sleep(linkPause)
				n, _ := io.Copy(io.Discard, r.Body)
				read <- n
				if !answersFirst {
					writeHead(c, r, "Content-Length: 4")
					fmt.Fprint(c, "te")
				}
				fmt.Fprint(c, "xt")
			})
			fx.startHost()
			resp := fx.call("POST", pathNonIdempotent, strings.Repeat("x", hugeBodyBytes), "Request-Deadline: 8000")
			if resp.err != nil || resp.status != http.StatusOK || resp.body != "text" {
				t.Errorf("status %d, body %q, %v", resp.status, resp.body, resp.err)
			}
			if n := <-read; n != hugeBodyBytes {
				t.Errorf("the target read %d bytes of the body", n)
			}
		})
	}
}

// Guards against a request that is sent on an idle connection to a target which was lost meanwhile.
func TestIdleConnectionToLostTargetIsNotUsed(t *testing.T) {
	fx := newFixture(t)
	var conns atomic.Int32
	fx.addListener(plainName, "i-lost", func(c net.Conn) {
		lost := conns.Add(1) == 1
		serveRaw(c, nil, func(c net.Conn, r *http.Request) bool {
			writeHead(c, r, "Content-Length: 2")
			fmt.Fprint(c, "ok")
			if lost {
				cutLink(t, c, endlessPause)
			}
			return !lost
		})
	})
	fx.startHost()
	for i := range 2 {
		if resp := fx.call("POST", pathNonIdempotent, "order"); resp.err != nil || resp.body != "ok" {
			t.Errorf("request %d: response %+v", i, resp)
		}
		time.Sleep(linkPause)
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}

// Guards against a response that is cut because the link to its caller is cut for two seconds, or
// because its caller reads nothing for that time.
func TestPauseOfCallerEndsNoRequest(t *testing.T) {
	const length = 4 << 20 // bytes, more than the buffers of all connections
	for name, pause := range map[string]func(c net.Conn){
		"link cut":      func(c net.Conn) { cutLink(t, c, linkPause) },
		"nothing read":  func(net.Conn) { time.Sleep(linkPause) },
		"never stopped": func(net.Conn) {},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, longTimeoutMs, 0, 2))
			fx.addRawServer(plainName, "i-plain", func(c net.Conn, r *http.Request) bool {
				writeHead(c, r, fmt.Sprintf("Content-Length: %d", length))
				fmt.Fprint(c, strings.Repeat("x", length))
				return true
			})
			fx.startHost()
			c := fx.dial()
			fx.send(c, "POST", pathNonIdempotent, "order", "Request-Deadline: 8000")
			pause(c.Conn)
			if resp := fx.read(c); resp.err != nil || resp.status != http.StatusOK || len(resp.body) != length {
				t.Errorf("status %d, %d bytes, %v", resp.status, len(resp.body), resp.err)
			}
		})
	}
}
