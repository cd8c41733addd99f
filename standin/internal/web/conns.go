package web

import (
	"net"
	"sync/atomic"
)

// listener registers the accepted connections with the server.
type listener struct {
	net.Listener
	server *Server
}

// trackedConn is a connection that FreezeConnections can make unresponsive.
type trackedConn struct {
	net.Conn
	server *Server
	frozen atomic.Bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: c, server: l.server}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	if l.server.closed {
		c.Close()
		return t, nil
	}
	l.server.conns[t] = struct{}{}
	return t, nil
}

// FreezeConnections makes all open connections permanently unresponsive: received
// data is discarded and written data is not sent. New connections are not affected.
// POST /standin/freeze calls it; its own response is lost, too.
func (s *Server) FreezeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.conns {
		t.frozen.Store(true)
	}
}

// Read implements net.Conn.
func (t *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := t.Conn.Read(p)
		if err != nil || !t.frozen.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (t *trackedConn) Write(p []byte) (int, error) {
	if t.frozen.Load() {
		return len(p), nil
	}
	return t.Conn.Write(p)
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	t.server.untrack(t)
	return t.Conn.Close()
}

func (s *Server) untrack(t *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, t)
}
