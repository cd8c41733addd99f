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
	defaultIdle = 4 * time.Second
	// idleMargin keeps a request from crossing the target's close.
	idleMargin = 700 * time.Millisecond
	// maxIdle bounds the idle connections kept for one target.
	maxIdle = 16
	// userTimeout ends connections whose bytes are not acknowledged: those that are
	// cut off or have been silently lost.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find lost connections while waiting.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// Counter records connections.
type Counter interface {
	// Dialled records a new connection, or the failure to make one.
	Dialled(ok bool)
}

// Pool keeps connections to all targets. It is safe for concurrent use.
type Pool struct {
	codec   protocol.Codec
	counter Counter
	dialer  net.Dialer

	mu    sync.Mutex
	hosts map[string]*hostPool
}

// hostPool holds the connections of one target.
type hostPool struct {
	mu   sync.Mutex
	idle []*Conn
}

// New returns a pool without connections. The dial timeout bounds each connect.
func New(codec protocol.Codec, dialTimeout time.Duration, counter Counter) *Pool {
	return &Pool{
		codec:   codec,
		counter: counter,
		hosts:   map[string]*hostPool{},
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
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

func (p *Pool) host(key string) *hostPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[key]
	if h == nil {
		h = &hostPool{}
		p.hosts[key] = h
	}
	return h
}

// Get returns an idle connection to the target or makes a new one. The key names
// the incarnation, so that connections of an earlier owner of the address are not
// used. An error proves that no byte was sent.
func (p *Pool) Get(ctx context.Context, key, address string) (*Conn, error) {
	h := p.host(key)
	if c := h.take(time.Now()); c != nil {
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
		net: nc, br: bufio.NewReaderSize(nc, readBuffer), bw: bufio.NewWriterSize(nc, writeBuffer),
		codec: p.codec, pool: h, idleFor: defaultIdle,
	}, nil
}

// Retain closes the idle connections of targets that are not in the set.
func (p *Pool) Retain(keys map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, h := range p.hosts {
		if !keys[key] {
			h.closeIdle()
			delete(p.hosts, key)
		}
	}
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		h.sweep(now)
	}
}

// take returns the idle connection that was used last, or nil.
func (h *hostPool) take(now time.Time) *Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if now.Sub(c.idleAt) < c.idleFor && sockets.Quiet(c.net) {
			return c
		}
		c.net.Close()
	}
	return nil
}

func (h *hostPool) put(c *Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) >= maxIdle {
		c.net.Close()
		return
	}
	c.idleAt = time.Now()
	h.idle = append(h.idle, c)
}

func (h *hostPool) sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.idle[:0]
	for _, c := range h.idle {
		if now.Sub(c.idleAt) < c.idleFor {
			kept = append(kept, c)
			continue
		}
		c.net.Close()
	}
	h.idle = kept
}

func (h *hostPool) closeIdle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.idle {
		c.net.Close()
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
