// Package upstream is an HTTP/1.1 client with a connection pool per target. It never
// resends a request by itself. A connection is reused only after a clean exchange; after a
// protocol violation or leftover bytes it is closed.
package upstream

import (
	"context"
	"errors"
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
	// defaultIdleTimeout applies to targets that send no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the target's keep-alive timeout, so that no request is
	// sent while the target closes the connection.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections per target.
	maxIdlePerTarget = 16
	// tcpUserTimeout (TCP_USER_TIMEOUT) closes connections whose data stays
	// unacknowledged, as after a network partition or a lost peer.
	tcpUserTimeout = 1500 * time.Millisecond
	// The TCP keep-alive probes detect lost connections while a response is awaited.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// DialCounter counts connection attempts.
type DialCounter interface {
	// CountDial counts a connection attempt; ok is true if it succeeded.
	CountDial(ok bool)
}

// Pool holds the connections to all targets. It is safe for concurrent use.
type Pool struct {
	codec   protocol.Codec
	counter DialCounter
	dialer  net.Dialer

	mu      sync.Mutex
	targets map[string]*targetPool
}

// targetPool holds the idle connections to one target.
type targetPool struct {
	mu   sync.Mutex
	idle []*Conn
}

// New returns an empty pool. dialTimeout bounds each connect; counter may be nil.
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
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

func (p *Pool) target(key string) *targetPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	tp := p.targets[key]
	if tp == nil {
		tp = &targetPool{}
		p.targets[key] = tp
	}
	return tp
}

// Get returns an idle connection to the target or dials a new one. The key identifies the
// incarnation, so that connections to an earlier owner of the address are not reused. If
// Get fails, no byte of a request was sent.
func (p *Pool) Get(ctx context.Context, key, address string) (*Conn, error) {
	tp := p.target(key)
	if c := tp.get(time.Now()); c != nil {
		return c, nil
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if p.counter != nil {
		p.counter.CountDial(err == nil)
	}
	if err != nil {
		return nil, fmt.Errorf("connect to target %s: %w", key, err)
	}
	return newConn(nc, p.codec, tp), nil
}

// ConnectionRefused reports whether the target refuses a new connection because no process
// listens on its address. A connection that it accepts is kept for the next Get.
func (p *Pool) ConnectionRefused(ctx context.Context, key, address string) bool {
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if p.counter != nil {
		p.counter.CountDial(err == nil)
	}
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	tp := p.target(key)
	tp.put(newConn(nc, p.codec, tp))
	return false
}

// Retain closes the idle connections of targets that are not in the set.
func (p *Pool) Retain(keys map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, tp := range p.targets {
		if !keys[key] {
			tp.closeIdle()
			delete(p.targets, key)
		}
	}
}

// CloseExpired closes connections that have been idle for longer than their idle timeout.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, tp := range p.targets {
		tp.closeExpired(now)
	}
}

// get returns the most recently used idle connection, nil if there is none.
func (tp *targetPool) get(now time.Time) *Conn {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	for len(tp.idle) > 0 {
		c := tp.idle[len(tp.idle)-1]
		tp.idle = tp.idle[:len(tp.idle)-1]
		if now.Sub(c.idleSince) < c.idleTimeout && sockets.Reusable(c.net) {
			return c
		}
		c.net.Close()
	}
	return nil
}

func (tp *targetPool) put(c *Conn) {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	if len(tp.idle) >= maxIdlePerTarget {
		c.net.Close()
		return
	}
	c.idleSince = time.Now()
	tp.idle = append(tp.idle, c)
}

func (tp *targetPool) closeExpired(now time.Time) {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	kept := tp.idle[:0]
	for _, c := range tp.idle {
		if now.Sub(c.idleSince) < c.idleTimeout {
			kept = append(kept, c)
			continue
		}
		c.net.Close()
	}
	tp.idle = kept
}

func (tp *targetPool) closeIdle() {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	for _, c := range tp.idle {
		c.net.Close()
	}
	tp.idle = nil
}

// keepAliveTimeout parses the timeout parameter of a Keep-Alive header, in seconds.
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
