package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/standin/slotengine"
)

const callerDeadline = 300 * time.Millisecond

// callerHead is the head of a request without framing headers and without its blank line.
var callerHead = fmt.Sprintf("POST "+pathNonIdempotent+" HTTP/1.1\r\nHost: "+testHost+"\r\nRequest-Id: r-1\r\nAuthorization: Bearer "+testKey+"\r\nRequest-Deadline: %d\r\n", callerDeadline.Milliseconds())

// exchangeRaw writes the bytes of a request on a connection of its own and returns the response,
// status 0 if there is none.
func (fx *fixture) exchangeRaw(raw string) response {
	fx.t.Helper()
	c := fx.dial()
	defer c.Close()
	if _, err := io.WriteString(c, raw); err != nil {
		fx.t.Fatal(err)
	}
	return fx.read(c)
}

// Guards against a request whose framing is misspelt or ambiguous and that runs with a part of its
// body, or without one.
func TestMalformedRequestDoesNotRun(t *testing.T) {
	http10 := strings.Replace(callerHead, "HTTP/1.1", "HTTP/1.0", 1)
	requests := map[string]string{
		"space before colon":       callerHead + "Content-Length : 12\r\n\r\nhi",
		"tab before colon":         callerHead + "Content-Length\t: 12\r\n\r\nhi",
		"leading blank":            strings.Replace(callerHead, "Host:", " Content-Length: 12\r\nHost:", 1) + "\r\nhi",
		"blank in the name":        callerHead + "Content Length: 12\r\n\r\nhi",
		"CR in the name":           callerHead + "Content-\rLength: 12\r\n\r\nhi",
		"NUL in the name":          callerHead + "Content-Length\x00: 12\r\n\r\nhi",
		"CR in a value":            callerHead + "A: b\rContent-Length: 12\r\n\r\nhi",
		"conflicting lengths":      callerHead + "Content-Length: 2\r\nContent-Length: 12\r\n\r\nhi",
		"list of lengths":          callerHead + "Content-Length: 2, 12\r\n\r\nhi",
		"length with sign":         callerHead + "Content-Length: +2\r\n\r\nhi",
		"hexadecimal length":       callerHead + "Content-Length: 0x2\r\n\r\nhi",
		"empty length":             callerHead + "Content-Length:\r\n\r\nhi",
		"identity":                 callerHead + "Transfer-Encoding: identity\r\n\r\nhi",
		"unknown encoding":         callerHead + "Transfer-Encoding: xchunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"chunked, then gzip":       callerHead + "Transfer-Encoding: chunked, gzip\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"chunked twice":            callerHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"encoding, space":          callerHead + "Transfer-Encoding : chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"length and chunked, cut":  callerHead + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhi",
		"HTTP/1.0 with chunked":    http10 + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.0 with length cut": http10 + "Content-Length: 12\r\n\r\nhi",
		"HTTP/1.0 without framing": http10 + "\r\nhi",
	}
	fx := newFixture(t)
	s := fx.addServer(plainName, slotengine.Config{})
	fx.startHost()
	for name, raw := range requests {
		before := len(s.Runs())
		resp := fx.exchangeRaw(raw)
		if n := len(s.Runs()) - before; n > 0 {
			t.Errorf("%s: the request ran, response %+v", name, resp)
		}
		if resp.status != 0 && resp.status/100 != 4 && resp.status != http.StatusNotImplemented {
			t.Errorf("%s: response %+v", name, resp)
		}
	}
	if resp := fx.call("POST", pathNonIdempotent, "order"); resp.status != http.StatusOK {
		t.Errorf("status %d of a sound request", resp.status)
	}
}

// Guards against a request that breaks off at any byte of its head or body and runs all the same.
func TestCutRequestDoesNotRun(t *testing.T) {
	requests := map[string]string{
		"length":   callerHead + "Content-Length: 12\r\n\r\nhello, world",
		"chunked":  callerHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
		"trailers": callerHead + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.0": strings.Replace(callerHead, "HTTP/1.1", "HTTP/1.0", 1) + "Content-Length: 12\r\n\r\nhello, world",
	}
	for name, raw := range requests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fx := newFixture(t)
			s := fx.addServer(plainName, slotengine.Config{})
			fx.startHost()
			for n := range raw {
				c := fx.dial()
				_, _ = io.WriteString(c, raw[:n])
				switch n % 3 {
				case 0:
					c.Close()
				case 1:
					_ = c.Conn.(*net.TCPConn).CloseWrite()
				}
			}
			time.Sleep(2 * callerDeadline) // the requests on open connections time out
			if n := len(s.Runs()); n > 0 {
				t.Fatalf("%d cut requests ran", n)
			}
			if resp := fx.exchangeRaw(raw); resp.status != http.StatusOK || len(s.Runs()) != 1 {
				t.Errorf("the whole request: response %+v, %d runs", resp, len(s.Runs()))
			}
		})
	}
}

// Guards against a head of a caller that arrives byte by byte and is taken for whole before its end,
// or is refused although it completes.
func TestSlowHeadOfCaller(t *testing.T) {
	fx := newFixture(t)
	s := fx.addServer(plainName, slotengine.Config{})
	fx.startHost()
	raw := callerHead + "Content-Length: 2\r\n\r\nhi"
	c := fx.dial()
	writeSlowly(c, raw[:len(raw)-1])
	time.Sleep(20 * time.Millisecond)
	if n := len(s.Runs()); n > 0 {
		t.Errorf("%d runs before the last byte", n)
	}
	fmt.Fprint(c, raw[len(raw)-1:])
	if resp := fx.read(c); resp.status != http.StatusOK || len(s.Runs()) != 1 {
		t.Errorf("response %+v, %d runs", resp, len(s.Runs()))
	}
}
