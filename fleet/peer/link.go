package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/quic-go/quic-go"
)

// The application error codes that end a connection.
const (
	codeClosed   quic.ApplicationErrorCode = 0
	codeSilent   quic.ApplicationErrorCode = 1
	codeRejected quic.ApplicationErrorCode = 2
	codeTooMany  quic.ApplicationErrorCode = 3
)

// maxQueue bounds the one-way messages that wait for a connection to a peer.
const maxQueue = 64

// link is the state towards one address. Transport.mu guards it.
type link struct {
	address string
	conn    *quic.Conn
	dialing chan struct{} // closed when the dial in progress has ended
	dialErr error
	redial  time.Time // no dial before this time
	// fresh is set when a connection was silent: until then, dials use a socket
	// of their own, because the path may have lost the pair of addresses and
	// ports rather than the connection.
	fresh time.Time

	// received is the connection's packet count at the last use, and since the
	// first use after that count was reached. A connection that is used and
	// never receives is silent.
	received uint64
	since    time.Time

	queue   []outgoing
	sending bool
}

type outgoing struct {
	data     []byte
	reliable bool
}

// freshFor is how long dials use a socket of their own after a connection was
// silent.
const freshFor = time.Minute

// errRedial means that a dial failed a moment ago.
var errRedial = errors.New("the peer could not be reached a moment ago")

func (t *Transport) link(address string) *link {
	l, ok := t.links[address]
	if !ok {
		l = &link{address: address}
		t.links[address] = l
	}
	return l
}

// connection returns a live connection to the address and dials if there is
// none. It returns after the handshake or when ctx ends.
func (t *Transport) connection(ctx context.Context, address string) (*quic.Conn, error) {
	for {
		t.mu.Lock()
		if t.ctx.Err() != nil {
			t.mu.Unlock()
			return nil, net.ErrClosed
		}
		l := t.link(address)
		if c := t.usable(l); c != nil {
			t.mu.Unlock()
			return c, nil
		}
		if l.dialing == nil {
			if time.Now().Before(l.redial) {
				err := l.dialErr
				t.mu.Unlock()
				return nil, fmt.Errorf("%w: %w", errRedial, err)
			}
			l.dialing = make(chan struct{})
			t.wg.Go(func() { t.dial(l) })
		}
		wait := l.dialing
		t.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-t.ctx.Done():
			return nil, net.ErrClosed
		}
	}
}

// usable returns the link's connection unless it is closed or silent. Each call
// counts as a use.
func (t *Transport) usable(l *link) *quic.Conn {
	if l.conn == nil {
		return nil
	}
	if l.conn.Context().Err() != nil {
		l.conn = nil
		return nil
	}
	now := time.Now()
	n := l.conn.ConnectionStats().PacketsReceived
	if n != l.received {
		l.received, l.since = n, now
	}
	if now.Sub(l.since) <= t.cfg.UnresponsiveAfter {
		return l.conn
	}
	t.replaced.Add(1)
	c := l.conn
	l.conn, l.fresh = nil, time.Now().Add(freshFor)
	t.wg.Go(func() { _ = c.CloseWithError(codeSilent, "silent") })
	return nil
}

// silent closes a connection that a call found silent.
func (t *Transport) silent(c *quic.Conn) {
	t.replaced.Add(1)
	t.mu.Lock()
	for _, l := range t.links {
		if l.conn == c {
			l.conn, l.fresh = nil, time.Now().Add(freshFor)
		}
	}
	t.mu.Unlock()
	_ = c.CloseWithError(codeSilent, "silent")
}

func (t *Transport) dial(l *link) {
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.HandshakeTimeout)
	defer cancel()
	t.dials.Add(1)
	t.mu.Lock()
	fresh := time.Now().Before(l.fresh)
	t.mu.Unlock()
	c, err := t.handshake(ctx, l.address, fresh)
	t.mu.Lock()
	defer t.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	if err != nil {
		l.dialErr = err
		l.redial = time.Now().Add(t.cfg.RedialDelay)
		return
	}
	l.fresh = time.Time{}
	t.register(l, c)
}

func (t *Transport) handshake(ctx context.Context, address string, fresh bool) (*quic.Conn, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	if !fresh {
		return t.quic.Dial(ctx, addr, t.keys.client(t.reject), t.quicConfig())
	}
	sock, err := net.ListenUDP("udp", &net.UDPAddr{IP: t.quic.Conn.LocalAddr().(*net.UDPAddr).IP})
	if err != nil {
		return nil, err
	}
	own := &quic.Transport{Conn: sock}
	c, err := own.Dial(ctx, addr, t.keys.client(t.reject), t.quicConfig())
	if err != nil {
		_ = own.Close()
		_ = sock.Close()
		return nil, err
	}
	context.AfterFunc(c.Context(), func() {
		_ = own.Close()
		_ = sock.Close()
	})
	return c, nil
}

// register makes c the link's connection and serves it. The caller holds mu.
func (t *Transport) register(l *link, c *quic.Conn) {
	l.conn = c
	l.received, l.since = 0, time.Now()
	t.conns[c] = struct{}{}
	t.wg.Go(func() { t.serve(c) })
}

func (t *Transport) accept() {
	for {
		c, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		t.mu.Lock()
		if len(t.conns) >= t.cfg.MaxConns {
			t.mu.Unlock()
			_ = c.CloseWithError(codeTooMany, "too many connections")
			continue
		}
		// The newest connection is preferred: the peer may have restarted or
		// have found the earlier one silent.
		t.register(t.link(c.RemoteAddr().String()), c)
		t.mu.Unlock()
	}
}

// closed accounts for an ended connection and drops its link if unused.
func (t *Transport) closed(c *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	t.ended.addConn(c)
	for a, l := range t.links {
		if l.conn == c {
			l.conn = nil
		}
		if now := time.Now(); l.conn == nil && l.dialing == nil && !l.sending && now.After(l.redial) && now.After(l.fresh) {
			delete(t.links, a)
		}
	}
}
