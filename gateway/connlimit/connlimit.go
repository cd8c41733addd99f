// Package connlimit bounds what the clients of a listener can hold in a process: connections, the
// lines and bytes of request heads, and connections whose client reads nothing.
package connlimit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"sardinefront.dev/core/membudget"
)

const (
	// maxHeadLines bounds the lines of a request head. A short field takes many times its bytes once
	// it is parsed.
	maxHeadLines = 1000
	// lineOverheadBytes is charged for each line in addition to its bytes.
	lineOverheadBytes = 48
	// ownHeadBytes may be held by each connection; what exceeds it comes from the shared budget.
	ownHeadBytes = 8 << 10
	// maxWriteTime bounds one write to a connection, so that a client that does not read is closed.
	maxWriteTime = 30 * time.Second
)

// ErrHeadTooLarge is returned by reads of a connection whose request head exceeds the bounds.
var ErrHeadTooLarge = errors.New("request head exceeds the bounds of the listener")

// Cause is why a connection was closed.
type Cause string

// The causes.
const (
	CauseFull Cause = "full" // too many connections
	CauseHead Cause = "head" // too many lines, or too many bytes in all heads
)

// Config bounds a Listener.
type Config struct {
	// MaxConns is the number of connections that may be open at once.
	MaxConns int
	// Heads is shared by the heads of all connections.
	Heads *membudget.Budget
	// OnClose is called when a connection is closed because of a bound.
	OnClose func(Cause, net.Addr)
}

// NewHeadBudget returns a budget of shared bytes for heads in progress.
func NewHeadBudget(shared int) *membudget.Budget { return membudget.New(shared, ownHeadBytes) }

// Listener accepts connections within the bounds. Its server must use Handler and ConnContext.
type Listener struct {
	net.Listener
	cfg Config

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Listen returns a Listener for connections of l.
func Listen(l net.Listener, cfg Config) *Listener {
	return &Listener{Listener: l, cfg: cfg, conns: map[*Conn]struct{}{}}
}

// Accept implements net.Listener. If the listener is full, the connection without a complete
// request that has made no progress for longest is closed; if there is none, the new one is.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc, listener: l, waitingSince: time.Now()}
		victim, ok := l.add(c)
		if victim != nil {
			l.cfg.OnClose(CauseFull, victim.RemoteAddr())
			_ = victim.Close()
		}
		if ok {
			return c, nil
		}
	}
}

// add registers a connection. It returns the connection to close, if any, and whether c was added.
func (l *Listener) add(c *Conn) (victim *Conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.cfg.MaxConns {
		if victim = l.longestWaiting(); victim == nil {
			return c, false
		}
		delete(l.conns, victim)
	}
	l.conns[c] = struct{}{}
	return victim, true
}

// longestWaiting returns the connection to close in favour of a new one: of those without a request,
// then of those that have sent a part of a head, then of those that have sent a part of a body, the
// one without progress for longest; nil if all carry complete requests. The caller holds l.mu.
func (l *Listener) longestWaiting() *Conn {
	var found *Conn
	var foundState waitState
	for c := range l.conns {
		s, waiting := c.waitState()
		if waiting && (found == nil || s.before(foundState)) {
			found, foundState = c, s
		}
	}
	return found
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// waitState is the state of a connection without a complete request: the part of the request that the
// client has begun, and since when it has made no progress.
type waitState struct {
	part  requestPart
	since time.Time
}

// requestPart is the last part of a request of which bytes have arrived.
type requestPart uint8

const (
	noPart requestPart = iota
	headPart
	bodyPart
)

// before reports whether a connection with state s is closed before one with state o.
func (s waitState) before(o waitState) bool {
	if s.part != o.part {
		return s.part < o.part
	}
	return s.since.Before(o.since)
}

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	listener *Listener

	mu            sync.Mutex
	serving       bool
	receiving     bool // a request body
	lastReadAt    time.Time
	waitingSince  time.Time
	lines, bytes  int // of the head in progress
	headUsage     membudget.Usage
	closed        bool
	writeDeadline time.Time // set by the server; zero if none
}

// waitState returns the state of the connection. It is not waiting while a complete request is served.
func (c *Conn) waitState() (s waitState, waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.receiving:
		return waitState{bodyPart, c.lastReadAt}, true
	case c.bytes > 0:
		return waitState{headPart, c.waitingSince}, !c.serving
	}
	return waitState{noPart, c.waitingSince}, !c.serving
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch chargeErr := c.chargeHead(p[:n]); {
	case errors.Is(chargeErr, ErrHeadTooLarge):
		c.listener.cfg.OnClose(CauseHead, c.RemoteAddr())
		_ = c.Close()
		return 0, chargeErr
	case chargeErr != nil:
		return 0, chargeErr
	}
	return n, err
}

// chargeHead counts bytes that were read while no request is served. It returns ErrHeadTooLarge if
// they exceed the bounds, and net.ErrClosed if the connection was closed meanwhile.
func (c *Conn) chargeHead(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if c.serving {
		c.lastReadAt = time.Now()
		return nil
	}
	c.bytes += len(p)
	for _, b := range p {
		if b == '\n' {
			c.lines++
		}
	}
	if c.lines > maxHeadLines || !c.listener.cfg.Heads.Resize(&c.headUsage, c.bytes+c.lines*lineOverheadBytes) {
		return ErrHeadTooLarge
	}
	return nil
}

// Write implements net.Conn. A client that reads too slowly does not hold its request any longer
// than maxWriteTime.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	end := time.Now().Add(maxWriteTime)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(end) {
		end = c.writeDeadline
	}
	_ = c.Conn.SetWriteDeadline(end) // fails only on a closed connection
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// CloseWrite shuts down the sending side, so that a client which still sends can read the response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	if !c.serving {
		c.listener.cfg.Heads.Resize(&c.headUsage, 0)
	}
	c.mu.Unlock()
	c.listener.remove(c)
	return c.Conn.Close()
}

// begin marks the start of a request.
func (c *Conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.lastReadAt = true, time.Now()
}

// end marks the end of a request and gives back what its head held.
func (c *Conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.receiving, c.waitingSince, c.lines, c.bytes = false, false, time.Now(), 0, 0
	c.listener.cfg.Heads.Resize(&c.headUsage, 0)
}

type contextKey struct{}

// SetReceiving records whether the request of ctx still waits for bytes of its body. Its connection
// may then be closed in favour of a new one.
func SetReceiving(ctx context.Context, receiving bool) {
	if c, ok := ctx.Value(contextKey{}).(*Conn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.receiving = receiving
	}
}

// ConnContext is the http.Server.ConnContext of a server on a Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// Handler returns h for a server on a Listener.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(contextKey{}).(*Conn); ok {
			c.begin()
			defer c.end()
		}
		h.ServeHTTP(w, r)
	})
}
