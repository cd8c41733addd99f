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

// Request is a request that a caller sends to a host.
type Request struct {
	ID, Method, Path, Body string
	// Timeout is how long the caller waits for the complete response. It is sent as
	// the Request-Deadline header, in milliseconds.
	Timeout time.Duration
}

// Response is the response that a caller received, possibly incomplete.
type Response struct {
	Status int
	// ID is the request id in the response header.
	ID   string
	Body string
	// Complete is true if the body was received to its end.
	Complete bool
	// Close is true if the host accepts no more requests on the connection.
	Close bool
	// Server is the instance id of the server that responded; empty if the host responded.
	Server string
	// Leaving is true if the response states that the server is leaving.
	Leaving bool
	// HeaderAt is when the header was received.
	HeaderAt time.Time
}

// CallerConn is a persistent connection from a caller to a host. It serves one request
// at a time and is not safe for concurrent use.
type CallerConn struct {
	conn net.Conn
	br   *bufio.Reader
}

// Dial connects a caller to the host at address (host:port).
func Dial(address string, timeout time.Duration) (*CallerConn, error) {
	c, err := net.DialTimeout("tcp4", address, timeout)
	if err != nil {
		return nil, err
	}
	return &CallerConn{conn: c, br: bufio.NewReader(c)}, nil
}

// Close closes the connection.
func (c *CallerConn) Close() { _ = c.conn.Close() }

// Do sends a request and reads its response. It fails after the request's timeout plus
// grace. If it returns an error and a zero status, no response header was received.
func (c *CallerConn) Do(request Request, grace time.Duration) (Response, error) {
	if err := c.conn.SetDeadline(time.Now().Add(request.Timeout + grace)); err != nil {
		return Response{}, err
	}
	header := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nRequest-Deadline: %d\r\nToken-Count: 10,10\r\n",
		request.Method, request.Path, VirtualHost, request.ID, APIKey, request.Timeout.Milliseconds())
	if request.Method != http.MethodGet {
		header += fmt.Sprintf("Content-Length: %d\r\n", len(request.Body))
	}
	if _, err := io.WriteString(c.conn, header+"\r\n"+request.Body); err != nil {
		return Response{}, err
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: request.Method})
	if err != nil {
		return Response{}, err
	}
	headerAt := time.Now()
	body, err := io.ReadAll(resp.Body)
	return Response{
		Status: resp.StatusCode, ID: resp.Header.Get("Request-Id"), Body: string(body), Complete: err == nil, Close: resp.Close,
		Server: strings.TrimPrefix(resp.Header.Get("Server-Stamp"), "stamp-"), Leaving: resp.Header.Get("Server-Leaving") == "1", HeaderAt: headerAt,
	}, err
}

var eventPattern = regexp.MustCompile(`^id: (\d+)\ndata: piece-(\d+)$`)

// EventIDs returns the ids of the events in a streamed response. It returns an error,
// with the ids so far, at the first truncated or malformed event.
func (r *Response) EventIDs() ([]int, error) {
	var ids []int
	for text := range strings.SplitSeq(r.Body, "\n\n") {
		if text == "" {
			continue
		}
		m := eventPattern.FindStringSubmatch(text)
		if m == nil || m[1] != m[2] {
			return ids, fmt.Errorf("malformed event %q", text)
		}
		n, err := strconv.Atoi(m[1])
		if err != nil {
			return ids, err
		}
		ids = append(ids, n)
	}
	return ids, nil
}
