package callerconn

import (
	"net"
	"sync"
)

// TrackingListener is a listener that can close all connections that it has accepted. It is safe
// for concurrent use.
type TrackingListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewTrackingListener wraps a TCP listener. Accepted connections keep their SyscallConn, which
// Watch needs.
func NewTrackingListener(l net.Listener) *TrackingListener {
	return &TrackingListener{Listener: l, conns: make(map[net.Conn]struct{})}
}

// Accept implements net.Listener.
func (l *TrackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tc, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	c := &trackedConn{TCPConn: tc, listener: l}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// Abort closes the listener and every open connection at once.
func (l *TrackingListener) Abort() {
	_ = l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.(*trackedConn).TCPConn.Close()
	}
}

type trackedConn struct {
	*net.TCPConn
	listener *TrackingListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}
