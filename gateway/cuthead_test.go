package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// cutHeads are heads of responses in each framing. %s is the request's id.
var cutHeads = map[string]string{
	"length":  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\n",
	"chunks":  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
	"neither": "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: %s\r\n\r\n",
	"interim": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n",
}

// cutEnds are the ways in which a target ends its connection.
var cutEnds = map[string]func(net.Conn){
	"close": func(net.Conn) {},
	"reset": endWithReset,
	"half-close": func(c net.Conn) {
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c) // until the host closes its side
	},
}

// Guards against a head that breaks off in its middle and reaches the caller as a response, as a
// whole one with an empty body in the worst case.
func TestCutHeadIsABrokenResponse(t *testing.T) {
	for framing, head := range cutHeads {
		for ending, end := range cutEnds {
			t.Run(framing+", "+ending, func(t *testing.T) {
				t.Parallel()
				fx := newFixture(t)
				var sends atomic.Int32
				respond := func(c net.Conn, r *http.Request) bool {
					sends.Add(1)
					n, _ := strconv.Atoi(r.Header.Get("X-Cut"))
					_, _ = io.WriteString(c, cutHead(head, r)[:n])
					end(c)
					return false
				}
				fx.addRawServer(plainName, "i-plain", respond)
				fx.addRawServer(engineName, "i-engine", respond)
				fx.startHost()
				// The last byte of the blank line is the first one whose loss breaks the head.
				whole := len(fmt.Sprintf(head, "req-0000")) + len(eventType)
				for n := range whole {
					method, path := []string{"GET", "HEAD", "POST"}[n%3], pathNonIdempotent
					if method == "POST" {
						path = pathNonResumable
					}
					c := fx.dial()
					fx.nextID = 1000 + n // ids of the same length
					fx.send(c, method, path, "", fmt.Sprintf("X-Cut: %d", n))
					resp := readTo(c, method)
					c.Close()
					if resp.status != http.StatusBadGateway || resp.header.Get("Server-Stamp") != "" {
						t.Errorf("%s, %d of %d bytes: response %+v", method, n, whole, resp)
					}
				}
				if n := sends.Load(); int(n) != whole {
					t.Errorf("%d requests of %d were sent", n, whole)
				}
			})
		}
	}
}

const eventType = "Content-Type: text/event-stream\r\n"

// cutHead returns the head of the response to r, of an event stream for a request to an engine.
// Both have the same length.
func cutHead(head string, r *http.Request) string {
	kind := eventType
	if !strings.HasPrefix(pathNonResumable, r.URL.Path) {
		kind = "Content-Type: text/not-a-stream\r\n"
	}
	return strings.Replace(fmt.Sprintf(head, r.Header.Get("Request-Id")), "Request-Id: ", kind+"Request-Id: ", 1)
}

// readTo reads the response to a request with the given method.
func readTo(c *caller, method string) response {
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return response{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(b), err}
}

// Guards against a resumed stream that ends as if it were whole when the head of the second target
// breaks off in its middle.
func TestCutHeadOfTheNextTargetEndsTheStream(t *testing.T) {
	const cutsPerHost = 30 // the retry budget of a fixture allows for more than that
	head := cutHeads["length"]
	whole := len(fmt.Sprintf(head, "req-0000")) + len(eventType)
	for from := 0; from < whole; from += cutsPerHost {
		t.Run(fmt.Sprintf("from byte %d", from), func(t *testing.T) {
			t.Parallel()
			fx := newFixture(t)
			var mu sync.Mutex
			sends := map[string]int{}
			for _, id := range []string{"i-raw1", "i-raw2"} {
				fx.addRawServer(engineName, id, func(c net.Conn, r *http.Request) bool {
					mu.Lock()
					sends[r.Header.Get("Request-Id")]++
					first := sends[r.Header.Get("Request-Id")] == 1
					mu.Unlock()
					if first {
						writeHead(c, r, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
						part := streamEvents(1, 2)
						fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
						return false
					}
					n, _ := strconv.Atoi(r.Header.Get("X-Cut"))
					_, _ = io.WriteString(c, strings.Replace(fmt.Sprintf(head, r.Header.Get("Request-Id")), "Request-Id: ", eventType+"Request-Id: ", 1)[:n])
					return false
				})
			}
			fx.startHost()
			for n := from; n < min(whole, from+cutsPerHost); n++ {
				fx.nextID = 1000 + n
				resp := fx.call("POST", pathStream, "prompt", fmt.Sprintf("X-Cut: %d", n))
				if resp.err == nil || resp.body != streamEvents(1, 2) {
					t.Errorf("%d of %d bytes: response %+v", n, whole, resp)
				}
				mu.Lock()
				if id := fmt.Sprintf("req-%d", 1001+n); sends[id] != 2 {
					t.Errorf("%d of %d bytes: %d sends", n, whole, sends[id])
				}
				mu.Unlock()
			}
		})
	}
}

// Guards against a head that arrives byte by byte and is taken for whole before its end, refused
// although it completes in time, or waited for beyond the deadline.
func TestSlowHead(t *testing.T) {
	untilClosed := func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
	cases := map[string]struct {
		missing int // bytes of the response that are not sent
		finish  func(net.Conn)
		status  int
	}{
		"completes":         {0, func(net.Conn) {}, http.StatusOK},
		"breaks off":        {len("\ndata: 1\n\n"), func(net.Conn) {}, http.StatusBadGateway},
		"breaks off, reset": {len("\ndata: 1\n\n"), endWithReset, http.StatusBadGateway},
		"falls silent":      {len("\ndata: 1\n\n"), untilClosed, http.StatusGatewayTimeout},
		"never ends":        {len("\r\n\r\ndata: 1\n\n"), func(c net.Conn) { writeSlowly(c, strings.Repeat("x", 1<<20)) }, http.StatusGatewayTimeout},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fx := newFixture(t)
			finished := make(chan struct{}, 2)
			respond := func(c net.Conn, r *http.Request) bool {
				text := cutHead(cutHeads["length"], r) + "data: 1\n\n"
				writeSlowly(c, text[:len(text)-tc.missing])
				tc.finish(c)
				finished <- struct{}{}
				return false
			}
			fx.addRawServer(plainName, "i-plain", respond)
			fx.addRawServer(engineName, "i-engine", respond)
			fx.startHost()
			for method, path := range map[string]string{"GET": pathNonIdempotent, "POST": pathNonResumable} {
				resp := fx.call(method, path, "", "Request-Deadline: 1500")
				if resp.status != tc.status || resp.status == http.StatusOK && (resp.err != nil || resp.body != "data: 1\n\n") {
					t.Errorf("%s: response %+v", method, resp)
				}
				select {
				case <-finished:
				case <-time.After(10 * time.Second):
					t.Fatalf("%s: the connection to the target stays open after the deadline", method)
				}
			}
		})
	}
}

// writeSlowly writes s byte by byte until that fails.
func writeSlowly(c net.Conn, s string) {
	for i := range len(s) {
		if _, err := io.WriteString(c, s[i:i+1]); err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
