package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns tracks the connections of callers, so that a stopping host can close them when no
// request can be on its way. It is safe for concurrent use.
type callerConns struct {
	mu sync.Mutex
	// idleSince is the time since which a connection has waited for its next request; zero while
	// it carries one, and before its first one, for which headerTimeout applies.
	idleSince  map[net.Conn]time.Time
	acceptedAt time.Time // of the newest connection
}

func newCallerConns() *callerConns { return &callerConns{idleSince: map[net.Conn]time.Time{}} }

// track implements http.Server.ConnState.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.idleSince[conn], c.acceptedAt = time.Time{}, now
	case http.StateIdle:
		c.idleSince[conn] = now
	case http.StateActive:
		c.idleSince[conn] = time.Time{}
	case http.StateClosed, http.StateHijacked:
		delete(c.idleSince, conn)
	}
}

// closeIdle closes the connections that have waited for their next request since before the given time.
func (c *callerConns) closeIdle(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, idleSince := range c.idleSince {
		if !idleSince.IsZero() && idleSince.Before(since) {
			conn.Close()
			delete(c.idleSince, conn)
		}
	}
}

// quietSince reports whether no connection is open and none was accepted since the given time.
func (c *callerConns) quietSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idleSince) == 0 && c.acceptedAt.Before(t)
}

const (
	// inFlightTime is the time that a request may be on its way from its caller.
	inFlightTime = 300 * time.Millisecond
	// drainPollInterval is how often a stopping host looks for connections to close.
	drainPollInterval = 20 * time.Millisecond
)

// drain waits from removed, when the load balancer has removed this host, until the callers have no
// open connection or end has come. Until then the host accepts connections: one that waits when the
// listener closes is reset. It closes each connection once its caller may not use it any more.
func (c *callerConns) drain(keepAlive time.Duration, removed, end time.Time) {
	for now := time.Now(); now.Before(end); now = time.Now() {
		c.closeIdle(now.Add(-keepAlive - inFlightTime))
		if now.After(removed) && c.quietSince(now.Add(-inFlightTime)) {
			return
		}
		time.Sleep(drainPollInterval)
	}
}
