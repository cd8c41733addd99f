package callerconn

import (
	"net"
	"sync"
)

// Listener is a TCP listener that can close all connections that it has accepted. It is safe for
// concurrent use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewListener wraps a TCP listener. Accepted connections keep their SyscallConn, which Watch needs.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[net.Conn]struct{})}
}

// Accept implements net.Listener.
func (t *Listener) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tc, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	c := &trackedConn{TCPConn: tc, listener: t}
	t.mu.Lock()
	t.conns[c] = struct{}{}
	t.mu.Unlock()
	return c, nil
}

// Abort closes the listener and every open connection at once.
func (t *Listener) Abort() {
	_ = t.Listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.(*trackedConn).TCPConn.Close()
	}
}

type trackedConn struct {
	*net.TCPConn
	listener *Listener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}
