package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/fleetuser"
)

// searchFixture starts a host with a silent target and, once a request is running there, adds another
// one. It returns the connection of the request's caller. answer lets the silent target respond.
func searchFixture(t *testing.T, silent func(net.Conn, *http.Request) bool, next func(net.Conn, *http.Request) bool) (fx *fixture, c *caller, answer chan struct{}) {
	t.Helper()
	fx = newFixture(t)
	fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, longTimeoutMs, 0, 2))
	answer = make(chan struct{})
	fx.addRawServer(plainName, "i-silent", func(conn net.Conn, r *http.Request) bool {
		<-answer
		return silent(conn, r)
	})
	fx.startHost()
	c = fx.dial()
	fx.send(c, "GET", pathIdempotent, "", fmt.Sprintf("Request-Deadline: %d", longTimeoutMs))
	fx.eventually("the target is silent", func() bool { return fx.log.contains("target silent") })
	var nextRuns atomic.Int32
	fx.addRawServer(plainName, "i-next", func(conn net.Conn, r *http.Request) bool {
		nextRuns.Add(1)
		return next(conn, r)
	})
	fx.eventually("the request is sent to the other target", func() bool { return nextRuns.Load() == 1 })
	time.Sleep(50 * time.Millisecond)
	return fx, c, answer
}

// Guards against a response that does not reach its caller because the host waits for the body of
// another target's failure.
func TestResponseDoesNotWaitForTheFailureOfAnotherTarget(t *testing.T) {
	for name, status := range map[string]string{"failed": "500 Failed", "not run": "503 Full\r\nNot-Executed: 1"} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			defer close(ended)
			fx, c, answer := searchFixture(t, func(conn net.Conn, r *http.Request) bool {
				writeHead(conn, r, "Content-Length: 2")
				fmt.Fprint(conn, "ok")
				return true
			}, func(conn net.Conn, r *http.Request) bool {
				fmt.Fprintf(conn, "HTTP/1.1 %s\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\n", status, r.Header.Get("Request-Id"))
				<-ended
				return false
			})
			close(answer)
			answered := time.Now()
			if resp := fx.read(c); resp.status != http.StatusOK || resp.body != "ok" || time.Since(answered) > longTimeoutMs/2*time.Millisecond {
				t.Errorf("response %+v after %s", resp, time.Since(answered))
			}
		})
	}
}

// Guards against a refusal which guarantees that a request has not run, although it was sent to a
// second target while the first one, which did not run it, was silent.
func TestRefusalAfterSearchDoesNotStateThatTheRequestHasNotRun(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	for name, next := range map[string]func(net.Conn, *http.Request) bool{
		"cut":     func(net.Conn, *http.Request) bool { return false },
		"running": func(net.Conn, *http.Request) bool { <-ended; return false },
	} {
		t.Run(name, func(t *testing.T) {
			fx, c, answer := searchFixture(t, func(conn net.Conn, r *http.Request) bool {
				fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
				return true
			}, next)
			close(answer)
			resp := fx.read(c)
			if resp.status != http.StatusBadGateway || resp.header.Get("Sardinefront-Ran") != "unknown" {
				t.Errorf("response %+v", resp)
			}
		})
	}
}

// Guards against a data race between the attempt at a target that is silent in the middle of its body
// and the send to another one, when both end at the request's deadline.
func TestDeadlineEndsSendsToTwoSilentTargets(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	var nextRuns atomic.Int32
	hang := func(net.Conn, *http.Request) bool { <-ended; return false }
	fx := newFixture(t)
	fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, longTimeoutMs, 0, 2))
	fx.addRawServer(plainName, "i-silent", func(conn net.Conn, r *http.Request) bool {
		writeHead(conn, r, "Content-Length: 2")
		fmt.Fprint(conn, "o")
		return hang(conn, r)
	})
	fx.startHost()
	c := fx.dial()
	fx.send(c, "GET", pathIdempotent, "", fmt.Sprintf("Request-Deadline: %d", longTimeoutMs))
	fx.eventually("the target is silent", func() bool { return fx.log.contains("target silent") })
	fx.addRawServer(plainName, "i-next", func(conn net.Conn, r *http.Request) bool {
		nextRuns.Add(1)
		return hang(conn, r)
	})
	if resp := fx.read(c); resp.status != http.StatusGatewayTimeout || resp.header.Get("Sardinefront-Reason") != "deadline-after-send" {
		t.Errorf("response %+v", resp)
	}
	if n := nextRuns.Load(); n != 1 {
		t.Errorf("sent to the other target %d times", n)
	}
}

// Guards against a refusal of a request that has not run which comes so late that its caller cannot
// come back: it waited as long as one that must be continued here.
func TestRequestThatHasNotRunIsRefusedInTime(t *testing.T) {
	fx := newFixture(t)
	fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, longTimeoutMs, 0, 2))
	ended := make(chan struct{})
	defer close(ended)
	var busyRuns atomic.Int32
	fx.addRawServer(plainName, "i-busy", func(net.Conn, *http.Request) bool {
		busyRuns.Add(1)
		<-ended
		return false
	})
	fx.startHost()
	for range 3 { // the slots of a plain target and half as many more
		fx.send(fx.dial(), "POST", pathNonIdempotent, "order", "Request-Deadline: 8000")
	}
	fx.eventually("the first target is full", func() bool { return busyRuns.Load() == 3 })
	var refusals atomic.Int32
	fx.addRawServer(plainName, "i-full", func(conn net.Conn, r *http.Request) bool {
		refusals.Add(1)
		fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	})
	sent := time.Now()
	resp := fx.call("GET", pathIdempotent, "", fmt.Sprintf("Request-Deadline: %d", longTimeoutMs))
	after := time.Since(sent)
	if resp.status != http.StatusServiceUnavailable || refusals.Load() == 0 || after > longTimeoutMs*time.Millisecond*3/4 {
		t.Errorf("response %+v after %s, sent %d times", resp, after, refusals.Load())
	}
}
