package ingress

import (
	"net/http"
	"strconv"
	"time"

	"sardinefront.dev/core/refusal"
)

// KeepAliveTimeout is how long callers may leave a connection idle before they use it again. A
// stopping host closes idle connections after that time only, when no request can be on its way.
const KeepAliveTimeout = 2 * time.Second

// shutdownRetryAfter is the Retry-After of requests that a stopping host refuses: other hosts can
// serve them at once.
const shutdownRetryAfter = 20 * time.Millisecond

// stopTimes are the times of a planned stop.
type stopTimes struct {
	// lateFrom is when the load balancer has removed this host. A request that arrives later is
	// accepted only if it ends in time.
	lateFrom time.Time
	// end is when requests in progress are ended.
	end time.Time
}

// BeginStop makes every further response close its connection. Requests that arrive after lateFrom
// and may last longer than end are refused, and requests that are still in progress at end are
// ended, each with a response unless that has begun.
func (s *Server) BeginStop(lateFrom, end time.Time) {
	s.stop.Store(&stopTimes{lateFrom, end})
	time.AfterFunc(time.Until(end), s.endRequests)
}

// endedByStop reports whether the requests in progress are being ended.
func (s *Server) endedByStop() bool { return s.running.Err() != nil }

// setConnectionHeader tells the caller how long it may use the connection.
func (s *Server) setConnectionHeader(h http.Header) {
	if s.stop.Load() != nil {
		h.Set("Connection", "close")
		return
	}
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(KeepAliveTimeout/time.Second)))
}

// checkStop returns a refusal for a request that arrives late in a stop and may not end in time.
func (x *exchange) checkStop() *refusal.Refusal {
	stop := x.stop.Load()
	if stop == nil || x.arrived.Before(stop.lateFrom) || x.deadline.Before(stop.end) {
		return nil
	}
	return shutdownRefusal("this host stops in %s, the request may take %s",
		stop.end.Sub(x.arrived).Round(time.Millisecond), x.deadline.Sub(x.arrived).Round(time.Millisecond))
}

// shutdownRefusal returns the refusal of a request that was not run because the host stops.
func shutdownRefusal(format string, args ...any) *refusal.Refusal {
	ref := refusal.New(refusal.ShuttingDown, format, args...)
	ref.RetryAfter = shutdownRetryAfter
	return ref
}
