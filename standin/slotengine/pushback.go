package slotengine

import (
	"net/http"
	"strconv"
	"time"
)

// Arrival is a request that reached the server, whether it ran or not.
type Arrival struct {
	RequestID, Path string
	// Connection identifies the connection.
	Connection string
	At         time.Time
	// Leaving is true if the server was leaving.
	Leaving bool
	// BackOffLeft is the rest of the back-off that the server had asked for; 0 if there was
	// none.
	BackOffLeft time.Duration
}

// pushBack is a time in which the server rejects all requests.
type pushBack struct {
	until  time.Time
	asDate bool
	value  string // Retry-After to send in place of the time left; empty for the time left
}

// SetLeaving makes all responses from now on state that the server is leaving, while it still
// serves requests.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// PushBack rejects all requests for d with status 503 and the time left in Retry-After, in
// seconds or as a date.
func (s *Server) PushBack(d time.Duration, asDate bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pushBack = pushBack{until: time.Now().Add(d), asDate: asDate}
}

// PushBackWith rejects all requests for d with status 503 and the given Retry-After.
func (s *Server) PushBackWith(d time.Duration, retryAfter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pushBack = pushBack{until: time.Now().Add(d), value: retryAfter}
}

// Arrivals returns the requests and reservations that have reached the server, in the order of
// their arrival.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// recordArrival records a request. If the server pushes back, it returns the Retry-After.
func (s *Server) recordArrival(r *http.Request, now time.Time) (retryAfter string, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := max(0, s.pushBack.until.Sub(now))
	s.arrivals = append(s.arrivals, Arrival{RequestID: r.Header.Get("Request-Id"), Path: r.URL.Path, Connection: r.RemoteAddr, At: now, Leaving: s.leaving, BackOffLeft: left})
	if left == 0 {
		return "", false
	}
	return s.pushBack.retryAfter(left), true
}

// retryAfter returns the header value for the time left. A date is rounded up to seconds.
func (p pushBack) retryAfter(left time.Duration) string {
	switch {
	case p.value != "":
		return p.value
	case p.asDate:
		return p.until.Add(time.Second).UTC().Format(http.TimeFormat)
	}
	return strconv.FormatFloat(left.Seconds(), 'f', 3, 64)
}

// statusHeader returns the header lines that all responses carry.
func (s *Server) statusHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return "Server-Leaving: 1\r\n"
	}
	return ""
}
