package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"sardinefront.dev/standin/slotengine"
)

// endWithReset makes the raw server's connection end with a reset instead of an orderly close.
func endWithReset(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }

// Guards against a stream without a length or chunks that is taken for whole although it broke
// off inside an event, by a reset, or before any event.
func TestBrokenUnframedStreamIsResumed(t *testing.T) {
	breaks := map[string]func(net.Conn){
		"inside an event":           func(c net.Conn) { fmt.Fprint(c, streamEvents(1, 2)+"id: 3\ndata: pie") },
		"between the lines":         func(c net.Conn) { fmt.Fprint(c, streamEvents(1, 2)+"id: 3\ndata: piece-3\n") },
		"reset between events":      func(c net.Conn) { fmt.Fprint(c, streamEvents(1, 2)); endWithReset(c) },
		"before any event":          func(net.Conn) {},
		"before any event, comment": func(c net.Conn) { fmt.Fprint(c, ": wait\n\n") },
	}
	for name, breakOff := range breaks {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.addBreakingServers(engineName, func(c net.Conn, r *http.Request, first bool) {
				writeHead(c, r, "Content-Type: text/event-stream")
				if first {
					breakOff(c)
					return
				}
				last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none: all events
				fmt.Fprint(c, streamEvents(last+1, 4))
			})
			fx.startHost()
			resp := fx.call("POST", pathStream, "prompt")
			if body := strings.TrimPrefix(resp.body, ": wait\n\n"); resp.status != 200 || resp.err != nil || body != streamEvents(1, 4) {
				t.Errorf("response %+v", resp)
			}
		})
	}
}

// addBreakingServers lists two targets of a service that respond without a length and then
// close the connection. first is set for the first request that either of them gets.
func (fx *fixture) addBreakingServers(service string, respond func(c net.Conn, r *http.Request, first bool)) {
	fx.t.Helper()
	var requests atomic.Int32
	for _, id := range []string{"i-raw1", "i-raw2"} {
		fx.addRawServer(service, id, func(c net.Conn, r *http.Request) bool {
			respond(c, r, requests.Add(1) == 1)
			return false
		})
	}
}

// Guards against a whole stream without a length or chunks that is taken for a broken one, and
// against a connection that is used again after it.
func TestWholeUnframedStreamIsAnswered(t *testing.T) {
	fx := newFixture(t)
	s := fx.addServer(engineName, slotengine.Config{StreamEvents: 4})
	fx.startHost()
	for range 4 {
		s.InjectFaults(slotengine.UnframedResponse)
		if resp := fx.call("POST", pathStream, "prompt"); resp.status != 200 || resp.err != nil || resp.body != streamEvents(1, 4) {
			t.Errorf("response %+v", resp)
		}
	}
	if n := len(s.Runs()); n != 4 {
		t.Errorf("%d runs of 4 requests", n)
	}
}

// Guards against a plain response without a length that is taken for whole after a reset.
func TestResetUnframedResponseIsRetried(t *testing.T) {
	fx := newFixture(t)
	fx.addBreakingServers(plainName, func(c net.Conn, r *http.Request, first bool) {
		writeHead(c, r)
		fmt.Fprint(c, "half of")
		if first {
			endWithReset(c)
			return
		}
		fmt.Fprint(c, " it")
	})
	fx.startHost()
	if resp := fx.call("GET", pathIdempotent, ""); resp.status != 200 || resp.err != nil || resp.body != "half of it" {
		t.Errorf("response %+v", resp)
	}
}

// Guards against a length that the host invents for a response without a body: callers and caches
// take it for the length of the resource.
func TestResponseWithoutBodyGetsNoInventedLength(t *testing.T) {
	for _, c := range []struct{ method, status string }{{"HEAD", "200 OK"}, {"GET", "204 No Content"}, {"GET", "304 Not Modified"}, {"HEAD", "304 Not Modified"}} {
		fx := newFixture(t)
		fx.addRawServer(plainName, "i-raw", func(conn net.Conn, r *http.Request) bool {
			fmt.Fprintf(conn, "HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n\r\n", c.status, r.Header.Get("Request-Id"))
			return true
		})
		fx.startHost()
		caller := fx.dial()
		fx.send(caller, c.method, pathIdempotent, "")
		resp, err := http.ReadResponse(caller.br, &http.Request{Method: c.method})
		if err != nil {
			t.Fatal(err)
		}
		if resp.Status != c.status || resp.Header.Get("Content-Length") != "" {
			t.Errorf("%s: %s, header %v", c.method, resp.Status, resp.Header)
		}
	}
}
