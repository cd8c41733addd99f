package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/internal/core"
	"sardinefront.dev/fleet/member"
	"sardinefront.dev/fleet/peer"
)

// The kinds of messages between hosts. Calls of other kinds are passed to
// Config.HandleCall. Gossip has the shortest name because it is the most frequent.
const (
	kindGossip = "g"
	kindPull   = "pull-config"
	// kindMembers requests the member list, kindRelay a call to another host.
	kindMembers = "members"
	kindRelay   = "relay"
	kindFloor   = "floor"
	// kindHalt is a halt that the receiver forwards to its zone as kindHaltZone.
	// kindHaltZone is not forwarded.
	kindHalt     = "halt"
	kindHaltZone = "halt-zone"
)

// broadcast is a floor or a halt. Origin is the host that sent it first.
type broadcast struct {
	_      struct{} `cbor:",toarray"`
	Origin string
	Body   []byte
}

// handleMessage handles a one-way message of a peer.
func (n *Node) handleMessage(from peer.Peer, kind string, body []byte) {
	switch kind {
	case kindGossip:
		n.step(func(c *core.Core, now time.Time) core.Actions {
			a, err := c.Receive(from.Name, body, now)
			if err != nil {
				n.cfg.Logger.Warn("gossip message dropped", "from", from.Name, "error", err)
			}
			return a
		})
	case kindFloor, kindHalt, kindHaltZone:
		n.handleBroadcast(from, kind, body)
	}
}

func (n *Node) handleBroadcast(from peer.Peer, kind string, body []byte) {
	var m broadcast
	if err := cbor.Unmarshal(body, &m); err != nil {
		n.cfg.Logger.Warn("broadcast dropped: it cannot be decoded", "from", from.Name, "error", err)
		return
	}
	if kind == kindFloor {
		n.queueDroppable(n.cfg.OnFloor, from.Name, m.Body)
		return
	}
	if !n.recordHalt(m) {
		return
	}
	n.queueDroppable(n.cfg.OnHalt, m.Origin, m.Body)
	if kind == kindHalt {
		n.sendToZone(kindHaltZone, body)
	}
}

// recordHalt records the halt and reports whether it was not received before.
func (n *Node) recordHalt(m broadcast) bool {
	h := xxhash.New()
	_, _ = h.WriteString(m.Origin + "\x00")
	_, _ = h.Write(m.Body)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.recentHalts.add(h.Sum64())
}

// BroadcastFloor sends an encoded tier floor to the live members of this host's zone.
// It costs about 250 bytes of traffic per member.
func (n *Node) BroadcastFloor(b []byte) {
	if body, err := cbor.Marshal(broadcast{Origin: n.cfg.Name, Body: b}); err == nil {
		n.sendToZone(kindFloor, body)
	}
}

// BroadcastHalt sends an encoded halt to all reachable members: directly to those of this
// host's zone, and through two members of each other zone, which forward it to
// their zone. This host's own OnHalt is not called.
func (n *Node) BroadcastHalt(b []byte) {
	m := broadcast{Origin: n.cfg.Name, Body: b}
	body, err := cbor.Marshal(m)
	if err != nil {
		return
	}
	n.recordHalt(m)
	n.sendToZone(kindHaltZone, body)
	for _, a := range n.haltRelays() {
		n.peers.SendReliable(a, kindHalt, body)
	}
}

func (n *Node) sendToZone(kind string, body []byte) {
	for _, a := range n.zoneAddresses() {
		n.peers.SendReliable(a, kind, body)
	}
}

func (n *Node) zoneAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resolveAddresses(n.core.Membership.ZoneMembers())
}

// haltRelays returns the addresses of two members of each other zone that forward
// this host's halts to their zone: the partner, to which a connection is open, and
// a second one in case the partner fails.
func (n *Node) haltRelays() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	names := n.core.Membership.SamplePeers(0, time.Now())
	for _, zone := range n.core.Membership.OtherZones() {
		// Watchers serves as a rendezvous hash of two members, keyed by this host.
		for _, second := range config.Watchers(n.cfg.Name, zone) {
			if !slices.Contains(names, second) {
				names = append(names, second)
				break
			}
		}
	}
	return n.resolveAddresses(names)
}

// resolveAddresses returns the addresses of the named members, without this host
// and unknown members. The caller holds mu.
func (n *Node) resolveAddresses(names []string) []string {
	var found []string
	for _, name := range names {
		if m, ok := n.core.Membership.Lookup(name); ok && name != n.cfg.Name {
			found = append(found, m.Address)
		}
	}
	return found
}

// Members returns all members sorted by name, including this host and dead members.
func (n *Node) Members() []member.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Membership.Members()
}

// Status is the state of the configuration on this host.
type Status struct {
	config.Status
	// ActiveNumber is the number of the active rules file, the last one for which
	// OnConfig succeeded; 0 if there is none.
	ActiveNumber int64
	// ApplyErr is the error of the last call of OnConfig, or nil.
	ApplyErr error
	// WatchesStore is true if this host watches the store for its zone.
	WatchesStore bool
}

// ConfigStatus returns the state of the configuration on this host.
func (n *Node) ConfigStatus() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Status{
		Status:       n.core.Replica.Status(time.Now()),
		ActiveNumber: n.applied.Number,
		ApplyErr:     n.applyErr,
		WatchesStore: n.core.WatchesStore(),
	}
}

// LatestRules returns the newest rules file that this host has received, which may
// differ from the active one. Its Number is 0 if there is none.
func (n *Node) LatestRules() config.RulesFile {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Replica.Latest()
}

// PeerStats returns the traffic totals of the peer transport.
func (n *Node) PeerStats() peer.Stats { return n.peers.Stats() }

// recentHashes is a ring buffer of the hashes added last.
type recentHashes struct {
	hashes []uint64
	next   int
}

// maxRecentHalts limits the halts recorded for deduplication. If more arrive in
// a short time, some are delivered twice, which is harmless.
const maxRecentHalts = 1024

// add records the hash and reports whether it was new.
func (s *recentHashes) add(h uint64) bool {
	if slices.Contains(s.hashes, h) {
		return false
	}
	if len(s.hashes) < maxRecentHalts {
		s.hashes = append(s.hashes, h)
		return true
	}
	s.hashes[s.next] = h
	s.next = (s.next + 1) % maxRecentHalts
	return true
}
