package web

import (
	"net"
	"sync/atomic"
)

// listener tracks the accepted connections.
type listener struct {
	net.Listener
	server *Server
}

type tracked struct {
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
	t := &tracked{Conn: c, server: l.server}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	if l.server.closed {
		c.Close()
		return t, nil
	}
	l.server.conns[t] = struct{}{}
	return t, nil
}

// Freeze makes all open connections silent for good: what arrives is dropped and
// what is sent is lost. New connections work. POST /standin/freeze calls it; its
// own answer is lost, too.
func (s *Server) FreezeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.conns {
		t.frozen.Store(true)
	}
}

// Read implements net.Conn.
func (t *tracked) Read(p []byte) (int, error) {
	for {
		n, err := t.Conn.Read(p)
		if err != nil || !t.frozen.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (t *tracked) Write(p []byte) (int, error) {
	if t.frozen.Load() {
		return len(p), nil
	}
	return t.Conn.Write(p)
}

// Close implements net.Conn.
func (t *tracked) Close() error {
	t.server.forget(t)
	return t.Conn.Close()
}

func (s *Server) forget(t *tracked) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, t)
}
