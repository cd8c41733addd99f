package target

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"sardinefront.dev/core/sockets"
)

const (
	readBufferBytes = 16 << 10 // also bounds the header of a response
	// maxRequestsPerConn bounds the request ids that a connection remembers.
	maxRequestsPerConn = 128
)

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	bw *bufio.Writer
	// sent counts the bytes of the current request that the kernel has accepted.
	sent      int64
	created   time.Time
	sentAt    time.Time // start of the current request
	idleSince time.Time // end of the last response
	// answered holds the ids of the requests to which this connection carried a response.
	// Such a request, or a command for it, is not sent here again: a second copy of the first
	// response could not be told from the second response.
	answered map[string]bool
}

// Write implements io.Writer and counts the bytes that the kernel accepts. If it
// has accepted none, no byte of the request can have left this host.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

// pool holds the idle connections to one address. It never sends anything on them.
type pool struct {
	cfg  Config
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu         sync.Mutex
	idle       []*conn // oldest first
	sweepTimer *time.Timer
	closed     bool
}

func newPool(cfg Config) *pool {
	d := &net.Dialer{Timeout: cfg.DialTimeout}
	return &pool{cfg: cfg, dial: d.DialContext}
}

// get returns the most recently used connection that can carry the request with the given
// id, or dials.
func (p *pool) get(ctx context.Context, id string) (*conn, error) {
	for {
		c := p.popIdle(id)
		if c == nil {
			return p.connect(ctx)
		}
		if p.usable(c, time.Now()) && sockets.Reusable(c.Conn) {
			return c, nil
		}
		c.Close()
	}
}

// popIdle returns the most recently used idle connection that has not carried a response to
// the request with the given id, nil if there is none.
func (p *pool) popIdle(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; !c.answered[id] {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *pool) usable(c *conn, now time.Time) bool {
	return now.Sub(c.created) < p.cfg.MaxConnAge && now.Sub(c.idleSince) < p.cfg.MaxIdleTime
}

func (p *pool) connect(ctx context.Context) (*conn, error) {
	nc, err := p.dial(ctx, "tcp", p.cfg.Address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, created: time.Now(), answered: map[string]bool{}}
	c.br = bufio.NewReaderSize(nc, readBufferBytes)
	c.bw = bufio.NewWriter(c)
	return c, nil
}

// put returns a connection to the pool. Its last response must have been read to
// the verified end.
func (p *pool) put(c *conn) {
	now := time.Now()
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	old := now.Sub(c.created) >= p.cfg.MaxConnAge
	if p.closed || old || len(p.idle) >= p.cfg.MaxIdleConns || len(c.answered) >= maxRequestsPerConn {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
	if p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(p.cfg.MaxIdleTime, p.closeIdle)
	}
}

// closeIdle closes expired connections and schedules its next run while idle
// connections remain.
func (p *pool) closeIdle() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retain(func(c *conn) bool { return p.usable(c, now) })
	p.sweepTimer = nil
	if len(p.idle) > 0 && !p.closed {
		p.sweepTimer = time.AfterFunc(p.cfg.MaxIdleTime, p.closeIdle)
	}
}

// closeUnverifiedSince is called when the request on c timed out. Open connections
// to a target often stop responding together, so it closes the idle ones that have
// not carried a complete response since that request was sent. Connections in use
// return to the pool only after a complete response.
func (p *pool) closeUnverifiedSince(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retain(func(idle *conn) bool { return idle.idleSince.After(c.sentAt) })
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
	}
	p.retain(func(*conn) bool { return false })
}

// retain closes the idle connections for which keep returns false.
func (p *pool) retain(keep func(*conn) bool) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if keep(c) {
			kept = append(kept, c)
			continue
		}
		c.Close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}
