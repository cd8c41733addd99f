// Package peer is the transport between hosts: QUIC with mutual TLS. One-way
// messages travel in datagrams or, when too long or marked reliable, in
// one-way streams; calls in streams of their own. A peer whose certificate
// does not verify receives nothing.
package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"

	"sardinefront.dev/core/event"
)

// Config holds the settings of a Transport. Zero durations and counts select
// the defaults.
type Config struct {
	// Listen is the UDP address, host:port. Outgoing connections use the same
	// socket, so that both ends share one connection.
	Listen string
	Keys   KeyFiles
	Logger *slog.Logger

	KeyReloadInterval time.Duration // how often the key files are read; 10 s
	HandshakeTimeout  time.Duration // 3 s
	// ConnectTimeout is how long a call waits for a connection; 1 s. It leaves
	// the caller time to try another way.
	ConnectTimeout time.Duration
	// IdleTimeout closes unused connections; 2 min. It exceeds the time in
	// which the probes of a zone come round, so zone connections stay open.
	IdleTimeout time.Duration
	// KeepAlive sends a packet on idle connections; 0 turns it off, because
	// probes already use every connection worth keeping.
	KeepAliveInterval time.Duration
	// SilentAfter is how long a connection may receive nothing after a message
	// was sent on it before it is replaced; 2 s.
	UnresponsiveAfter time.Duration
	RedialDelay       time.Duration // pause after a failed dial; 1 s
	MaxMessageBytes   int           // bytes of a message; 2 MB
	MaxConns          int           // incoming connections beyond are closed; 2048
}

func (c Config) withDefaults() Config {
	c.KeyReloadInterval = cmp.Or(c.KeyReloadInterval, 10*time.Second)
	c.HandshakeTimeout = cmp.Or(c.HandshakeTimeout, 3*time.Second)
	c.ConnectTimeout = cmp.Or(c.ConnectTimeout, time.Second)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, 2*time.Minute)
	c.UnresponsiveAfter = cmp.Or(c.UnresponsiveAfter, 2*time.Second)
	c.RedialDelay = cmp.Or(c.RedialDelay, time.Second)
	c.MaxMessageBytes = cmp.Or(c.MaxMessageBytes, 2<<20)
	c.MaxConns = cmp.Or(c.MaxConns, 2048)
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return c
}

// Peer is the verified sender of a message.
type Peer struct {
	// Name is from the certificate.
	Name    string
	Address string
}

// Handlers receive messages. They are called from many goroutines; body is
// theirs to keep.
type Handlers struct {
	// Message receives one-way messages. Datagrams of one connection arrive
	// one after another, so it must not block for long.
	Message func(from Peer, kind string, body []byte)
	// Call answers a call. An error reaches the caller as text.
	Call func(ctx context.Context, from Peer, kind string, body []byte) ([]byte, error)
}

// Stats are totals since the start. Bytes and packets are UDP payloads of
// established connections, without IP and UDP headers.
type Stats struct {
	BytesIn, BytesOut     uint64
	PacketsIn, PacketsOut uint64
	RejectedPeers         uint64 // peers without a valid certificate
	Dials                 uint64
	ReplacedConns         uint64 // silent connections
	OpenConns             int    // open now
}

// Transport is one UDP socket with its connections. Use New.
type Transport struct {
	cfg      Config
	handlers Handlers
	keys     *keys
	quic     *quic.Transport
	listener *quic.Listener
	address  string
	ctx      context.Context
	cancel   context.CancelFunc
	wg       conc.WaitGroup

	rejected, dials, replaced atomic.Uint64

	mu    sync.Mutex
	links map[string]*link // by address
	conns map[*quic.Conn]struct{}
	ended Stats // totals of closed connections
	// windowStart and windowLogged limit the logging of rejections.
	windowStart  time.Time
	windowLogged int
}

// New opens the socket and starts to accept connections. The error names the
// setting at fault.
func New(c Config, h Handlers) (*Transport, error) {
	c = c.withDefaults()
	k, err := loadKeys(c.Keys)
	if err != nil {
		return nil, err
	}
	addr, err := net.ResolveUDPAddr("udp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer listen address %q: %w", c.Listen, err)
	}
	sock, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("peer listen address %q: %w", c.Listen, err)
	}
	t := &Transport{
		cfg: c, handlers: h, keys: k, address: sock.LocalAddr().String(),
		links: make(map[string]*link),
		conns: make(map[*quic.Conn]struct{}),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.quic = &quic.Transport{Conn: sock, StatelessResetKey: k.resetKey()}
	t.listener, err = t.quic.Listen(k.server(t.reject), t.quicConfig())
	if err != nil {
		t.cancel()
		_ = sock.Close()
		return nil, fmt.Errorf("peer listen address %q: %w", c.Listen, err)
	}
	t.wg.Go(t.accept)
	t.wg.Go(t.watchKeys)
	return t, nil
}

func (t *Transport) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  t.cfg.HandshakeTimeout,
		MaxIdleTimeout:        t.cfg.IdleTimeout,
		KeepAlivePeriod:       t.cfg.KeepAliveInterval,
		EnableDatagrams:       true,
		MaxIncomingStreams:    256,
		MaxIncomingUniStreams: 256,
		// Path discovery would send large packets on every connection; probes
		// fit the minimum that QUIC guarantees.
		DisablePathMTUDiscovery: true,
	}
}

// Address returns the local socket address.
func (t *Transport) Address() string { return t.address }

// Close ends all connections and waits for the handlers.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.cancel() // under mu: no goroutine is started after this
	t.mu.Unlock()
	for _, c := range t.open() {
		_ = c.CloseWithError(codeClosed, "closed")
	}
	err := t.listener.Close()
	_ = t.quic.Close()
	t.wg.Wait()
	_ = t.quic.Conn.Close()
	return err
}

func (t *Transport) open() []*quic.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*quic.Conn, 0, len(t.conns))
	for c := range t.conns {
		all = append(all, c)
	}
	return all
}

// Stats returns the totals.
func (t *Transport) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.ended
	for c := range t.conns {
		s.addConn(c)
	}
	s.RejectedPeers, s.Dials, s.ReplacedConns = t.rejected.Load(), t.dials.Load(), t.replaced.Load()
	s.OpenConns = len(t.conns)
	return s
}

func (s *Stats) addConn(c *quic.Conn) {
	cs := c.ConnectionStats()
	s.BytesIn += cs.BytesReceived
	s.BytesOut += cs.BytesSent
	s.PacketsIn += cs.PacketsReceived
	s.PacketsOut += cs.PacketsSent
}

// reject counts and logs a peer whose certificate does not verify.
func (t *Transport) reject(cs tls.ConnectionState, err error) {
	t.rejected.Add(1)
	if !t.mayLogRejection() {
		return
	}
	event.PeerRejected.Log(t.cfg.Logger, slog.String("name", nameOf(cs.PeerCertificates)), slog.Any("error", err))
}

// Rejections logged per window; all are counted. Anyone who reaches the port can
// cause one.
const (
	rejectionWindow  = 10 * time.Second
	rejectionsLogged = 10
)

func (t *Transport) mayLogRejection() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := time.Now(); now.Sub(t.windowStart) >= rejectionWindow {
		t.windowStart, t.windowLogged = now, 0
	}
	t.windowLogged++
	return t.windowLogged <= rejectionsLogged
}

// watchKeys reads the key files again and closes connections whose peers the
// current authorities no longer accept, or whose certificate has expired.
func (t *Transport) watchKeys() {
	tick := time.NewTicker(t.cfg.KeyReloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-tick.C:
		}
		changed, err := t.keys.reload()
		if err != nil {
			t.cfg.Logger.Warn("peer keys not read again; the earlier ones stay in use", slog.Any("error", err))
		}
		t.closeInvalid(changed)
	}
}

func (t *Transport) closeInvalid(all bool) {
	for _, c := range t.open() {
		cs := c.ConnectionState().TLS
		expired := len(cs.PeerCertificates) > 0 && t.keys.now().After(cs.PeerCertificates[0].NotAfter)
		if !all && !expired {
			continue
		}
		if err := t.keys.verify(cs.PeerCertificates); err != nil {
			t.reject(cs, err)
			_ = c.CloseWithError(codeRejected, "certificate no longer valid")
		}
	}
}
