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

// The kinds of messages between hosts. Calls of other kinds go to
// Config.Handle. Gossip is the most frequent and has the shortest name.
const (
	kindGossip = "g"
	kindPull   = "pull-config"
	// kindMembers asks for all members, kindRelay for a call to another host.
	kindMembers = "members"
	kindRelay   = "relay"
	kindFloor   = "floor"
	// kindHalt asks the receiver to forward the halt in its own zone,
	// kindHaltZone does not.
	kindHalt     = "halt"
	kindHaltZone = "halt-zone"
)

// notice is a floor or halt with the host that raised it.
type notice struct {
	_      struct{} `cbor:",toarray"`
	Origin string
	Body   []byte
}

// message handles one-way messages of peers.
func (n *Node) message(from peer.Peer, kind string, body []byte) {
	switch kind {
	case kindGossip:
		n.do(func(c *core.Core, now time.Time) core.Actions {
			a, err := c.Receive(from.Name, body, now)
			if err != nil {
				n.cfg.Logger.Warn("message dropped", "from", from.Name, "error", err)
			}
			return a
		})
	case kindFloor, kindHalt, kindHaltZone:
		n.notice(from, kind, body)
	}
}

func (n *Node) notice(from peer.Peer, kind string, body []byte) {
	var m notice
	if err := cbor.Unmarshal(body, &m); err != nil {
		n.cfg.Logger.Warn("message dropped", "from", from.Name, "error", err)
		return
	}
	if kind == kindFloor {
		n.queueNotice(n.cfg.OnFloor, from.Name, m.Body)
		return
	}
	if !n.firstHalt(m) {
		return
	}
	n.queueNotice(n.cfg.OnHalt, m.Origin, m.Body)
	if kind == kindHalt {
		n.sendZone(kindHaltZone, body)
	}
}

// firstHalt reports whether the halt was not seen before.
func (n *Node) firstHalt(m notice) bool {
	h := xxhash.New()
	_, _ = h.WriteString(m.Origin + "\x00")
	_, _ = h.Write(m.Body)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.halts.add(h.Sum64())
}

// BroadcastFloor sends a tier floor to the live members of the own zone. It
// costs about 250 bytes for each of them.
func (n *Node) BroadcastFloor(b []byte) {
	if body, err := cbor.Marshal(notice{Origin: n.cfg.Name, Body: b}); err == nil {
		n.sendZone(kindFloor, body)
	}
}

// BroadcastHalt sends a halt to all reachable members: directly in the own
// zone, and through two members of each other zone, which forward it there.
// This host's OnHalt is not called.
func (n *Node) BroadcastHalt(b []byte) {
	m := notice{Origin: n.cfg.Name, Body: b}
	body, err := cbor.Marshal(m)
	if err != nil {
		return
	}
	n.firstHalt(m)
	n.sendZone(kindHaltZone, body)
	for _, a := range n.haltRelays() {
		n.peers.SendReliable(a, kindHalt, body)
	}
}

func (n *Node) sendZone(kind string, body []byte) {
	for _, a := range n.zoneAddresses() {
		n.peers.SendReliable(a, kind, body)
	}
}

func (n *Node) zoneAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addresses(n.core.Membership.ZoneMembers())
}

// haltRelays returns the members of each other zone that forward halts of this
// host there: the partner, to which a connection is open, and another one that
// covers its loss.
func (n *Node) haltRelays() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	names := n.core.Membership.SamplePeers(0, time.Now())
	for _, zone := range n.core.Membership.OtherZones() {
		for _, second := range config.Watchers(n.cfg.Name, zone) {
			if !slices.Contains(names, second) {
				names = append(names, second)
				break
			}
		}
	}
	return n.addresses(names)
}

// addresses resolves names without this host. The caller holds mu.
func (n *Node) addresses(names []string) []string {
	var found []string
	for _, name := range names {
		if m, ok := n.core.Membership.Lookup(name); ok && name != n.cfg.Name {
			found = append(found, m.Address)
		}
	}
	return found
}

// Members returns all members, this host and the dead included, by name.
func (n *Node) Members() []member.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Membership.Members()
}

// Status is the state of the configuration on this host.
type Status struct {
	config.Status
	// InForce is the number that OnConfig put into force, 0 for none.
	ActiveNumber int64
	// Rejected is the error of OnConfig for the file held, or nil.
	ApplyErr error
	// Watching means that this host watches the store for its zone.
	WatchesStore bool
}

// ConfigStatus returns the state of the configuration.
func (n *Node) ConfigStatus() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Status{
		Status:       n.core.Replica.Status(time.Now()),
		ActiveNumber: n.inForce.Number,
		ApplyErr:     n.rejected,
		WatchesStore: n.core.WatchesStore(),
	}
}

// Held returns the rules file that this host holds; its Number is 0 if none.
func (n *Node) LatestRules() config.RulesFile {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Replica.Latest()
}

// PeerStats returns the transport's totals.
func (n *Node) PeerStats() peer.Stats { return n.peers.Stats() }

// seen remembers the last hashes.
type seen struct {
	last []uint64
	next int
}

// maxSeen bounds the halts remembered; more than that many at once would only
// be delivered twice, which a halt tolerates.
const maxSeen = 1024

// add reports whether the hash is new.
func (s *seen) add(h uint64) bool {
	if slices.Contains(s.last, h) {
		return false
	}
	if len(s.last) < maxSeen {
		s.last = append(s.last, h)
		return true
	}
	s.last[s.next] = h
	s.next = (s.next + 1) % maxSeen
	return true
}
