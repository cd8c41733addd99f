package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/fleetuser"
)

// Guards against the error of a second target that reaches the caller in the middle of a stream
// which the first target broke off, and against such a stream that ends as if it were complete.
func TestErrorOfTheNextTargetStaysOutOfABegunStream(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked"
	const events = "Content-Type: text/event-stream"
	head := func(c net.Conn, r *http.Request, status string, lines ...string) {
		lines = append([]string{"HTTP/1.1 " + status, "Request-Id: " + r.Header.Get("Request-Id"), "Server-Stamp: s2"}, lines...)
		fmt.Fprintf(c, "%s\r\n\r\n", strings.Join(lines, "\r\n"))
	}
	const text = "the engine failed"
	length := fmt.Sprintf("Content-Length: %d", len(text))
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	cases := map[string]func(c net.Conn, r *http.Request){
		"error with length":   func(c net.Conn, r *http.Request) { head(c, r, "500 Failed", length); io.WriteString(c, text) },
		"error in chunks":     func(c net.Conn, r *http.Request) { head(c, r, "500 Failed", chunked); io.WriteString(c, chunk) },
		"error with neither":  func(c net.Conn, r *http.Request) { head(c, r, "500 Failed"); io.WriteString(c, text) },
		"error of the caller": func(c net.Conn, r *http.Request) { head(c, r, "400 Bad", length); io.WriteString(c, text) },
		"not found":           func(c net.Conn, r *http.Request) { head(c, r, "404 None", length); io.WriteString(c, text) },
		"too many requests":   func(c net.Conn, r *http.Request) { head(c, r, "429 Full", length); io.WriteString(c, text) },
		"unavailable":         func(c net.Conn, r *http.Request) { head(c, r, "503 Full", length); io.WriteString(c, text) },
		"unavailable, not run": func(c net.Conn, r *http.Request) {
			head(c, r, "503 Full", length, "Not-Executed: 1")
			io.WriteString(c, text)
		},
		"error as event stream": func(c net.Conn, r *http.Request) {
			head(c, r, "500 Failed", events)
			io.WriteString(c, "id: 3\ndata: "+text+"\n\n")
		},
		"error after interim": func(c net.Conn, r *http.Request) {
			fmt.Fprint(c, "HTTP/1.1 100 Continue\r\n\r\n")
			head(c, r, "500 Failed", length)
			io.WriteString(c, text)
		},
		"redirect": func(c net.Conn, r *http.Request) {
			head(c, r, "307 Elsewhere", "Location: /other", length)
			io.WriteString(c, text)
		},
		"no content":      func(c net.Conn, r *http.Request) { head(c, r, "204 None") },
		"partial content": func(c net.Conn, r *http.Request) { head(c, r, "206 Part", events, length); io.WriteString(c, text) },
		"another type": func(c net.Conn, r *http.Request) {
			head(c, r, "200 OK", "Content-Type: application/json", length)
			io.WriteString(c, text)
		},
		"no type":              func(c net.Conn, r *http.Request) { head(c, r, "200 OK", length); io.WriteString(c, text) },
		"text as event stream": func(c net.Conn, r *http.Request) { head(c, r, "200 OK", events, length); io.WriteString(c, text) },
		"event without id": func(c net.Conn, r *http.Request) {
			head(c, r, "200 OK", events)
			fmt.Fprintf(c, "event: error\ndata: %s\n\n", text)
		},
		"unframed, no event":    func(c net.Conn, r *http.Request) { head(c, r, "200 OK", events) },
		"unframed, comment":     func(c net.Conn, r *http.Request) { head(c, r, "200 OK", events); io.WriteString(c, ": wait\n\n") },
		"chunks without an end": func(c net.Conn, r *http.Request) { head(c, r, "200 OK", events, chunked) },
		"repeated head": func(c net.Conn, r *http.Request) {
			head(c, r, "500 Failed", length)
			head(c, r, "500 Failed", length)
			io.WriteString(c, text)
		},
		"no response":             func(c net.Conn, r *http.Request) {},
		"not HTTP":                func(c net.Conn, r *http.Request) { io.WriteString(c, text+"\r\n\r\n") },
		"events from another run": func(c net.Conn, r *http.Request) { head(c, r, "200 OK", events); io.WriteString(c, streamEvents(1, 4)) },
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.addBreakingServers(engineName, func(c net.Conn, r *http.Request, first bool) {
				if first {
					writeHead(c, r, events)
					fmt.Fprint(c, streamEvents(1, 2)+"id: 3\ndata: pie")
					return
				}
				respond(c, r)
			})
			fx.startHost()
			resp := fx.call("POST", pathStream, "prompt", "Request-Deadline: 1500")
			body := strings.TrimSuffix(resp.body, ": wait\n\n") // comments may be forwarded
			if resp.status != http.StatusOK || body != streamEvents(1, 2) {
				t.Errorf("response %+v, want the events of the first target only", resp)
			}
			if resp.err == nil {
				t.Error("the broken stream looks complete")
			}
			if n := len(resp.header["Server-Stamp"]); n != 1 || resp.header.Get("Server-Stamp") != "s" {
				t.Errorf("signatures %v", resp.header["Server-Stamp"])
			}
		})
	}
}

// Guards against a stream that is resumed after its last event and is not accepted as complete,
// although the second target has ended it with a length or chunks.
func TestStreamResumedAtItsEndIsComplete(t *testing.T) {
	for _, framing := range []string{"Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"} {
		fx := newFixture(t)
		fx.addBreakingServers(engineName, func(c net.Conn, r *http.Request, first bool) {
			if first {
				writeHead(c, r, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
				part := streamEvents(1, 2)
				fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s2\r\nContent-Type: text/event-stream\r\n%s", r.Header.Get("Request-Id"), framing)
		})
		fx.startHost()
		if resp := fx.call("POST", pathStream, "prompt"); resp.status != 200 || resp.err != nil || resp.body != streamEvents(1, 2) {
			t.Errorf("%q: response %+v", framing, resp)
		}
	}
}

// Guards against a stream that broke off and is given up while all other targets are busy, although
// one of them has a free slot before the caller would give up.
func TestBrokenStreamWaitsAsLongAsItsCaller(t *testing.T) {
	const timeoutMs, busy = 8000, 1500 * time.Millisecond // callers wait 2 s for the next event
	fx := newFixture(t)
	fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, timeoutMs, 0, 2))
	var brokeAt atomic.Pointer[time.Time]
	serve := func(c net.Conn, r *http.Request) bool {
		writeHead(c, r, "Content-Type: text/event-stream", "Connection: close")
		if now := time.Now(); brokeAt.CompareAndSwap(nil, &now) {
			fmt.Fprint(c, streamEvents(1, 2)+"id: 3\ndata: pie")
			return false
		}
		fmt.Fprint(c, streamEvents(3, 5))
		return false
	}
	free := func() bool {
		at := brokeAt.Load()
		return at == nil || time.Since(*at) > busy
	}
	fx.addRawEngine(engineName, "i-1", free, serve)
	fx.addRawEngine(engineName, "i-2", free, serve)
	fx.startHost()
	if resp := fx.call("POST", pathStream, "prompt", fmt.Sprintf("Request-Deadline: %d", timeoutMs)); resp.err != nil || resp.body != streamEvents(1, 5) {
		t.Errorf("response %+v", resp)
	}
}
