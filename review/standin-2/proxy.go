package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to one address. While it is cut, nothing passes in either direction and
// no connection is closed, as in a silent partition. Connections from before the end of a cut stay silent.
type proxy struct {
	to string

	mu    sync.Mutex
	isCut bool
	conns map[*proxyConn]struct{}
}

// proxyConn is one forwarded connection.
type proxyConn struct {
	mu     sync.Mutex
	silent bool
}

func startProxy(address, to string) (*proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, conns: map[*proxyConn]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

func (p *proxy) forward(c net.Conn) {
	defer c.Close()
	pc := &proxyConn{}
	p.mu.Lock()
	pc.silent = p.isCut
	p.conns[pc] = struct{}{}
	p.mu.Unlock()
	s, err := net.Dial("tcp4", p.to)
	if err != nil {
		return
	}
	defer s.Close()
	done := make(chan struct{}, 2)
	go func() { pc.copy(s, c); done <- struct{}{} }()
	go func() { pc.copy(c, s); done <- struct{}{} }()
	<-done
}

// copy forwards bytes until an end; those of a silent connection are dropped.
func (pc *proxyConn) copy(to io.Writer, from io.Reader) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		pc.mu.Lock()
		silent := pc.silent
		pc.mu.Unlock()
		if n > 0 && !silent {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// cut begins or ends a partition.
func (p *proxy) cut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = on
	for pc := range p.conns {
		pc.mu.Lock()
		pc.silent = true
		pc.mu.Unlock()
	}
	p.conns = map[*proxyConn]struct{}{}
}
