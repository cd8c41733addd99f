package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"sardinefront.dev/core/event"
)

const (
	// Interval is the time between heartbeats to each peer.
	HeartbeatInterval = 250 * time.Millisecond
	// lostAfter is the silence after which a peer counts as gone, unless it beats so
	// seldom that lostBeats beats take longer.
	lostAfter = 1200 * time.Millisecond
	lostBeats = 3
	// fullRateHosts is the number of hosts up to which all beat at full rate. With more
	// of them, hosts in other zones get a heartbeat the less often the more there are,
	// so that the traffic between zones grows with the number of hosts, not its square.
	fullRateHosts = 12
	// forgetAfter is the silence after which its address is no longer tried.
	forgetAfter = 60 * time.Second
	// retryLost is how often addresses that do not answer are tried.
	retryLost = time.Second
	// knownSent is how many addresses a heartbeat passes on, knownGreeting how many the
	// first one to a host does, which may know nobody else.
	knownSent     = 3
	knownGreeting = 64
	// maxPeers bounds the addresses that are remembered.
	maxPeers = 1024
	// maxDatagram bounds what is read; senders stay under the size of a packet where
	// they can.
	maxDatagram = 16 << 10
)

// State supplies what this host tells its peers and takes what they tell.
type Delegate interface {
	// Fill sets the fields of the heartbeat beyond those that name the host, for
	// receivers that get one every h.EveryMs. A greeting is the first one that they get.
	FillHeartbeat(h *Heartbeat, greeting bool, now time.Time)
	// Heard takes a peer's heartbeat.
	HandleHeartbeat(h *Heartbeat, now time.Time)
	// Offered takes a peer's offer of a free slot at a target, by its short name.
	HandleSlotOffer(target uint32)
}

// Config describes this host.
type Config struct {
	Name, Zone string
	// Address is the IP:port to bind and to be reached at.
	Address string
	// Seeds are addresses to try first.
	Seeds []string
	Log   *slog.Logger
}

// Peer is what is known of another host.
type Peer struct {
	Name, Zone, Address string
	Incarnation         int64
	// Heard is when the last heartbeat came, Every how often the peer beats.
	LastHeartbeat     time.Time
	HeartbeatInterval time.Duration
	Stopping          bool
}

func (p *Peer) lost(now time.Time) bool {
	return now.Sub(p.LastHeartbeat) >= max(lostAfter, lostBeats*p.HeartbeatInterval)
}

// Mesh exchanges heartbeats. Its methods are safe for concurrent use.
type Mesh struct {
	cfg         Config
	state       Delegate
	incarnation int64
	started     time.Time
	conn        *net.UDPConn

	sent, sentBytes atomic.Uint64

	mu       sync.Mutex
	peers    map[string]*Peer     // by address
	tried    map[string]time.Time // addresses without an answer: last try
	added    map[string]time.Time // those addresses: when they were learned
	greet    map[string]bool      // addresses to greet
	stopping bool
	beats    int
	kicks    [reachCount]chan struct{}
}

// New binds the socket.
func New(cfg Config, state Delegate) (*Mesh, error) {
	addr, err := net.ResolveUDPAddr("udp4", cfg.Address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		cfg: cfg, state: state, conn: conn, incarnation: rand.Int64(), started: time.Now(),
		peers: map[string]*Peer{}, tried: map[string]time.Time{}, added: map[string]time.Time{}, greet: map[string]bool{},
	}
	for i := range m.kicks {
		m.kicks[i] = make(chan struct{}, 1)
	}
	m.AddAddresses(cfg.Seeds)
	return m, nil
}

// Run exchanges heartbeats until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	var wg conc.WaitGroup
	stop := context.AfterFunc(ctx, func() { m.conn.Close() })
	defer stop()
	wg.Go(func() { m.receive(ctx) })
	wg.Go(func() { m.send(ctx) })
	wg.Wait()
}

// Learn adds addresses to try.
func (m *Mesh) AddAddresses(addresses []string) {
	if m.learn(addresses) {
		m.wake(toGreet)
	}
}

// learn adds addresses to greet and reports whether there were new ones.
func (m *Mesh) learn(addresses []string) (added bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, a := range addresses {
		if a == m.cfg.Address || m.peers[a] != nil || len(m.tried) >= maxPeers {
			continue
		}
		if _, err := netip.ParseAddrPort(a); err != nil {
			continue
		}
		if _, ok := m.tried[a]; !ok {
			// One that has not started yet is tried again after one interval.
			m.tried[a], m.added[a], m.greet[a] = now.Add(HeartbeatInterval-retryLost), now, true
			added = true
		}
	}
	return added
}

// Expected returns the number of other hosts that the settings name.
func (m *Mesh) SeedCount() int {
	n := 0
	for _, a := range m.cfg.Seeds {
		if a != m.cfg.Address {
			n++
		}
	}
	return n
}

// Kick sends a heartbeat to all peers at once.
func (m *Mesh) TriggerHeartbeats() { m.wake(everybody) }

// KickNear sends a heartbeat at once to the peers that get all of them: what it tells
// is of no use later.
func (m *Mesh) TriggerFullRateHeartbeats() { m.wake(near) }

func (m *Mesh) wake(r reach) {
	select {
	case m.kicks[r] <- struct{}{}:
	default:
	}
}

// Offer tells a peer that a slot has come free at a target, by its short name. A lost
// datagram leaves the slot to those that look for one.
func (m *Mesh) SendSlotOffer(address string, target uint32) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	b, err := encodeOffer(target)
	if err != nil {
		m.cfg.Log.Error("encode offer", "error", err)
		return
	}
	_, _ = m.conn.WriteToUDPAddrPort(b, to) // see above
	m.count(1, len(b))
}

// count adds datagrams of the given size to the traffic.
func (m *Mesh) count(datagrams, size int) {
	m.sent.Add(uint64(datagrams))
	m.sentBytes.Add(uint64(datagrams * size))
}

// Traffic returns how many datagrams this host has sent to its peers, and their bytes.
func (m *Mesh) Traffic() (datagrams, bytes uint64) { return m.sent.Load(), m.sentBytes.Load() }

// Stop marks this host as stopping.
func (m *Mesh) MarkStopping() {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.TriggerHeartbeats()
}

// Alive returns the peers heard lately, in order of their names.
func (m *Mesh) Alive(now time.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Peer, 0, len(m.peers))
	for _, p := range m.peers {
		if !p.lost(now) {
			out = append(out, *p)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

func (m *Mesh) send(ctx context.Context) {
	t := time.NewTicker(HeartbeatInterval)
	defer t.Stop()
	m.beat(everybody)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			m.beat(inTurn)
		case <-m.kicks[everybody]:
			m.beat(everybody)
		case <-m.kicks[near]:
			m.beat(near)
		case <-m.kicks[toGreet]:
			m.beat(toGreet)
		}
	}
}

// reach says who gets a heartbeat.
type reach uint8

const (
	inTurn  reach = iota // those whose turn it is
	toGreet              // those that are new
	near                 // those that get every heartbeat
	everybody
	reachCount
)

// round is a group of receivers of the same heartbeat.
type round struct {
	every    time.Duration // how often they get one
	greeting bool
}

// beat sends heartbeats.
func (m *Mesh) beat(r reach) {
	now := time.Now()
	for group, addresses := range m.recipients(r, now) {
		b, err := m.heartbeat(group, now)
		if err != nil {
			m.cfg.Log.Error("encode heartbeat", "error", err)
			return
		}
		for _, a := range addresses {
			// A lost datagram is made good by the next one.
			_, _ = m.conn.WriteToUDPAddrPort(b, a)
		}
		m.count(len(addresses), len(b))
	}
}

func (m *Mesh) heartbeat(group round, now time.Time) ([]byte, error) {
	h := &Heartbeat{
		Name: m.cfg.Name, Zone: m.cfg.Zone, Address: m.cfg.Address, Incarnation: m.incarnation,
		UptimeMs: now.Sub(m.started).Milliseconds(), IntervalMs: group.every.Milliseconds(),
	}
	known := knownSent
	if group.greeting {
		known = knownGreeting
	}
	m.mu.Lock()
	h.Stopping = m.stopping
	for a := range m.peers { // the order of a map is random
		if len(h.KnownAddresses) == known {
			break
		}
		h.KnownAddresses = append(h.KnownAddresses, a)
	}
	m.mu.Unlock()
	m.state.FillHeartbeat(h, group.greeting, now)
	return Encode(h)
}

// recipients returns the addresses that get a heartbeat now, and those to greet.
func (m *Mesh) recipients(r reach, now time.Time) map[round][]netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropSilent(now)
	out := map[round][]netip.AddrPort{}
	add := func(address string, every time.Duration, greeting bool) {
		group := round{every, greeting}
		out[group] = append(out[group], netip.MustParseAddrPort(address))
	}
	for a := range m.greet {
		add(a, m.every(m.peers[a]), true)
	}
	greeted := m.greet
	m.greet = map[string]bool{}
	if r == toGreet {
		return out
	}
	if r == inTurn {
		m.beats++
		m.addLost(add, now)
	}
	for a, p := range m.peers {
		every := m.every(p)
		n := int(every / HeartbeatInterval)
		turn := r == inTurn && (m.beats+int(p.Incarnation&0xff))%n == 0
		if !greeted[a] && (r == everybody || n == 1 || turn) {
			add(a, every, false)
		}
	}
	return out
}

// every returns how often a peer gets a heartbeat; nil is an address without an answer.
func (m *Mesh) every(p *Peer) time.Duration {
	if p == nil || p.Zone == m.cfg.Zone {
		return HeartbeatInterval
	}
	return time.Duration(1+len(m.peers)/fullRateHosts) * HeartbeatInterval
}

// addLost adds the addresses without an answer that are due for another try.
func (m *Mesh) addLost(add func(address string, every time.Duration, greeting bool), now time.Time) {
	for a, last := range m.tried {
		if now.Sub(last) >= retryLost {
			m.tried[a] = now
			add(a, HeartbeatInterval, false)
		}
	}
}

// dropSilent moves silent peers to the addresses that are tried now and then.
func (m *Mesh) dropSilent(now time.Time) {
	for a, p := range m.peers {
		if p.lost(now) {
			delete(m.peers, a)
			m.tried[a], m.added[a] = now, now
			event.MemberDead.Log(m.cfg.Log, slog.String("peer", p.Name), slog.Duration("silent", now.Sub(p.LastHeartbeat)))
		}
	}
	for a, at := range m.added {
		if now.Sub(at) >= forgetAfter && !slices.Contains(m.cfg.Seeds, a) {
			delete(m.tried, a)
			delete(m.added, a)
		}
	}
}

func (m *Mesh) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := m.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			continue
		}
		if target, ok := decodeOffer(buf[:n]); ok {
			m.state.HandleSlotOffer(target)
			continue
		}
		h, err := Decode(buf[:n])
		if err != nil {
			event.PeerRejected.Log(m.cfg.Log, slog.Any("error", err))
			continue
		}
		m.heard(h, time.Now())
	}
}

func (m *Mesh) heard(h *Heartbeat, now time.Time) {
	if h.Address == m.cfg.Address {
		return
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return
	}
	m.mu.Lock()
	p := m.peers[h.Address]
	fresh := p == nil || p.Incarnation != h.Incarnation
	if p == nil {
		p = &Peer{}
		m.peers[h.Address] = p
		delete(m.tried, h.Address)
		delete(m.added, h.Address)
	}
	if fresh {
		m.greet[h.Address] = true
	}
	*p = Peer{Name: h.Name, Zone: h.Zone, Address: h.Address, Incarnation: h.Incarnation, LastHeartbeat: now, HeartbeatInterval: time.Duration(h.IntervalMs) * time.Millisecond, Stopping: h.Stopping}
	m.mu.Unlock()
	added := m.learn(h.KnownAddresses)
	m.state.HandleHeartbeat(h, now)
	if fresh {
		event.MemberAlive.Log(m.cfg.Log, slog.String("peer", h.Name), slog.String("address", h.Address))
	}
	if fresh || added {
		m.wake(toGreet)
	}
}
