package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/quic-go/quic-go"
)

// The application error codes with which connections are closed.
const (
	codeClosed       quic.ApplicationErrorCode = 0
	codeUnresponsive quic.ApplicationErrorCode = 1
	codeRejected     quic.ApplicationErrorCode = 2
	codeTooMany      quic.ApplicationErrorCode = 3
)

// maxQueuedMessages limits the one-way messages queued for one peer.
const maxQueuedMessages = 64

// link is the state for one peer address. Transport.mu guards it.
type link struct {
	address     string
	conn        *quic.Conn
	dialing     chan struct{} // closed when the dial in progress has ended
	dialErr     error
	redialAfter time.Time // no dial before this time
	// ownSocketUntil is set when a connection was unresponsive. Until that time,
	// dials use a socket of their own, because the network path may drop packets
	// of this pair of addresses and ports rather than of the connection.
	ownSocketUntil time.Time

	// packetsReceived is the connection's packet count at the last use, and
	// lastProgress the first use at which it had that value. A connection that
	// is used but receives nothing is unresponsive.
	packetsReceived uint64
	lastProgress    time.Time

	queue   []outgoing
	sending bool // sendQueued is running
}

// outgoing is an encoded one-way message.
type outgoing struct {
	data     []byte
	reliable bool
}

// ownSocketDuration is how long dials use a socket of their own after a connection was
// unresponsive.
const ownSocketDuration = time.Minute

// errDialBackoff means that the last dial failed less than Config.RedialDelay ago.
var errDialBackoff = errors.New("not dialled: the previous attempt failed a moment ago")

// link returns the link to the address and creates it if needed. The caller holds mu.
func (t *Transport) link(address string) *link {
	l, ok := t.links[address]
	if !ok {
		l = &link{address: address}
		t.links[address] = l
	}
	return l
}

// connection returns a live connection to the address and dials if there is none. It
// blocks until the handshake is complete or ctx ends.
func (t *Transport) connection(ctx context.Context, address string) (*quic.Conn, error) {
	for {
		t.mu.Lock()
		if t.ctx.Err() != nil {
			t.mu.Unlock()
			return nil, net.ErrClosed
		}
		l := t.link(address)
		if c := t.liveConn(l); c != nil {
			t.mu.Unlock()
			return c, nil
		}
		if l.dialing == nil {
			if time.Now().Before(l.redialAfter) {
				err := l.dialErr
				t.mu.Unlock()
				return nil, fmt.Errorf("%w: %w", errDialBackoff, err)
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

// liveConn returns the link's connection, or nil if it is closed or unresponsive. Each
// call counts as a use of the connection. The caller holds mu.
func (t *Transport) liveConn(l *link) *quic.Conn {
	if l.conn == nil {
		return nil
	}
	if l.conn.Context().Err() != nil {
		l.conn = nil
		return nil
	}
	now := time.Now()
	n := l.conn.ConnectionStats().PacketsReceived
	if n != l.packetsReceived {
		l.packetsReceived, l.lastProgress = n, now
	}
	if now.Sub(l.lastProgress) <= t.cfg.UnresponsiveAfter {
		return l.conn
	}
	t.replaced.Add(1)
	c := l.conn
	l.conn, l.ownSocketUntil = nil, time.Now().Add(ownSocketDuration)
	t.wg.Go(func() { _ = c.CloseWithError(codeUnresponsive, "silent") })
	return nil
}

// closeUnresponsive closes a connection on which a call received nothing.
func (t *Transport) closeUnresponsive(c *quic.Conn) {
	t.replaced.Add(1)
	t.mu.Lock()
	for _, l := range t.links {
		if l.conn == c {
			l.conn, l.ownSocketUntil = nil, time.Now().Add(ownSocketDuration)
		}
	}
	t.mu.Unlock()
	_ = c.CloseWithError(codeUnresponsive, "silent")
}

// dropConn removes a connection that refuses streams from its link.
func (t *Transport) dropConn(c *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		if l.conn == c {
			l.conn = nil
		}
	}
}

// dial opens a connection for the link. While it runs, l.dialing is open.
func (t *Transport) dial(l *link) {
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.HandshakeTimeout)
	defer cancel()
	t.dials.Add(1)
	t.mu.Lock()
	ownSocket := time.Now().Before(l.ownSocketUntil)
	t.mu.Unlock()
	c, err := t.handshake(ctx, l.address, ownSocket)
	t.mu.Lock()
	defer t.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	if err != nil {
		l.dialErr = err
		l.redialAfter = time.Now().Add(t.cfg.RedialDelay)
		return
	}
	l.ownSocketUntil = time.Time{}
	t.register(l, c)
}

// handshake dials the address, from a new socket if ownSocket is set.
func (t *Transport) handshake(ctx context.Context, address string, ownSocket bool) (*quic.Conn, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	if !ownSocket {
		return t.quic.Dial(ctx, addr, t.keys.clientConfig(t.reject), t.quicConfig())
	}
	sock, err := net.ListenUDP("udp", &net.UDPAddr{IP: t.quic.Conn.LocalAddr().(*net.UDPAddr).IP})
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: sock}
	c, err := transport.Dial(ctx, addr, t.keys.clientConfig(t.reject), t.quicConfig())
	if err != nil {
		_ = transport.Close()
		_ = sock.Close()
		return nil, err
	}
	context.AfterFunc(c.Context(), func() {
		_ = transport.Close()
		_ = sock.Close()
	})
	return c, nil
}

// register makes c the link's connection and serves it. The caller holds mu.
func (t *Transport) register(l *link, c *quic.Conn) {
	l.conn = c
	l.packetsReceived, l.lastProgress = 0, time.Now()
	t.conns[c] = struct{}{}
	t.wg.Go(func() { t.serve(c) })
}

// accept serves incoming connections and makes them available for outgoing messages.
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
		// The newest connection is preferred: the peer may have restarted, or
		// the earlier connection may be unresponsive for it.
		t.register(t.link(c.RemoteAddr().String()), c)
		t.mu.Unlock()
	}
}

// removeConn adds a closed connection to the totals and removes the links that are no
// longer used.
func (t *Transport) removeConn(c *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	t.closedTotals.addConn(c)
	for a, l := range t.links {
		if l.conn == c {
			l.conn = nil
		}
		if now := time.Now(); l.conn == nil && l.dialing == nil && !l.sending && now.After(l.redialAfter) && now.After(l.ownSocketUntil) {
			delete(t.links, a)
		}
	}
}
