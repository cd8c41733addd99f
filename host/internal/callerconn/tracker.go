package callerconn

import (
	"net"
	"sync"
)

// Tracker is a listener that can close all connections that it has accepted. It is safe for
// concurrent use.
type Tracker struct {
	net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewTracker wraps a TCP listener. Accepted connections keep their SyscallConn, which Watch needs.
func NewTracker(l net.Listener) *Tracker {
	return &Tracker{Listener: l, conns: make(map[net.Conn]struct{})}
}

// Accept implements net.Listener.
func (t *Tracker) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tc, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	c := &trackedConn{TCPConn: tc, tracker: t}
	t.mu.Lock()
	t.conns[c] = struct{}{}
	t.mu.Unlock()
	return c, nil
}

// Abort closes the listener and every open connection at once.
func (t *Tracker) Abort() {
	_ = t.Listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.(*trackedConn).TCPConn.Close()
	}
}

type trackedConn struct {
	*net.TCPConn
	tracker *Tracker
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.tracker.mu.Lock()
	delete(c.tracker.conns, c)
	c.tracker.mu.Unlock()
	return c.TCPConn.Close()
}
