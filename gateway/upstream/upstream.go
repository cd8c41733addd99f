// Package upstream is an HTTP/1.1 client with a connection pool per target. It never
// resends a request by itself. A connection is reused only after a clean exchange; after a
// protocol violation or leftover bytes it is closed.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
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
	// idleUserTimeout (TCP_USER_TIMEOUT) closes idle connections to a lost peer, and ends the
	// transmission of what was sent before a connection is closed.
	idleUserTimeout = 1500 * time.Millisecond
	// userTimeoutMargin is added to the time left of a request for TCP_USER_TIMEOUT, so that the
	// request's deadline ends it first.
	userTimeoutMargin = time.Second
	// maxUserTimeout applies to requests without a deadline. The option takes milliseconds in 32 bits.
	maxUserTimeout = 24 * time.Hour
	// The TCP keep-alive probes detect lost connections while they are idle.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// DialCounter counts connection attempts.
type DialCounter interface {
	// CountDial counts a connection attempt; ok is true if it succeeded.
	CountDial(ok bool)
}

// Observation is the head of a response as it was read from a target.
type Observation struct {
	// Target is the key of the target's incarnation.
	Target string
	Status int
	Info   protocol.ResponseInfo
	// SentAt is when the request was sent; zero for a response to an unknown request.
	SentAt     time.Time
	ReceivedAt time.Time
}

// Pool holds the connections to all targets. It is safe for concurrent use.
type Pool struct {
	codec   protocol.Codec
	counter DialCounter
	dialer  net.Dialer
	// observer, if not nil, is called for each response before its reader sees it.
	observer func(Observation)

	mu      sync.Mutex
	targets map[string]*targetPool
}

// targetPool holds the idle connections to one target.
type targetPool struct {
	key      string
	observer func(Observation)

	mu   sync.Mutex
	idle []*Conn
	// removed is set when the target has left the list; no connection to it is kept then.
	removed bool
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
			Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, idleUserTimeout) },
		},
	}
}

// SetObserver sets the function that is called for each response of a target, of whatever status.
// It must be called before Get and must not block.
func (p *Pool) SetObserver(observer func(Observation)) { p.observer = observer }

// setUserTimeout bounds the time for which the peer may acknowledge nothing, or accept no data.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
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
		tp = &targetPool{key: key, observer: p.observer}
		p.targets[key] = tp
	}
	return tp
}

// Get returns a connection to the target for the request with the given id: an idle one on
// which the request has not failed before, or a new one. The key identifies the incarnation,
// so that connections to an earlier owner of the address are not reused. If Get fails, no
// byte of a request was sent.
func (p *Pool) Get(ctx context.Context, key, address, id string) (*Conn, error) {
	tp := p.target(key)
	if c := tp.get(time.Now(), id); c != nil {
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

// Retain closes the connections of targets that are not in the set: the idle ones at once, the
// others after their request.
func (p *Pool) Retain(keys map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, tp := range p.targets {
		if !keys[key] {
			tp.remove()
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

// get returns the most recently used idle connection on which the request with the given id
// has not failed before, nil if there is none.
func (tp *targetPool) get(now time.Time, id string) *Conn {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	for i := len(tp.idle) - 1; i >= 0; i-- {
		c := tp.idle[i]
		if slices.Contains(c.failedIDs, id) {
			continue
		}
		tp.idle = slices.Delete(tp.idle, i, i+1)
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
	if tp.removed || len(tp.idle) >= maxIdlePerTarget {
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

// remove closes the idle connections, and those in use once they are returned.
func (tp *targetPool) remove() {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	tp.removed = true
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
