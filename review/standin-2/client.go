package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has read for a request.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "error: " + a.err.Error()
	}
	return fmt.Sprintf("%d, signature %q, body %q", a.status, a.stamp, a.body)
}

// exchange sends one request on a new connection and reads the answer.
func exchange(address, requestLine string, headers map[string]string, body string, limit time.Duration) answer {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(limit))
	var b strings.Builder
	b.WriteString(requestLine + " HTTP/1.1\r\n")
	for k, v := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	method, _, _ := strings.Cut(requestLine, " ")
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, stamp: resp.Header.Get("Server-Stamp"), body: string(text), err: err}
}
