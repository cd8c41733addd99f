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
	"sardinefront.dev/core/supervise"
)

const (
	// HeartbeatInterval is the time between heartbeats to each peer at the full rate.
	HeartbeatInterval = 250 * time.Millisecond
	// peerTimeout is the time without a heartbeat after which a peer counts as dead. It is
	// peerTimeoutIntervals of the peer's heartbeat interval if that is longer.
	peerTimeout          = 1200 * time.Millisecond
	peerTimeoutIntervals = 3
	// fullRateMaxHosts is the number of hosts up to which each sends at the full rate to all
	// others. Above it, the interval to hosts in other zones grows with the number of hosts,
	// so that the traffic between zones grows linearly and not quadratically.
	fullRateMaxHosts = 12
	// addressTTL is how long an address that does not respond is probed.
	addressTTL = 60 * time.Second
	// probeInterval is the time between probes of an address that has not responded.
	probeInterval = time.Second
	// maxKnownAddresses bounds the number of peer addresses in a heartbeat.
	// maxKnownAddressesInitial bounds it in the initial heartbeat to a host process, which
	// may not have the address of any other host yet.
	maxKnownAddresses        = 3
	maxKnownAddressesInitial = 64
	// maxProbedAddresses bounds the number of addresses that are probed.
	maxProbedAddresses = 1024
	// maxDatagramBytes bounds a received datagram. Senders try to stay below the MTU.
	maxDatagramBytes = 16 << 10
)

// Delegate supplies the content of heartbeats and handles received messages.
type Delegate interface {
	// FillHeartbeat sets all fields of h that don't identify the host. The receivers get one
	// heartbeat every h.IntervalMs. If initial is set, it is their first one from this host.
	FillHeartbeat(h *Heartbeat, initial bool, now time.Time)
	// HandleHeartbeat handles a heartbeat of a peer.
	HandleHeartbeat(h *Heartbeat, now time.Time)
	// HandleSlotOffer handles a peer's offer of a free slot at a target, which is given by
	// the 32-bit hash of its name.
	HandleSlotOffer(targetHash uint32)
}

// Config is the configuration of this host's mesh.
type Config struct {
	Name, Zone string
	// Address is the IP:port to bind. Peers send to it.
	Address string
	// Seeds are the addresses that are probed first. They are never removed.
	Seeds []string
	Log   *slog.Logger
}

// Peer is the state of another host as of its last heartbeat.
type Peer struct {
	Name, Zone, Address string
	Incarnation         int64
	// LastHeartbeat is when the last heartbeat arrived, HeartbeatInterval the interval at
	// which the peer sends them.
	LastHeartbeat     time.Time
	HeartbeatInterval time.Duration
	Stopping          bool
}

// expired reports whether heartbeats have been missing for longer than the peer timeout.
func (p *Peer) expired(now time.Time) bool {
	return now.Sub(p.LastHeartbeat) >= max(peerTimeout, peerTimeoutIntervals*p.HeartbeatInterval)
}

// Mesh exchanges heartbeats with all other hosts. Its methods are safe for concurrent use.
type Mesh struct {
	cfg         Config
	delegate    Delegate
	incarnation int64
	started     time.Time
	conn        *net.UDPConn

	sentDatagrams, sentBytes atomic.Uint64

	mu             sync.Mutex
	peers          map[string]*Peer     // by address
	lastProbe      map[string]time.Time // by probed address
	probedSince    map[string]time.Time // by probed address
	initialPending map[string]bool      // addresses due for an initial heartbeat
	stopping       bool
	ticks          int
	triggers       [recipientSetCount]chan struct{}
}

// New returns a mesh with a bound socket.
func New(cfg Config, delegate Delegate) (*Mesh, error) {
	addr, err := net.ResolveUDPAddr("udp4", cfg.Address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		cfg: cfg, delegate: delegate, conn: conn, incarnation: rand.Int64(), started: time.Now(),
		peers: map[string]*Peer{}, lastProbe: map[string]time.Time{}, probedSince: map[string]time.Time{}, initialPending: map[string]bool{},
	}
	for i := range m.triggers {
		m.triggers[i] = make(chan struct{}, 1)
	}
	m.AddAddresses(cfg.Seeds)
	return m, nil
}

// Run exchanges heartbeats until ctx ends, and then closes the socket.
func (m *Mesh) Run(ctx context.Context) {
	var wg conc.WaitGroup
	stop := context.AfterFunc(ctx, func() { m.conn.Close() })
	defer stop()
	wg.Go(func() { supervise.Loop(ctx, m.cfg.Log, "heartbeats received", m.receiveLoop) })
	wg.Go(func() { supervise.Loop(ctx, m.cfg.Log, "heartbeats sent", m.sendLoop) })
	wg.Wait()
}

// AddAddresses adds addresses of hosts to contact.
func (m *Mesh) AddAddresses(addresses []string) {
	if m.recordAddresses(addresses) {
		m.trigger(newRecipients)
	}
}

// recordAddresses adds unknown addresses and reports whether there were any.
func (m *Mesh) recordAddresses(addresses []string) (added bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, a := range addresses {
		if a == m.cfg.Address || m.peers[a] != nil || len(m.lastProbe) >= maxProbedAddresses {
			continue
		}
		if _, err := netip.ParseAddrPort(a); err != nil {
			continue
		}
		if _, ok := m.lastProbe[a]; !ok {
			// A host that has not started yet is probed again after one heartbeat interval.
			m.lastProbe[a], m.probedSince[a], m.initialPending[a] = now.Add(HeartbeatInterval-probeInterval), now, true
			added = true
		}
	}
	return added
}

// SeedCount returns the number of seeds other than this host.
func (m *Mesh) SeedCount() int {
	n := 0
	for _, a := range m.cfg.Seeds {
		if a != m.cfg.Address {
			n++
		}
	}
	return n
}

// TriggerHeartbeats makes the mesh send a heartbeat to all peers now.
func (m *Mesh) TriggerHeartbeats() { m.trigger(allRecipients) }

// TriggerFullRateHeartbeats makes the mesh send a heartbeat now to the peers that receive them at
// the full rate, one per HeartbeatInterval. It is for content that becomes outdated within the
// longer intervals of other peers.
func (m *Mesh) TriggerFullRateHeartbeats() { m.trigger(fullRateRecipients) }

func (m *Mesh) trigger(set recipientSet) {
	select {
	case m.triggers[set] <- struct{}{}:
	default:
	}
}

// SendSlotOffer offers the peer at the address a free slot at a target, which is given by the
// 32-bit hash of its name. If the datagram is lost, the slot stays free for any host that
// dispatches to the target.
func (m *Mesh) SendSlotOffer(address string, targetHash uint32) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	b, err := encodeSlotOffer(targetHash)
	if err != nil {
		m.cfg.Log.Error("encode slot offer", "error", err)
		return
	}
	_, _ = m.conn.WriteToUDPAddrPort(b, to) // may be lost like any datagram
	m.countSent(1, len(b))
}

// countSent adds sent datagrams of the given size to the traffic counters.
func (m *Mesh) countSent(datagrams, size int) {
	m.sentDatagrams.Add(uint64(datagrams))
	m.sentBytes.Add(uint64(datagrams * size))
}

// Traffic returns the number of datagrams sent to peers and their total size in bytes.
func (m *Mesh) Traffic() (datagrams, bytes uint64) { return m.sentDatagrams.Load(), m.sentBytes.Load() }

// MarkStopping announces to all peers that this host is stopping.
func (m *Mesh) MarkStopping() {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.TriggerHeartbeats()
}

// Alive returns copies of the peers that are alive, sorted by name.
func (m *Mesh) Alive(now time.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Peer, 0, len(m.peers))
	for _, p := range m.peers {
		if !p.expired(now) {
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

// KnownCount returns the number of other hosts whose addresses are known, alive or not.
func (m *Mesh) KnownCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + len(m.lastProbe)
}

func (m *Mesh) sendLoop(ctx context.Context) {
	t := time.NewTicker(HeartbeatInterval)
	defer t.Stop()
	m.sendHeartbeats(allRecipients)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			m.sendHeartbeats(dueRecipients)
		case <-m.triggers[allRecipients]:
			m.sendHeartbeats(allRecipients)
		case <-m.triggers[fullRateRecipients]:
			m.sendHeartbeats(fullRateRecipients)
		case <-m.triggers[newRecipients]:
			m.sendHeartbeats(newRecipients)
		}
	}
}

// recipientSet selects the hosts that get a heartbeat.
type recipientSet uint8

const (
	dueRecipients      recipientSet = iota // peers whose interval has passed, and addresses to probe
	newRecipients                          // host processes that have not been sent a heartbeat yet
	fullRateRecipients                     // peers with an interval of HeartbeatInterval
	allRecipients
	recipientSetCount
)

// heartbeatGroup is a group of recipients of the same heartbeat.
type heartbeatGroup struct {
	interval time.Duration // between heartbeats to them
	initial  bool
}

// sendHeartbeats sends a heartbeat to each host in the set, and all initial ones that are due.
func (m *Mesh) sendHeartbeats(set recipientSet) {
	now := time.Now()
	for group, addresses := range m.recipients(set, now) {
		b, err := m.encodeHeartbeat(group, now)
		if err != nil {
			m.cfg.Log.Error("encode heartbeat", "error", err)
			return
		}
		for _, a := range addresses {
			// An error is ignored like a lost datagram: the next heartbeat repeats the state.
			_, _ = m.conn.WriteToUDPAddrPort(b, a)
		}
		m.countSent(len(addresses), len(b))
	}
}

func (m *Mesh) encodeHeartbeat(group heartbeatGroup, now time.Time) ([]byte, error) {
	h := &Heartbeat{
		Name: m.cfg.Name, Zone: m.cfg.Zone, Address: m.cfg.Address, Incarnation: m.incarnation,
		UptimeMs: now.Sub(m.started).Milliseconds(), IntervalMs: group.interval.Milliseconds(),
	}
	maxKnown := maxKnownAddresses
	if group.initial {
		maxKnown = maxKnownAddressesInitial
	}
	m.mu.Lock()
	h.Stopping = m.stopping
	for a := range m.peers { // in random order
		if len(h.KnownAddresses) == maxKnown {
			break
		}
		h.KnownAddresses = append(h.KnownAddresses, a)
	}
	m.mu.Unlock()
	m.delegate.FillHeartbeat(h, group.initial, now)
	return Encode(h)
}

// recipients returns the addresses in the set and those due for an initial heartbeat.
func (m *Mesh) recipients(set recipientSet, now time.Time) map[heartbeatGroup][]netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expirePeers(now)
	out := map[heartbeatGroup][]netip.AddrPort{}
	add := func(address string, interval time.Duration, initial bool) {
		group := heartbeatGroup{interval, initial}
		out[group] = append(out[group], netip.MustParseAddrPort(address))
	}
	for a := range m.initialPending {
		add(a, m.intervalFor(m.peers[a]), true)
	}
	initialSent := m.initialPending
	m.initialPending = map[string]bool{}
	if set == newRecipients {
		return out
	}
	if set == dueRecipients {
		m.ticks++
		m.addProbes(add, now)
	}
	for a, p := range m.peers {
		interval := m.intervalFor(p)
		ticksPerHeartbeat := int(interval / HeartbeatInterval)
		due := set == dueRecipients && (m.ticks+int(p.Incarnation&0xff))%ticksPerHeartbeat == 0
		if !initialSent[a] && (set == allRecipients || ticksPerHeartbeat == 1 || due) {
			add(a, interval, false)
		}
	}
	return out
}

// intervalFor returns the interval of heartbeats to a peer, or to a probed address if p is nil.
func (m *Mesh) intervalFor(p *Peer) time.Duration {
	if p == nil || p.Zone == m.cfg.Zone {
		return HeartbeatInterval
	}
	return time.Duration(1+len(m.peers)/fullRateMaxHosts) * HeartbeatInterval
}

// addProbes adds the addresses that are due for a probe.
func (m *Mesh) addProbes(add func(address string, interval time.Duration, initial bool), now time.Time) {
	for a, last := range m.lastProbe {
		if now.Sub(last) >= probeInterval {
			m.lastProbe[a] = now
			add(a, HeartbeatInterval, false)
		}
	}
}

// expirePeers turns dead peers into addresses to probe, and removes addresses that have not
// responded within addressTTL, except seeds.
func (m *Mesh) expirePeers(now time.Time) {
	for a, p := range m.peers {
		if p.expired(now) {
			delete(m.peers, a)
			m.lastProbe[a], m.probedSince[a] = now, now
			event.MemberDead.Log(m.cfg.Log, slog.String("peer", p.Name), slog.Duration("silent", now.Sub(p.LastHeartbeat)))
		}
	}
	for a, at := range m.probedSince {
		if now.Sub(at) >= addressTTL && !slices.Contains(m.cfg.Seeds, a) {
			delete(m.lastProbe, a)
			delete(m.probedSince, a)
		}
	}
}

func (m *Mesh) receiveLoop(ctx context.Context) {
	buf := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, _, err := m.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			continue
		}
		if targetHash, ok := decodeSlotOffer(buf[:n]); ok {
			m.delegate.HandleSlotOffer(targetHash)
			continue
		}
		h, err := Decode(buf[:n])
		if err != nil {
			event.PeerRejected.Log(m.cfg.Log, slog.Any("error", err))
			continue
		}
		m.handleHeartbeat(h, time.Now())
	}
}

func (m *Mesh) handleHeartbeat(h *Heartbeat, now time.Time) {
	if h.Address == m.cfg.Address {
		return
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return
	}
	m.mu.Lock()
	p := m.peers[h.Address]
	newProcess := p == nil || p.Incarnation != h.Incarnation
	if p == nil {
		p = &Peer{}
		m.peers[h.Address] = p
		delete(m.lastProbe, h.Address)
		delete(m.probedSince, h.Address)
	}
	if newProcess {
		m.initialPending[h.Address] = true
	}
	*p = Peer{Name: h.Name, Zone: h.Zone, Address: h.Address, Incarnation: h.Incarnation, LastHeartbeat: now, HeartbeatInterval: time.Duration(h.IntervalMs) * time.Millisecond, Stopping: h.Stopping}
	m.mu.Unlock()
	added := m.recordAddresses(h.KnownAddresses)
	m.delegate.HandleHeartbeat(h, now)
	if newProcess {
		event.MemberAlive.Log(m.cfg.Log, slog.String("peer", h.Name), slog.String("address", h.Address))
	}
	if newProcess || added {
		m.trigger(newRecipients)
	}
}
