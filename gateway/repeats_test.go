package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// statesNotRun reports whether callers take the status as a guarantee that the request did not
// run and never will.
func statesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// refusalWithoutID is a refusal that does not name its request.
func refusalWithoutID(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d Refused\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status)
}

// refusalOf is a refusal of the request r.
func refusalOf(r *http.Request) string {
	return "HTTP/1.1 503 Refused\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

// Guards against a target that writes a refusal once more on a kept connection, where the
// response to the next request is due: the caller was told that its request had not run,
// although the target ran it.
func TestRepeatedRefusalIsNotTakenForTheResponse(t *testing.T) {
	cases := map[string]struct {
		path    string
		refusal func(*http.Request) string
		sameID  bool // the caller sends the refused request again with its id
	}{
		"without id":                     {pathNonIdempotent, func(*http.Request) string { return refusalWithoutID(503) }, false},
		"misdirected without id":         {pathNonIdempotent, func(*http.Request) string { return refusalWithoutID(421) }, false},
		"request with the same id":       {pathNonIdempotent, refusalOf, true},
		"without id after a reservation": {pathNonResumable, func(*http.Request) string { return refusalWithoutID(503) }, false},
		"misdirected after reservation":  {pathNonResumable, func(*http.Request) string { return refusalWithoutID(421) }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			service := plainName
			if tc.path == pathNonResumable {
				service = engineName
			}
			refused := map[net.Conn]string{} // refusals by connection; requests come one at a time
			var runs atomic.Int32
			fx.addRawServer(service, "i-0", func(c net.Conn, r *http.Request) bool {
				if len(refused) == 0 {
					refused[c] = tc.refusal(r)
					_, err := io.WriteString(c, refused[c])
					return err == nil
				}
				runs.Add(1)
				io.WriteString(c, refused[c])
				writeHead(c, r, "Content-Length: 3")
				_, err := io.WriteString(c, "ran")
				return err == nil
			})
			fx.startHost()
			fx.call("POST", tc.path, "first")
			before := runs.Load()
			if tc.sameID {
				fx.nextID--
			}
			if resp := fx.call("POST", tc.path, "second"); runs.Load() > before && statesNotRun(resp.status) {
				t.Errorf("status %d although the request ran", resp.status)
			}
		})
	}
}

// Guards against a copy of a refused reservation that is taken for the response to the request
// on the same connection. The reservation's refusal has no id.
func TestRepeatedReservationRefusalIsSkipped(t *testing.T) {
	for _, status := range []int{503, 421, 200} {
		fx := newFixture(t)
		copied := refusalWithoutID(status)
		fx.addRawServer(engineName, "i-0", func(c net.Conn, r *http.Request) bool {
			io.WriteString(c, copied)
			writeHead(c, r, "Content-Length: 3")
			_, err := io.WriteString(c, "ran")
			return err == nil
		})
		fx.startHost()
		for range 3 {
			if resp := fx.call("POST", pathNonResumable, "prompt"); resp.status != 200 || resp.body != "ran" {
				t.Errorf("copy with status %d: %+v", status, resp)
			}
		}
	}
}

// Guards against a status that callers take as a guarantee, forwarded from a target that did
// not state that it had not run the request, and against a success that is dropped, and the
// request run again, because it carries the header of a refusal.
func TestStatusWithoutStatementIsNoGuarantee(t *testing.T) {
	for _, status := range []int{408, 429, 503, 200} {
		fx := newFixture(t)
		extra := "Sound: 1"
		if status == 200 {
			extra = "Not-Executed: 1"
		}
		var runs atomic.Int32
		fx.addRawServer(plainName, "i-0", func(c net.Conn, r *http.Request) bool {
			runs.Add(1)
			_, err := fmt.Fprintf(c, "HTTP/1.1 %d Status\r\nRequest-Id: %s\r\n%s\r\nContent-Length: 3\r\n\r\nran", status, r.Header.Get("Request-Id"), extra)
			return err == nil
		})
		fx.startHost()
		resp := fx.call("POST", pathNonIdempotent, "order")
		if statesNotRun(resp.status) || runs.Load() != 1 || status == 200 && resp.status != 200 {
			t.Errorf("target's status %d: caller got %d after %d runs", status, resp.status, runs.Load())
		}
	}
}

// Guards against a request that is refused although a target is free, because its only attempt went
// to an address that another incarnation has taken over, which has not run it.
func TestMisdirectedRequestIsSentToAnotherTarget(t *testing.T) {
	for path, service := range map[string]string{pathNonIdempotent: plainName, pathNonResumable: engineName} {
		fx := newFixture(t)
		var arrivals, runs atomic.Int32
		for _, id := range []string{"i-0", "i-1"} {
			fx.addRawServer(service, id, func(c net.Conn, r *http.Request) bool {
				if arrivals.Add(1) == 1 {
					fmt.Fprintf(c, "HTTP/1.1 421 Misdirected\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
					return true
				}
				runs.Add(1)
				writeHead(c, r, "Content-Length: 3")
				_, err := io.WriteString(c, "ran")
				return err == nil
			})
		}
		fx.startHost()
		if resp := fx.call("POST", path, "order"); resp.status != 200 || resp.body != "ran" || runs.Load() != 1 || arrivals.Load() != 2 {
			t.Errorf("%s: %+v after %d arrivals and %d runs", path, resp, arrivals.Load(), runs.Load())
		}
	}
}
