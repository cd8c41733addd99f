package gateway_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sardinefront.dev/standin/slotengine"
)

// Guards against bytes after a request that end it: a blank line, or the next request. net/http
// accepts a blank line only after a POST request, and responds with 400 otherwise.
func TestBytesAfterRequestAreNoEnd(t *testing.T) {
	for name, extra := range map[string]string{
		"blank line": "\r\n",
		"request":    "GET " + pathIdempotent + " HTTP/1.1\r\nHost: " + testHost + "\r\nRequest-Id: pipelined\r\nAuthorization: Bearer " + testKey + "\r\n\r\n",
	} {
		for _, method := range []string{"GET", "POST"} {
			t.Run(name+" after "+method, func(t *testing.T) {
				fx := newFixture(t)
				fx.addServer(plainName, slotengine.Config{ResponseDelay: 300 * time.Millisecond})
				fx.startHost()
				c := fx.dial()
				fx.send(c, method, pathIdempotent, "")
				fmt.Fprint(c, extra)
				if resp := fx.read(c); resp.err != nil || resp.status != http.StatusOK {
					t.Errorf("response %+v", resp)
				}
				if name == "blank line" {
					fx.send(c, "GET", pathIdempotent, "")
				}
				want := http.StatusOK
				if name == "blank line" && method == "GET" {
					want = http.StatusBadRequest
				}
				if resp := fx.read(c); resp.err != nil || resp.status != want {
					t.Errorf("second response %+v", resp)
				}
			})
		}
	}
}

// Guards against a caller that waits for an interim response before it sends its body, and against
// a body that is waited for although the request is refused.
func TestExpectContinue(t *testing.T) {
	fx := newFixture(t)
	s := fx.addServer(plainName, slotengine.Config{})
	fx.startHost()
	for _, c := range []struct {
		path   string
		status int
	}{{pathNonIdempotent, http.StatusOK}, {"/none/x", http.StatusNotFound}} {
		conn := fx.dial()
		fx.send(conn, "POST", c.path, "", "Expect: 100-continue", "Content-Length: 5")
		if c.status == http.StatusOK {
			conn.SetReadDeadline(time.Now().Add(time.Second))
			line, err := conn.br.ReadString('\n')
			if err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
				t.Fatalf("%q, %v", line, err)
			}
			conn.br.ReadString('\n')
			fmt.Fprint(conn, "order")
		}
		if resp := fx.read(conn); resp.err != nil || resp.status != c.status {
			t.Errorf("%s: response %+v", c.path, resp)
		}
	}
	if n := len(s.Runs()); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// Guards against a refusal that is lost because the connection is reset while its caller still
// sends the body.
func TestRefusalBeforeLongBodyReachesItsCaller(t *testing.T) {
	const parts, partBytes = 15, 64 << 10
	fx := newFixture(t)
	fx.addServer(plainName, slotengine.Config{})
	fx.startHost()
	c := fx.dial()
	fx.send(c, "POST", "/none/x", "", fmt.Sprintf("Content-Length: %d", parts*partBytes))
	for i := range parts {
		if _, err := fmt.Fprint(c, strings.Repeat("x", partBytes)); err != nil {
			t.Errorf("part %d: %v", i, err)
			break
		}
		time.Sleep(70 * time.Millisecond)
	}
	if resp := fx.read(c); resp.err != nil || resp.status != http.StatusNotFound {
		t.Errorf("response %+v", resp)
	}
	fx.send(c, "POST", pathNonIdempotent, "order")
	if resp := fx.read(c); resp.err != nil || resp.status != http.StatusOK {
		t.Errorf("response %+v to the next request", resp)
	}
}

// Guards against a refusal that is withheld until its caller has sent the body, and against a caller
// that never sends it and keeps its connection.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	fx := newFixture(t)
	fx.addServer(plainName, slotengine.Config{})
	fx.startHost()
	var callers []*caller
	for _, framing := range []string{"Content-Length: 100", "Transfer-Encoding: chunked"} {
		c := fx.dial()
		fx.send(c, "POST", "/none/x", "", framing)
		if resp := fx.read(c); resp.err != nil || resp.status != http.StatusNotFound {
			t.Fatalf("%s: response %+v", framing, resp)
		}
		callers = append(callers, c)
	}
	for _, c := range callers {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.br.ReadByte(); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("the connection stays open")
		}
	}
}

// Guards against a write deadline of an earlier request on the connection that suppresses the
// response to a malformed one.
func TestMalformedRequestOnKeptConnectionGetsAResponse(t *testing.T) {
	fx := newFixture(t)
	fx.addServer(plainName, slotengine.Config{})
	fx.startHost()
	c := fx.dial()
	fx.send(c, "GET", pathIdempotent, "", "Request-Deadline: 300")
	if resp := fx.read(c); resp.status != http.StatusOK {
		t.Fatalf("response %+v", resp)
	}
	time.Sleep(1500 * time.Millisecond)
	fmt.Fprint(c, "malformed\r\n\r\n")
	if resp := fx.read(c); resp.status != http.StatusBadRequest {
		t.Errorf("response %+v", resp)
	}
}

// Guards against a caller that shuts down its side of the connection after its request and gets
// neither a response nor a refusal, and against work that goes on for it: a caller that has left
// looks the same.
func TestHalfClosedCallerGetsARefusal(t *testing.T) {
	const requests = 12 // more than the target gets at once
	fx := newFixture(t)
	var began, ended atomic.Int32
	fx.addRawServer(plainName, "i-slow", func(c net.Conn, _ *http.Request) bool {
		began.Add(1)
		c.Read(make([]byte, 1)) // ends when the host closes the connection
		ended.Add(1)
		return false
	})
	fx.startHost()
	var callers []*caller
	for range requests {
		c := fx.dial()
		fx.send(c, "POST", pathNonIdempotent, "order")
		callers = append(callers, c)
	}
	time.Sleep(100 * time.Millisecond) // the others are queued
	for _, c := range callers {
		if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
	}
	results := map[string]int{}
	for _, c := range callers {
		resp := fx.read(c)
		results[fmt.Sprint(resp.status, " ", resp.header.Get("Sardinefront-Ran"))]++
	}
	notRun, unknown := results["503 not-run"], results["502 unknown"]
	if notRun == 0 || unknown == 0 || notRun+unknown != requests || unknown < int(began.Load()) {
		t.Errorf("responses %v, %d runs", results, began.Load())
	}
	fx.eventually("the target may stop", func() bool { return ended.Load() == began.Load() })
}
