package host

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/host/settings"
	"sardinefront.dev/standin/engine"
)

// callerHead is the head of a non-idempotent request without framing headers and without its blank
// line. %s is the request's id.
const callerHead = "POST /desk/orders HTTP/1.1\r\nHost: h\r\nX-Organisation: a\r\nX-Request-Id: %s\r\n"

// dialCaller opens a connection of a caller.
func (f *fixture) dialCaller(t *testing.T) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", f.host.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// exchangeRaw writes the bytes of a request on a connection of its own and returns the status of the
// response, 0 if there is none, and the reason of a refusal.
func (f *fixture) exchangeRaw(t *testing.T, raw string) (status int, reason string) {
	t.Helper()
	c := f.dialCaller(t)
	defer c.Close()
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	resp.Body.Close()
	return resp.StatusCode, resp.Header.Get(headerReason)
}

// runs returns how many requests the service has run.
func (f *fixture) runs() (n int) {
	for _, count := range f.service.RunCounts() {
		n += count
	}
	return n
}

func withShortReadTimeout(s *settings.Settings) { s.Limits.ReadTimeout = 300 * time.Millisecond }

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
	f := newFixture(t, engine.Config{}, withShortReadTimeout)
	next := 0
	for name, raw := range requests {
		next++
		before := f.runs()
		status, _ := f.exchangeRaw(t, strings.Replace(raw, "%s", fmt.Sprintf("m%d", next), 1))
		if f.runs() > before || status != 0 && status/100 != 4 {
			t.Errorf("%s: status %d, ran: %t", name, status, f.runs() > before)
		}
	}
	if status, _ := f.exchangeRaw(t, fmt.Sprintf(callerHead, "sound")+"Content-Length: 2\r\n\r\nhi"); status != http.StatusOK {
		t.Errorf("status %d of a sound request", status)
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
	for name, format := range requests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, engine.Config{}, withShortReadTimeout)
			raw := fmt.Sprintf(format, "o1")
			for n := range raw {
				c := f.dialCaller(t)
				_, _ = io.WriteString(c, raw[:n])
				switch n % 3 {
				case 0:
					c.Close()
				case 1:
					_ = c.CloseWrite()
				}
			}
			time.Sleep(600 * time.Millisecond) // the requests on open connections time out
			if n := f.runs(); n > 0 {
				t.Errorf("%d cut requests ran", n)
			}
			if status, _ := f.exchangeRaw(t, raw); status != http.StatusOK || f.runs() != 1 {
				t.Errorf("the whole request: status %d, %d runs", status, f.runs())
			}
		})
	}
}
