package scenario

import (
	"io"
	"net"
	"sync"
	"time"
)

// relay forwards TCP connections to an address, so that a scenario can close or blackhole
// them without the cooperation of either end.
type relay struct {
	address string

	mu       sync.Mutex
	upstream string
	ln       net.Listener // nil while closed
	conns    map[*relayedConn]struct{}
}

// relayedConn is one forwarded connection.
type relayedConn struct {
	client, server net.Conn
	// blackholed is closed when forwarding must stop, done when the connection has
	// ended.
	blackholed, done         chan struct{}
	closeOnce, blackholeOnce sync.Once
}

func newRelay(listen, upstream string) (*relay, error) {
	r := &relay{upstream: upstream, conns: make(map[*relayedConn]struct{})}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r.address, r.ln = ln.Addr().String(), ln
	go r.accept(ln)
	return r, nil
}

// setUpstream directs later connections to another address.
func (r *relay) setUpstream(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstream = address
}

// close closes the listener and all connections. New connections are refused.
func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ln != nil {
		r.ln.Close()
		r.ln = nil
	}
	for c := range r.conns {
		c.close()
	}
}

// open listens again on the same address.
func (r *relay) open() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.ln = ln
	go r.accept(ln)
	return nil
}

// blackhole stops the forwarding on the open connections, which stay open. New
// connections are forwarded.
func (r *relay) blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.blackholeOnce.Do(func() { close(c.blackholed) })
	}
}

func (r *relay) accept(ln net.Listener) {
	for {
		client, err := ln.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

func (r *relay) forward(client net.Conn) {
	r.mu.Lock()
	upstream := r.upstream
	r.mu.Unlock()
	server, err := net.DialTimeout("tcp", upstream, time.Second)
	if err != nil {
		client.Close()
		return
	}
	c := &relayedConn{client: client, server: server, blackholed: make(chan struct{}), done: make(chan struct{})}
	r.mu.Lock()
	if r.ln == nil {
		c.close()
	} else {
		r.conns[c] = struct{}{}
	}
	r.mu.Unlock()
	go c.copy(server, client)
	c.copy(client, server)
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// copy forwards one direction. When either direction ends, both connections are closed.
func (c *relayedConn) copy(to io.Writer, from io.Reader) {
	defer c.close()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-c.blackholed:
			<-c.done
			return
		default:
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (c *relayedConn) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		c.client.Close()
		c.server.Close()
	})
}
