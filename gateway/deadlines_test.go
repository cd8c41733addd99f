package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"sardinefront.dev/standin/slotengine"
)

// callConcurrently sends requests on n connections, one after the other on each, for the duration.
func (fx *fixture) callConcurrently(n int, duration time.Duration, send func(c *caller, request int)) {
	var callers sync.WaitGroup
	end := time.Now().Add(duration)
	for range n {
		c := fx.dial()
		callers.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				send(c, i)
			}
		})
	}
	callers.Wait()
}

// post sends a request with a deadline and returns the status of the response. Callers may do so
// concurrently.
func (c *caller) post(i int, path string, deadline time.Duration) (status int, err error) {
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s-%d\r\nAuthorization: Bearer %s\r\nToken-Count: 100,20\r\nRequest-Deadline: %d\r\nContent-Length: 0\r\n\r\n",
		path, testHost, c.LocalAddr(), i, testKey, deadline.Milliseconds())
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Guards against sound targets that are ejected as silent because the time limits of callers are
// shorter than the work takes, on routes whose requests may be repeated and on others.
func TestShortDeadlinesDoNotEjectSoundTargets(t *testing.T) {
	const work, short, long = 400 * time.Millisecond, 250 * time.Millisecond, time.Second
	for name, path := range map[string]string{"idempotent": pathIdempotent, "not idempotent": pathNonIdempotent} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			for range 3 {
				fx.addServer(plainName, slotengine.Config{ResponseDelay: work, Slots: 8})
			}
			fx.startHost()
			var mu sync.Mutex
			statuses := map[int]int{}
			fx.callConcurrently(6, 4*time.Second, func(c *caller, i int) {
				deadline := short
				if i%8 == 7 {
					deadline = long
				}
				status, err := c.post(i, path, deadline)
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			})
			if statuses[http.StatusGatewayTimeout] < 20 || statuses[http.StatusOK] == 0 {
				t.Errorf("statuses %v", statuses)
			}
			if n := fx.log.count("target ejected"); n != 0 {
				t.Errorf("%d ejections, statuses %v", n, statuses)
			}
		})
	}
}

// Guards against the ejection of a target whose streams deliver events until their deadlines.
func TestDeadlinesOfFlowingStreamsDoNotEjectTheirTarget(t *testing.T) {
	fx := newFixture(t)
	for range 3 {
		fx.addServer(engineName, slotengine.Config{StreamEvents: 1000, ResponseDelay: 10 * time.Millisecond})
	}
	fx.startHost()
	for range 6 {
		if resp := fx.call("POST", pathNonResumable, "prompt", "Request-Deadline: 300"); resp.status != http.StatusOK || resp.err == nil {
			t.Errorf("response %d, error %v to a stream that is longer than its deadline", resp.status, resp.err)
		}
	}
	if fx.log.contains("target ejected") {
		t.Error("a target with flowing streams is ejected")
	}
}

// Guards against a target that stays in use although its streams stall until their deadlines.
func TestStalledStreamsEjectTheirTarget(t *testing.T) {
	fx := newFixture(t)
	fx.addRawServer(engineName, "i-stalled", func(c net.Conn, r *http.Request) bool {
		writeHead(c, r, "Content-Type: text/event-stream", "Connection: close")
		fmt.Fprint(c, streamEvents(1, 2))
		time.Sleep(endlessPause)
		return false
	})
	fx.startHost()
	for range 2 {
		if resp := fx.call("POST", pathNonResumable, "prompt", "Request-Deadline: 700"); resp.status != http.StatusOK || resp.err == nil {
			t.Errorf("response %d, error %v to a stream that stalls", resp.status, resp.err)
		}
	}
	fx.eventually("the target is ejected", func() bool { return fx.log.contains("target ejected") })
}

// Guards against a target that accepts requests and never responds and is not ejected, because their
// deadlines alone end them.
func TestSilentTargetIsEjectedByDeadlines(t *testing.T) {
	fx := newFixture(t)
	for range 2 {
		fx.addServer(plainName, slotengine.Config{ResponseDelay: 20 * time.Millisecond, Slots: 8})
	}
	fx.addRawServer(plainName, "i-mute", func(net.Conn, *http.Request) bool {
		time.Sleep(endlessPause)
		return false
	})
	fx.startHost()
	fx.callConcurrently(8, 2*time.Second, func(c *caller, i int) {
		if _, err := c.post(i, pathNonIdempotent, 250*time.Millisecond); err != nil {
			t.Error(err)
		}
	})
	if n := fx.log.count("target ejected"); n != 1 {
		t.Errorf("%d targets ejected", n)
	}
}

// Guards against a version that accepts requests and never responds and is not rolled back, because
// their deadlines alone end them.
func TestHangingVersionIsRolledBack(t *testing.T) {
	fx := newFixture(t)
	if got := fx.runRollout(slotengine.NoResponse, "Request-Deadline: 150"); got != "rolled_back" {
		t.Errorf("state %q", got)
	}
}
