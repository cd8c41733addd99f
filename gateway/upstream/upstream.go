// Package upstream keeps connections to targets and performs exchanges on them.
// An exchange is sent once: nothing in this package repeats a request. A
// connection on which anything unexplained happened is closed and never used
// again.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sardinefront.dev/core/sockets"
	"sardinefront.dev/gateway/protocol"
)

const (
	// defaultIdle is how long a connection is kept where the target does not say.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin keeps a request from crossing the target's close.
	idleMargin = 700 * time.Millisecond
	// maxIdle bounds the idle connections kept for one target.
	maxIdlePerTarget = 16
	// userTimeout ends connections whose bytes are not acknowledged: those that are
	// cut off or have been silently lost.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find lost connections while waiting.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// Counter records connections.
type DialCounter interface {
	// Dialled records a new connection, or the failure to make one.
	Dialled(ok bool)
}

// Pool keeps connections to all targets. It is safe for concurrent use.
type Pool struct {
	codec   protocol.Codec
	counter DialCounter
	dialer  net.Dialer

	mu      sync.Mutex
	targets map[string]*targetPool
}

// hostPool holds the connections of one target.
type targetPool struct {
	mu   sync.Mutex
	idle []*Conn
}

// New returns a pool without connections. The dial timeout bounds each connect.
func New(codec protocol.Codec, dialTimeout time.Duration, counter DialCounter) *Pool {
	return &Pool{
		codec:   codec,
		counter: counter,
		targets: map[string]*targetPool{},
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
			Control: setUserTimeout,
		},
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

func (p *Pool) target(key string) *targetPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.targets[key]
	if h == nil {
		h = &targetPool{}
		p.targets[key] = h
	}
	return h
}

// Get returns an idle connection to the target or makes a new one. The key names
// the incarnation, so that connections of an earlier owner of the address are not
// used. An error proves that no byte was sent.
func (p *Pool) Get(ctx context.Context, key, address string) (*Conn, error) {
	h := p.target(key)
	if c := h.get(time.Now()); c != nil {
		return c, nil
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if p.counter != nil {
		p.counter.Dialled(err == nil)
	}
	if err != nil {
		return nil, fmt.Errorf("connect to target %s: %w", key, err)
	}
	return &Conn{
		conn: nc, br: bufio.NewReaderSize(nc, readBufferBytes), bw: bufio.NewWriterSize(nc, writeBufferBytes),
		codec: p.codec, pool: h, idleTimeout: defaultIdleTimeout,
	}, nil
}

// Retain closes the idle connections of targets that are not in the set.
func (p *Pool) Retain(keys map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, h := range p.targets {
		if !keys[key] {
			h.closeIdle()
			delete(p.targets, key)
		}
	}
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.targets {
		h.closeExpired(now)
	}
}

// take returns the idle connection that was used last, or nil.
func (h *targetPool) get(now time.Time) *Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if now.Sub(c.idleSince) < c.idleTimeout && sockets.Quiet(c.conn) {
			return c
		}
		c.conn.Close()
	}
	return nil
}

func (h *targetPool) put(c *Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) >= maxIdlePerTarget {
		c.conn.Close()
		return
	}
	c.idleSince = time.Now()
	h.idle = append(h.idle, c)
}

func (h *targetPool) closeExpired(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.idle[:0]
	for _, c := range h.idle {
		if now.Sub(c.idleSince) < c.idleTimeout {
			kept = append(kept, c)
			continue
		}
		c.conn.Close()
	}
	h.idle = kept
}

func (h *targetPool) closeIdle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.idle {
		c.conn.Close()
	}
	h.idle = nil
}

// keepAliveTimeout reads the timeout parameter of a Keep-Alive header, in seconds.
func keepAliveTimeout(v string) (int, bool) {
	for part := range strings.SplitSeq(v, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if ok && strings.EqualFold(name, "timeout") {
			s, err := strconv.Atoi(strings.TrimSpace(value))
			return s, err == nil && s >= 0
		}
	}
	return 0, false
}
