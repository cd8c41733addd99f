// Package peer implements the transport between hosts: QUIC with mutual TLS. One-way
// messages are sent in datagrams or, if too long or marked reliable, in unidirectional
// streams; each call uses a bidirectional stream. Nothing is sent to a peer without a
// valid certificate.
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
	// Listen is the host:port of the UDP socket. Outgoing connections use the
	// same socket, so that two hosts share one connection.
	Listen string
	Keys   KeyFiles
	Logger *slog.Logger

	KeyReloadInterval time.Duration // between reads of the key files; default 10 s
	HandshakeTimeout  time.Duration // of a dial; default 3 s
	// ConnectTimeout is how long a call waits for a connection; default 1 s. It
	// leaves the caller time to relay the call through another host.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which unused connections are closed; default
	// 2 min. It exceeds the time in which a host probes each member of its zone,
	// so the connections within a zone stay open.
	IdleTimeout time.Duration
	// KeepAliveInterval is the time between packets on idle connections. The
	// default 0 disables them, because probes use all connections worth keeping.
	KeepAliveInterval time.Duration
	// UnresponsiveAfter is how long a connection may receive nothing after a
	// message was sent on it before it is replaced; default 2 s.
	UnresponsiveAfter time.Duration
	RedialDelay       time.Duration // after a failed dial; default 1 s
	MaxMessageBytes   int           // of a message, request or response; default 2 MiB
	MaxConns          int           // further incoming connections are closed; default 2048
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
	// Name is the host name in the certificate.
	Name    string
	Address string
}

// Handlers handle messages and calls. They are called concurrently, and may keep
// body.
type Handlers struct {
	// Message handles a one-way message. The datagrams of a connection are
	// handled sequentially, so Message must not block for long.
	Message func(from Peer, kind string, body []byte)
	// Call returns the response to a call. The text of its error is sent to the caller.
	Call func(ctx context.Context, from Peer, kind string, body []byte) ([]byte, error)
}

// Stats are totals since the start of the Transport. Bytes and packets are those of
// established connections, without IP and UDP headers.
type Stats struct {
	BytesIn, BytesOut     uint64
	PacketsIn, PacketsOut uint64
	RejectedPeers         uint64 // peers without a valid certificate
	Dials                 uint64
	ReplacedConns         uint64 // because they were unresponsive
	OpenConns             int    // open now
}

// Transport is a UDP socket with its connections. Its methods are safe for concurrent
// use. Create it with New.
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

	mu           sync.Mutex
	links        map[string]*link // by address
	conns        map[*quic.Conn]struct{}
	closedTotals Stats // totals of closed connections
	// windowStart and windowLogged limit the logging of rejections.
	windowStart  time.Time
	windowLogged int
}

// New opens the socket and starts to accept connections. The error names the invalid
// setting.
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
	t.listener, err = t.quic.Listen(k.serverConfig(t.reject), t.quicConfig())
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
		// Path MTU discovery would send large packets on every connection.
		// Probes fit the minimum packet size that QUIC guarantees.
		DisablePathMTUDiscovery: true,
	}
}

// Address returns the host:port of the local socket.
func (t *Transport) Address() string { return t.address }

// Close closes all connections and waits for running handlers to return.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.cancel() // under mu, so that no goroutine starts after the cancellation
	t.mu.Unlock()
	for _, c := range t.openConns() {
		_ = c.CloseWithError(codeClosed, "closed")
	}
	err := t.listener.Close()
	_ = t.quic.Close()
	t.wg.Wait()
	_ = t.quic.Conn.Close()
	return err
}

func (t *Transport) openConns() []*quic.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*quic.Conn, 0, len(t.conns))
	for c := range t.conns {
		all = append(all, c)
	}
	return all
}

// Stats returns the current totals.
func (t *Transport) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.closedTotals
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
	if !t.allowRejectionLog() {
		return
	}
	event.PeerRejected.Log(t.cfg.Logger, slog.String("name", hostName(cs.PeerCertificates)), slog.Any("error", err))
}

// At most maxRejectionLogs rejections are logged per rejectionLogWindow, because anyone
// who can reach the port can cause them. All are counted.
const (
	rejectionLogWindow = 10 * time.Second
	maxRejectionLogs   = 10
)

// allowRejectionLog reports whether one more rejection may be logged.
func (t *Transport) allowRejectionLog() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := time.Now(); now.Sub(t.windowStart) >= rejectionLogWindow {
		t.windowStart, t.windowLogged = now, 0
	}
	t.windowLogged++
	return t.windowLogged <= maxRejectionLogs
}

// watchKeys reloads the key files at regular intervals. It closes connections to peers
// whose certificate has expired or is no longer signed by a current authority.
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
			t.cfg.Logger.Warn("peer keys not reloaded; the previous ones stay in use", slog.Any("error", err))
		}
		t.closeInvalid(changed)
	}
}

// closeInvalid verifies the peers of all connections again, or only of those whose
// certificate has expired, and closes the connections that are no longer valid.
func (t *Transport) closeInvalid(all bool) {
	for _, c := range t.openConns() {
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
