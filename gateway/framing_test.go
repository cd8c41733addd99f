package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"sardinefront.dev/standin/slotengine"
)

// malformedHeads are heads that announce a body of 12 bytes in a way that is invalid or that two
// recipients may read differently, each with a shorter body. %s is the request's id.
var malformedHeads = map[string]string{
	"space before colon":        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length : 12\r\n\r\nhi",
	"tab before colon":          "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length\t: 12\r\n\r\nhi",
	"leading blank, first line": "HTTP/1.1 200 OK\r\n Content-Length: 12\r\nRequest-Id: %s\r\n\r\nhi",
	"leading blank":             "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n Content-Length: 12\r\n\r\nhi",
	"leading tab":               "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n\tContent-Length: 12\r\n\r\nhi",
	"folded length":             "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length:\r\n 2\r\n\r\nhi",
	"blank in the name":         "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent Length: 12\r\n\r\nhi",
	"no name":                   "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n: 12\r\n\r\nhi",
	"no colon":                  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length 12\r\n\r\nhi",
	"CR in the name":            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-\rLength: 12\r\n\r\nhi",
	"NUL in the name":           "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length\x00: 12\r\n\r\nhi",
	"CR in a value":             "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\rContent-Length: 12\r\n\r\nhi",
	"NUL in a value":            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\x00\r\n\r\nhi",
	"CR in the reason":          "HTTP/1.1 200 OK\rContent-Length: 12\r\nRequest-Id: %s\r\n\r\nhi",
	"doubled length":            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
	"conflicting lengths":       "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\nContent-Length: 12\r\n\r\nhi",
	"list of lengths":           "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2, 12\r\n\r\nhi",
	"length with sign":          "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: +2\r\n\r\nhi",
	"negative length":           "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: -1\r\n\r\nhi",
	"hexadecimal length":        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 0x0c\r\n\r\nhi",
	"length with point":         "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2.0\r\n\r\nhi",
	"length too large":          "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 99999999999999999999\r\n\r\nhi",
	"empty length":              "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length:\r\n\r\nhi",
	"identity":                  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: identity\r\n\r\nhi",
	"unknown encoding":          "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: xchunked\r\n\r\nc\r\nhi",
	"empty encoding":            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding:\r\n\r\nc\r\nhi",
	"chunked, then gzip":        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked, gzip\r\n\r\nc\r\nhi",
	"gzip, then chunked":        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	"chunked twice":             "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	"encoding, space":           "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding : chunked\r\n\r\nc\r\nhi",
	"encoding, leading blank":   "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n Transfer-Encoding: chunked\r\n\r\nc\r\nhi",
	"length and chunked":        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	"chunked and length":        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	"HTTP/1.0 with chunked":     "HTTP/1.0 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhi",
	"HTTP/1.0, both":            "HTTP/1.0 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\nc\r\nhi",
	"HTTP/2.0":                  "HTTP/2.0 200 OK\r\nRequest-Id: %s\r\n\r\nhi",
	"HTTP/0.9":                  "HTTP/0.9 200 OK\r\nRequest-Id: %s\r\n\r\nhi",
	"no version":                "200 OK\r\nRequest-Id: %s\r\n\r\nhi",
	"no head":                   "%s hi\r\n\r\n",
	"status of two digits":      "HTTP/1.1 20 OK\r\nRequest-Id: %s\r\n\r\nhi",
	"status with sign":          "HTTP/1.1 +20 OK\r\nRequest-Id: %[1]s\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %[1]s\r\n\r\nhi",
	"status zero":               "HTTP/1.1 000 OK\r\nRequest-Id: %[1]s\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %[1]s\r\n\r\nhi",
	"no content, with length":   "HTTP/1.1 204 No Content\r\nRequest-Id: %s\r\nContent-Length: 12\r\n\r\nhi",
	"no content, chunked":       "HTTP/1.1 204 No Content\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhi",
	"interim with length":       "HTTP/1.1 103 Early Hints\r\nContent-Length: 12\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\nhi",
	"interim with space":        "HTTP/1.1 103 Early Hints\r\nContent-Length : 12\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\nhi",
	"interim, folded":           "HTTP/1.1 103 Early Hints\r\nLink: a\r\n b\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\nhi",
}

// Guards against a response whose length or encoding is misspelt, so that the end of the
// connection passes for the end of its body and a short body reaches the caller as a whole one.
func TestMalformedHeadIsABrokenResponse(t *testing.T) {
	paths := map[string]string{"GET": pathNonIdempotent, "HEAD": pathNonIdempotent, "POST": pathNonResumable}
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fx := newFixture(t)
			respond := func(c net.Conn, r *http.Request) bool {
				fmt.Fprintf(c, head, r.Header.Get("Request-Id"))
				return false
			}
			stream := strings.ReplaceAll(head, "Request-Id: ", "Content-Type: text/event-stream\r\nRequest-Id: ")
			fx.addRawServer(plainName, "i-plain", respond)
			fx.addRawServer(engineName, "i-engine", func(c net.Conn, r *http.Request) bool {
				fmt.Fprintf(c, strings.ReplaceAll(stream, "hi", "data: 1\n\n"), r.Header.Get("Request-Id"))
				return false
			})
			fx.startHost()
			for method, path := range paths {
				if resp := fx.call(method, path, ""); resp.status != http.StatusBadGateway || resp.header.Get("Server-Stamp") != "" {
					t.Errorf("%s %s: response %+v", method, path, resp)
				}
			}
		})
	}
}

// Guards against a check of heads that refuses the responses of sound servers.
func TestSoundHeadIsForwarded(t *testing.T) {
	heads := map[string]string{
		"length":               "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nhi",
		"length, lower case":   "HTTP/1.1 200 OK\r\nrequest-id:%s\r\ncontent-length:2\r\n\r\nhi",
		"length, blanks":       "HTTP/1.1 200 OK\r\nRequest-Id:\t%s \r\nContent-Length: \t 2 \t\r\n\r\nhi",
		"leading zero":         "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 02\r\n\r\nhi",
		"chunked":              "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"chunked, upper case":  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTRANSFER-ENCODING: Chunked\r\n\r\n1;a=b\r\nh\r\n1\r\ni\r\n0\r\nA: b\r\n\r\n",
		"neither":              "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\nhi",
		"HTTP/1.0":             "HTTP/1.0 200 OK\r\nRequest-Id: %s\r\n\r\nhi",
		"HTTP/1.0 with length": "HTTP/1.0 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nhi",
		"no reason":            "HTTP/1.1 200 \r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nhi",
		"no reason, no blank":  "HTTP/1.1 200\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nhi",
		"reason, other bytes":  "HTTP/1.1 200 tr\xc3\xa8s bien, 100%%\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nhi",
		"empty value":          "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nX-Empty:\r\nContent-Length: 2\r\n\r\nhi",
		"odd bytes in a value": "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nX-Odd: \"a: b\", \xe9\t;\r\nContent-Length: 2\r\n\r\nhi",
		"odd name":             "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n!#$%%&'*+-.^_`|~9: x\r\nContent-Length: 2\r\n\r\nhi",
		"line feeds only":      "HTTP/1.1 200 OK\nRequest-Id: %s\nContent-Length: 2\n\nhi",
		"interim":              "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nhi",
		"long value":           "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nX-Long: " + strings.Repeat("x", 40<<10) + "\r\nContent-Length: 2\r\n\r\nhi",
		"many lines":           "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n" + strings.Repeat("X-Many: 0123456789\r\n", 1000) + "Content-Length: 2\r\n\r\nhi",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fx := newFixture(t)
			fx.addRawServer(plainName, "i-plain", func(c net.Conn, r *http.Request) bool {
				fmt.Fprintf(c, head, r.Header.Get("Request-Id"))
				return false
			})
			fx.startHost()
			if resp := fx.call("GET", pathNonIdempotent, ""); resp.status != http.StatusOK || resp.err != nil || resp.body != "hi" {
				t.Errorf("status %d, body %q, %v", resp.status, resp.body, resp.err)
			}
		})
	}
}

// Guards against a response with a malformed head that is not retried where the route allows it.
func TestMalformedHeadIsRetriedElsewhere(t *testing.T) {
	for _, path := range []string{pathIdempotent, pathStream} {
		fx := newFixture(t)
		service, body, kind := plainName, "whole", "text/plain"
		if path == pathStream {
			service, body, kind = engineName, streamEvents(1, 2), "text/event-stream"
		}
		fx.addBreakingServers(service, func(c net.Conn, r *http.Request, first bool) {
			if first {
				writeHead(c, r, "Content-Type: "+kind, "Content-Length : 1000")
				fmt.Fprint(c, body[:2])
				return
			}
			writeHead(c, r, "Content-Type: "+kind, fmt.Sprintf("Content-Length: %d", len(body)))
			fmt.Fprint(c, body)
		})
		fx.startHost()
		if resp := fx.call("POST", path, "prompt"); resp.status != http.StatusOK || resp.err != nil || resp.body != body {
			t.Errorf("%s: response %+v", path, resp)
		}
	}
}

// Guards against the response to a reservation whose body is short because its length is
// misspelt: the request must not be sent with it.
func TestReservationWithMalformedHeadIsNotUsed(t *testing.T) {
	for _, length := range []string{"Content-Length : 99", "Content-Length: 12\r\nContent-Length: 99", "Transfer-Encoding: chunked\r\nContent-Length: 12"} {
		fx := newFixture(t)
		s := fx.addServer(engineName, slotengine.Config{StreamEvents: 2})
		fx.addRawReservation(engineName, "i-raw", "HTTP/1.1 200 OK\r\n"+length+"\r\n\r\n{\"hold\":\"h\"}", func(r *http.Request) {
			t.Errorf("%q: a request was sent with reservation %q", length, r.Header.Get("Hold"))
		})
		fx.startHost()
		for range 3 {
			if resp := fx.call("POST", pathNonResumable, "prompt"); resp.status != http.StatusOK || resp.err != nil || resp.body != streamEvents(1, 2) {
				t.Errorf("%q: response %+v", length, resp)
			}
		}
		if n := len(s.Runs()); n != 3 {
			t.Errorf("%q: %d runs of 3 requests", length, n)
		}
	}
}
