package target

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against the error of an engine that is asked to resume a stream and that is taken for a
// part of the stream, or for its end.
func TestResumeAcceptsNoErrorAsStream(t *testing.T) {
	const text = "the engine failed"
	const id = "X-Request-Id: g1\r\n"
	const events = "Content-Type: text/event-stream\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text)
	responses := map[string]string{
		"error with length":     "HTTP/1.1 500 Failed\r\n" + id + length,
		"error in chunks":       "HTTP/1.1 500 Failed\r\n" + id + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(text), text),
		"error with neither":    "HTTP/1.1 500 Failed\r\n" + id + "\r\n" + text,
		"error as event stream": "HTTP/1.1 500 Failed\r\n" + id + events + "\r\ndata: " + text + "\n\ndata: [DONE]\n\n",
		"error after interim":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 Failed\r\n" + id + length,
		"redirect":              "HTTP/1.1 307 Elsewhere\r\nLocation: /other\r\n" + id + length,
		"no content":            "HTTP/1.1 204 None\r\n" + id + "\r\n",
		"another type":          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + id + length,
		"text as event stream":  "HTTP/1.1 200 OK\r\n" + id + events + length,
		"event without id":      "HTTP/1.1 200 OK\r\n" + id + events + "\r\ndata: " + text + "\n\ndata: [DONE]\n\n",
		"no event":              "HTTP/1.1 200 OK\r\n" + id + events + "\r\n",
		"empty chunks":          "HTTP/1.1 200 OK\r\n" + id + events + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"empty, with length":    "HTTP/1.1 200 OK\r\n" + id + events + "Content-Length: 0\r\n\r\n",
		"not HTTP":              text + "\r\n\r\n",
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			e := NewEngine(startServer(t, func(w net.Conn, _, _ int, _ *http.Request) bool {
				io.WriteString(w, response)
				return false
			}).config())
			defer e.Close()
			resp, err := e.Resume(context.Background(), "g1", 2)
			if err != nil {
				return
			}
			part, err := resp.Body.Next()
			if err == nil || err == io.EOF || strings.Contains(string(part), text) {
				t.Errorf("resumed with %q, error %v", part, err)
			}
		})
	}
}
