// Package slotengine simulates the targets of package gateway: engines with a limited
// number of slots, which accept reservations and stream events, and plain services. It
// injects faults on request and records the requests that it ran.
package slotengine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is the kind of an injected fault.
type Fault string

// The kinds of faults. A fault passed to InjectFaults applies to one request, one passed
// to SetPersistentFault to all requests.
const (
	// Shed rejects the request with status 503 and the header that it was not run.
	Shed Fault = "shed"
	// Fail runs the request and responds with status 500.
	Fail Fault = "fail"
	// Disconnect runs the request and closes the connection without a response.
	Disconnect Fault = "reset"
	// TruncatedStream closes the connection in the middle of an event.
	TruncatedStream Fault = "cut"
	// NoResponse runs the request and never responds.
	NoResponse Fault = "mute"
	// ExtraResponse sends a second, unrequested response after the first.
	ExtraResponse Fault = "extra"
	// MismatchedResponse sends a response with another request id before its own
	// response.
	MismatchedResponse Fault = "crossed"
	// UnframedResponse sends a response without a length, which only the end of the
	// connection delimits.
	UnframedResponse Fault = "unframed"
)

// Run is a request that the server ran.
type Run struct {
	RequestID, Method, URI, Organisation, LastEventID, ReservationID string
	Body                                                             []byte
	Header                                                           http.Header
	StartedAt                                                        time.Time
}

// Config configures a server.
type Config struct {
	// ID is the instance id. A request with another id in the Expect-Instance header is
	// rejected with status 421.
	ID string
	// Slots is the maximum number of concurrent runs and reservations together.
	Slots int
	// QueueCapacity is the maximum number of requests that wait for a slot; further
	// ones are rejected.
	QueueCapacity int
	// StreamEvents is the number of events of a stream; 0 makes a plain service.
	StreamEvents int
	// ResponseDelay is the delay before each event of a stream, or before a plain
	// response.
	ResponseDelay time.Duration
	// CrashOnPart is the id of a part of a prompt. A server that begins a response to a request
	// with it closes its listener and all connections; empty for none.
	CrashOnPart string
	// Address is the listen address (host:port); empty selects a free loopback port.
	Address string
}

// Server is a running stand-in. Its methods are safe for concurrent use.
type Server struct {
	cfg      Config
	listener net.Listener

	mu              sync.Mutex
	nextFaults      []Fault
	persistentFault Fault
	runs            []Run
	reservations    map[string]time.Time // expiry by reservation id
	activeRuns      int
	queuedRequests  int
	peakRuns        int
	acceptedConns   int
	conns           map[net.Conn]bool
	closed          bool
}

// Start listens on the configured address and serves in the background until Close.
func Start(cfg Config) (*Server, error) {
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", cfg.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, listener: l, reservations: map[string]time.Time{}, conns: map[net.Conn]bool{}}
	go s.acceptConns()
	return s, nil
}

// Address returns the address (host:port) that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// InjectFaults queues faults for the next requests, one each.
func (s *Server) InjectFaults(f ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextFaults = append(s.nextFaults, f...)
}

// SetPersistentFault applies a fault to all requests until it is called with an empty
// fault. Queued faults stay queued meanwhile.
func (s *Server) SetPersistentFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.persistentFault = f
}

// Runs returns the runs so far, in the order in which they started.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// AcceptedConnections returns the number of connections accepted since the start.
func (s *Server) AcceptedConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptedConns
}

// PeakRuns returns the largest number of concurrent runs so far.
func (s *Server) PeakRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakRuns
}

// ActiveRuns returns the number of current runs.
func (s *Server) ActiveRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeRuns
}

func (s *Server) acceptConns() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.acceptedConns++
		s.conns[c] = true
		closed := s.closed
		s.mu.Unlock()
		if closed {
			_ = c.Close()
			return
		}
		go s.serveConn(c)
	}
}

func (s *Server) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !s.handleRequest(c, br, r, body) {
			return
		}
	}
}

// handleRequest serves one request and reports whether the connection stays open.
func (s *Server) handleRequest(c net.Conn, br *bufio.Reader, r *http.Request, body []byte) bool {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.cfg.ID {
		return writeResponse(c, 421, "Instance-Id: "+s.cfg.ID+"\r\n", nil)
	}
	if r.URL.Path == "/-/hold-take" {
		return s.reserve(c, body)
	}
	if id, ok := strings.CutPrefix(r.URL.Path, "/-/hold-drop/"); ok {
		s.mu.Lock()
		delete(s.reservations, id)
		s.mu.Unlock()
		return writeResponse(c, 200, "", nil)
	}
	return s.executeRequest(c, br, r, body)
}

func (s *Server) reserve(c net.Conn, body []byte) bool {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return writeResponse(c, 400, "", nil)
	}
	now := time.Now()
	s.mu.Lock()
	exhausted := s.slotsExhausted(now)
	id := fmt.Sprintf("%s-%d", s.cfg.ID, now.UnixNano())
	if !exhausted {
		s.reservations[id] = now.Add(time.Duration(in.TTLMs) * time.Millisecond)
	}
	s.mu.Unlock()
	if exhausted {
		return writeResponse(c, 503, "", nil)
	}
	b, err := json.Marshal(map[string]string{"hold": id})
	return err == nil && writeResponse(c, 200, "", b)
}

// beginRun acquires a slot and records the run. It returns the fault to apply, and reports
// false if the request is rejected.
func (s *Server) beginRun(r *http.Request, body []byte) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.persistentFault
	if f == "" && len(s.nextFaults) > 0 {
		f, s.nextFaults = s.nextFaults[0], s.nextFaults[1:]
	}
	reservationID := r.Header.Get("Hold")
	_, reserved := s.reservations[reservationID]
	delete(s.reservations, reservationID)
	if f == Shed || !reserved && !s.waitForSlot() {
		return Shed, false
	}
	s.activeRuns++
	s.peakRuns = max(s.peakRuns, s.activeRuns)
	s.runs = append(s.runs, Run{
		RequestID: r.Header.Get("Request-Id"), Method: r.Method, URI: r.RequestURI, Organisation: r.Header.Get("Tenant"),
		LastEventID: r.Header.Get("Last-Event-Id"), ReservationID: reservationID, Body: body, Header: r.Header, StartedAt: time.Now(),
	})
	return f, true
}

// slotsExhausted deletes the expired reservations and reports whether no slot is free.
// The caller holds the lock.
func (s *Server) slotsExhausted(now time.Time) bool {
	maps.DeleteFunc(s.reservations, func(_ string, end time.Time) bool { return now.After(end) })
	return s.activeRuns+len(s.reservations) >= s.cfg.Slots
}

// slotPollInterval is the interval at which a queued request checks for a free slot.
const slotPollInterval = time.Millisecond

// waitForSlot waits in the queue for a free slot. It reports false if the queue is full
// or the server closes. The caller holds the lock, which is released while waiting.
func (s *Server) waitForSlot() bool {
	if s.slotsExhausted(time.Now()) && s.queuedRequests >= s.cfg.QueueCapacity {
		return false
	}
	s.queuedRequests++
	for s.slotsExhausted(time.Now()) && !s.closed {
		s.mu.Unlock()
		time.Sleep(slotPollInterval)
		s.mu.Lock()
	}
	s.queuedRequests--
	return !s.closed
}

func (s *Server) endRun() {
	s.mu.Lock()
	s.activeRuns--
	s.mu.Unlock()
}

func (s *Server) executeRequest(c net.Conn, br *bufio.Reader, r *http.Request, body []byte) bool {
	f, ran := s.beginRun(r, body)
	if !ran {
		return writeResponse(c, 503, "Not-Executed: 1\r\n", nil)
	}
	defer s.endRun()
	if p := s.cfg.CrashOnPart; p != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), p+":") {
		time.Sleep(s.cfg.ResponseDelay)
		s.Close()
		return false
	}
	header := "Request-Id: " + r.Header.Get("Request-Id") + "\r\nServer-Stamp: stamp-" + s.cfg.ID + "\r\nServer-Load: 1,0," + strconv.Itoa(s.cfg.Slots) + "\r\n"
	switch f {
	case Fail:
		time.Sleep(s.cfg.ResponseDelay)
		return writeResponse(c, 500, header, []byte("failed"))
	case Disconnect:
		return false
	case NoResponse:
		_, _ = br.ReadByte() // returns when the caller closes the connection
		return false
	case MismatchedResponse:
		writeResponse(c, 200, "Request-Id: other\r\nServer-Stamp: stamp-other\r\n", []byte("not yours"))
	case UnframedResponse:
		s.sendUnframed(c, r, header)
		return false
	}
	if s.cfg.StreamEvents > 0 {
		return s.sendStream(c, r, header, f)
	}
	time.Sleep(s.cfg.ResponseDelay)
	ok := writeResponse(c, 200, header, []byte("plain from "+s.cfg.ID))
	if f == ExtraResponse {
		ok = writeResponse(c, 200, header, []byte("once more"))
	}
	return ok
}

func (s *Server) sendStream(c net.Conn, r *http.Request, header string, f Fault) bool {
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", header); err != nil {
		return false
	}
	for i := firstEvent(r); i <= s.cfg.StreamEvents; i++ {
		time.Sleep(s.cfg.ResponseDelay)
		event := eventText(i)
		if f == TruncatedStream && i == s.cfg.StreamEvents/2 {
			fmt.Fprintf(c, "%x\r\n%s", len(event), event[:len(event)/2])
			return false
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// sendUnframed sends a complete response without a length. The end of the connection
// delimits it.
func (s *Server) sendUnframed(c net.Conn, r *http.Request, header string) {
	if s.cfg.StreamEvents == 0 {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\nplain from %s", header, s.cfg.ID)
		return
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n", header)
	for i := firstEvent(r); i <= s.cfg.StreamEvents; i++ {
		_, _ = io.WriteString(c, eventText(i)) // on an error the caller gets a truncated response
	}
}

// firstEvent returns the number of the first event that the caller has not received,
// according to its Last-Event-Id header.
func firstEvent(r *http.Request) int {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // a missing header starts at event 1
	return last + 1
}

func eventText(i int) string { return fmt.Sprintf("id: %d\ndata: piece-%d\n\n", i, i) }

func writeResponse(c net.Conn, status int, header string, body []byte) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
	return err == nil
}
