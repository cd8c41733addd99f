// Package slotengine is a stand-in for the platform's servers, for tests: engines
// that run a number of requests at once, take reservations and stream events, and
// plain services. It misbehaves on request and remembers what reached it.
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

// Fault is one way to misbehave.
type Fault string

// The faults. Each applies to the next request only, unless Sticky is set.
const (
	// Shed answers that the request was not run.
	Shed Fault = "shed"
	// Fail answers 500 after a run.
	Fail Fault = "fail"
	// Reset runs the request and closes the connection without an answer.
	Disconnect Fault = "reset"
	// CutStream closes the connection in the middle of an event.
	TruncatedStream Fault = "cut"
	// Mute never answers.
	NoResponse Fault = "mute"
	// Extra sends a second answer after the first.
	ExtraResponse Fault = "extra"
	// Crossed sends an answer to another request first.
	MismatchedResponse Fault = "crossed"
	// Unframed sends an answer that ends with its connection.
	UnframedResponse Fault = "unframed"
)

// Run is one request that reached the server and was run.
type Run struct {
	RequestID, Method, URI, Organisation, LastEventID, ReservationID string
	Body                                                             []byte
	Header                                                           http.Header
	StartedAt                                                        time.Time
}

// Config describes a server.
type Config struct {
	// ID is the server's name.
	ID string
	// Slots is the number of reservations and runs at once.
	Slots int
	// Queue is the number of requests that wait for a slot; others are rejected.
	QueueCapacity int
	// Events is the number of events of a stream; 0 makes a plain service.
	StreamEvents int
	// Pause is the time between events, or of a plain answer.
	ResponseDelay time.Duration
	// Address is where to listen; empty picks a loopback port.
	Address string
}

// Server is a running stand-in. Its methods are safe for concurrent use.
type Server struct {
	cfg      Config
	listener net.Listener

	mu       sync.Mutex
	faults   []Fault
	sticky   Fault
	runs     []Run
	holds    map[string]time.Time // ends of reservations
	busy     int
	queued   int
	most     int
	accepted int
	conns    map[net.Conn]bool
	closed   bool
}

// Start serves on a loopback port.
func Start(cfg Config) (*Server, error) {
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", cfg.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, listener: l, holds: map[string]time.Time{}, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Address is host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server and its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// Next makes the next requests misbehave, one fault each.
func (s *Server) InjectFaults(f ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, f...)
}

// Always makes all requests misbehave; an empty fault ends that.
func (s *Server) SetPersistentFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sticky = f
}

// Runs returns what was run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Connections returns how many connections were accepted.
func (s *Server) AcceptedConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Most returns the largest number of runs at once.
func (s *Server) PeakRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}

// Busy returns the number of runs now.
func (s *Server) ActiveRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.accepted++
		s.conns[c] = true
		closed := s.closed
		s.mu.Unlock()
		if closed {
			_ = c.Close()
			return
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
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
		if err != nil || !s.handle(c, br, r, body) {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (s *Server) handle(c net.Conn, br *bufio.Reader, r *http.Request, body []byte) bool {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.cfg.ID {
		return write(c, 421, "Instance-Id: "+s.cfg.ID+"\r\n", nil)
	}
	if r.URL.Path == "/-/hold-take" {
		return s.reserve(c, body)
	}
	if id, ok := strings.CutPrefix(r.URL.Path, "/-/hold-drop/"); ok {
		s.mu.Lock()
		delete(s.holds, id)
		s.mu.Unlock()
		return write(c, 200, "", nil)
	}
	return s.run(c, br, r, body)
}

func (s *Server) reserve(c net.Conn, body []byte) bool {
	var ask struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.Unmarshal(body, &ask); err != nil {
		return write(c, 400, "", nil)
	}
	now := time.Now()
	s.mu.Lock()
	full := s.full(now)
	id := fmt.Sprintf("%s-%d", s.cfg.ID, now.UnixNano())
	if !full {
		s.holds[id] = now.Add(time.Duration(ask.TTLMs) * time.Millisecond)
	}
	s.mu.Unlock()
	if full {
		return write(c, 503, "", nil)
	}
	b, err := json.Marshal(map[string]string{"hold": id})
	return err == nil && write(c, 200, "", b)
}

// begin notes a run and returns the fault that it shows.
func (s *Server) begin(r *http.Request, body []byte) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.sticky
	if f == "" && len(s.faults) > 0 {
		f, s.faults = s.faults[0], s.faults[1:]
	}
	hold := r.Header.Get("Hold")
	_, reserved := s.holds[hold]
	delete(s.holds, hold)
	if f == Shed || !reserved && !s.awaitSlot() {
		return Shed, false
	}
	s.busy++
	s.most = max(s.most, s.busy)
	s.runs = append(s.runs, Run{
		RequestID: r.Header.Get("Request-Id"), Method: r.Method, URI: r.RequestURI, Organisation: r.Header.Get("Tenant"),
		LastEventID: r.Header.Get("Last-Event-Id"), ReservationID: hold, Body: body, Header: r.Header, StartedAt: time.Now(),
	})
	return f, true
}

// full drops the reservations that have ended and reports whether no slot is left. The
// caller holds the lock.
func (s *Server) full(now time.Time) bool {
	maps.DeleteFunc(s.holds, func(_ string, end time.Time) bool { return now.After(end) })
	return s.busy+len(s.holds) >= s.cfg.Slots
}

// slotPoll is how often a queued request looks for a slot.
const slotPoll = time.Millisecond

// awaitSlot waits in the queue for a free slot, and reports whether it got one. The
// caller holds the lock, which is given up meanwhile.
func (s *Server) awaitSlot() bool {
	if s.full(time.Now()) && s.queued >= s.cfg.QueueCapacity {
		return false
	}
	s.queued++
	for s.full(time.Now()) && !s.closed {
		s.mu.Unlock()
		time.Sleep(slotPoll)
		s.mu.Lock()
	}
	s.queued--
	return !s.closed
}

func (s *Server) done() {
	s.mu.Lock()
	s.busy--
	s.mu.Unlock()
}

func (s *Server) run(c net.Conn, br *bufio.Reader, r *http.Request, body []byte) bool {
	f, ran := s.begin(r, body)
	if !ran {
		return write(c, 503, "Not-Executed: 1\r\n", nil)
	}
	defer s.done()
	head := "Request-Id: " + r.Header.Get("Request-Id") + "\r\nServer-Stamp: stamp-" + s.cfg.ID + "\r\nServer-Load: 1,0," + strconv.Itoa(s.cfg.Slots) + "\r\n"
	switch f {
	case Fail:
		time.Sleep(s.cfg.ResponseDelay)
		return write(c, 500, head, []byte("failed"))
	case Disconnect:
		return false
	case NoResponse:
		_, _ = br.ReadByte() // until the caller closes the connection
		return false
	case MismatchedResponse:
		write(c, 200, "Request-Id: other\r\nServer-Stamp: stamp-other\r\n", []byte("not yours"))
	case UnframedResponse:
		s.unframed(c, r, head)
		return false
	}
	if s.cfg.StreamEvents > 0 {
		return s.stream(c, r, head, f)
	}
	time.Sleep(s.cfg.ResponseDelay)
	ok := write(c, 200, head, []byte("plain from "+s.cfg.ID))
	if f == ExtraResponse {
		ok = write(c, 200, head, []byte("once more"))
	}
	return ok
}

func (s *Server) stream(c net.Conn, r *http.Request, head string, f Fault) bool {
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return false
	}
	for i := next(r); i <= s.cfg.StreamEvents; i++ {
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

// unframed sends a whole answer without a length, which ends with the connection.
func (s *Server) unframed(c net.Conn, r *http.Request, head string) {
	if s.cfg.StreamEvents == 0 {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\nplain from %s", head, s.cfg.ID)
		return
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n", head)
	for i := next(r); i <= s.cfg.StreamEvents; i++ {
		_, _ = io.WriteString(c, eventText(i)) // the caller sees a cut answer
	}
}

// next returns the number of the first event that the caller does not have.
func next(r *http.Request) int {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none begins at the start
	return last + 1
}

func eventText(i int) string { return fmt.Sprintf("id: %d\ndata: piece-%d\n\n", i, i) }

func write(c net.Conn, status int, head string, body []byte) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, len(body), body)
	return err == nil
}
