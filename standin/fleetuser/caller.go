package fleetuser

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Call is one request of a caller.
type Request struct {
	ID, Method, Path, Body string
	// Patience is how long the caller waits for the whole answer.
	Timeout time.Duration
}

// Answer is what a caller got.
type Response struct {
	Status int
	// ID is the id that the answer names.
	ID   string
	Body string
	// Whole says that the answer came to its end.
	Complete bool
	// Close says that the host takes no more requests on the connection.
	Close bool
}

// Caller is one kept connection to a host.
type CallerConn struct {
	conn net.Conn
	br   *bufio.Reader
}

// Dial connects a caller.
func Dial(address string, timeout time.Duration) (*CallerConn, error) {
	c, err := net.DialTimeout("tcp4", address, timeout)
	if err != nil {
		return nil, err
	}
	return &CallerConn{conn: c, br: bufio.NewReader(c)}, nil
}

// Close ends the connection.
func (c *CallerConn) Close() { _ = c.conn.Close() }

// Do performs one exchange and waits for its end until a time after the caller's
// patience. An error without a status means that no answer came.
func (c *CallerConn) Do(call Request, grace time.Duration) (Response, error) {
	if err := c.conn.SetDeadline(time.Now().Add(call.Timeout + grace)); err != nil {
		return Response{}, err
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nRequest-Deadline: %d\r\nToken-Count: 10,10\r\n",
		call.Method, call.Path, VirtualHost, call.ID, APIKey, call.Timeout.Milliseconds())
	if call.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(call.Body))
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"+call.Body); err != nil {
		return Response{}, err
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: call.Method})
	if err != nil {
		return Response{}, err
	}
	body, err := io.ReadAll(resp.Body)
	return Response{Status: resp.StatusCode, ID: resp.Header.Get("Request-Id"), Body: string(body), Complete: err == nil, Close: resp.Close}, err
}

var eventPattern = regexp.MustCompile(`^id: (\d+)\ndata: piece-(\d+)$`)

// Events returns the numbers of the events in a stream. An event that is cut or
// malformed is an error.
func (a *Response) EventIDs() ([]int, error) {
	var out []int
	for text := range strings.SplitSeq(a.Body, "\n\n") {
		if text == "" {
			continue
		}
		m := eventPattern.FindStringSubmatch(text)
		if m == nil || m[1] != m[2] {
			return out, fmt.Errorf("malformed event %q", text)
		}
		n, err := strconv.Atoi(m[1])
		if err != nil {
			return out, err
		}
		out = append(out, n)
	}
	return out, nil
}
