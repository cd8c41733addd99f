package member

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tick advances the machine to now. The caller calls it about every 100 ms; a gap of
// more than a second is treated as a pause of this process.
func (m *Machine) Tick(now time.Time) Output {
	var out Output
	m.handlePause(now)
	m.lastTick = now
	m.expireProbes(now, &out)
	m.expireSuspects(now, &out)
	m.removeExpired(now, &out)
	if !now.Before(m.nextZoneProbe) {
		m.nextZoneProbe = nextInPhase(m.nextZoneProbe, m.cfg.ZoneProbeInterval, now)
		m.probeZone(now, &out)
	}
	if !now.Before(m.nextCrossZoneProbe) {
		m.nextCrossZoneProbe = nextInPhase(m.nextCrossZoneProbe, m.cfg.CrossZoneProbeInterval, now)
		m.probeOtherZone(now, &out)
	}
	if !now.Before(m.nextDeadProbe) {
		m.nextDeadProbe = nextInPhase(m.nextDeadProbe, m.deadProbeInterval(), now)
		m.probeDead(now, &out)
	}
	return out
}

// nextInPhase returns the first time after now that is a multiple of interval after t.
func nextInPhase(t time.Time, interval time.Duration, now time.Time) time.Time {
	missed := now.Sub(t) / interval
	return t.Add((missed + 1) * interval)
}

// handlePause corrects the state after a pause of this process, in which no responses
// could be received: it discards unanswered probes and extends suspicions by the length
// of the pause.
func (m *Machine) handlePause(now time.Time) {
	gap := now.Sub(m.lastTick)
	if gap <= time.Second {
		return
	}
	clear(m.pendingProbes)
	clear(m.relayedProbes)
	for _, r := range m.records {
		if r.State == Suspect {
			r.suspectUntil = r.suspectUntil.Add(gap)
		}
	}
}

// probeZone probes one member of this host's zone. All hosts of a zone use the same
// sorted ring and the same offset, derived from the wall clock, so that every member
// is probed about once per interval rather than at random times.
func (m *Machine) probeZone(now time.Time, out *Output) {
	m.rebuildViews()
	n := len(m.zoneMembers)
	if n < 2 {
		return
	}
	round := now.UnixNano() / int64(m.cfg.ZoneProbeInterval)
	offset := 1 + int(round%int64(n-1))
	self, _ := slices.BinarySearch(m.zoneMembers, m.self.Name)
	m.probe(m.zoneMembers[(self+offset)%n], now, m.cfg.ZoneProbeTimeout, out)
}

// probeOtherZone probes the partner in the next of the other zones. Partners change
// rarely, because the handshake of a new connection costs several kilobytes.
func (m *Machine) probeOtherZone(now time.Time, out *Output) {
	m.rebuildViews()
	if len(m.otherZoneNames) == 0 {
		return
	}
	m.crossZoneIndex++
	zone := m.otherZoneNames[m.crossZoneIndex%len(m.otherZoneNames)]
	m.probe(m.partner(zone, now), now, m.cfg.CrossZoneProbeTimeout, out)
}

// partner returns the member of another zone that this host probes, chosen by
// rendezvous hashing. When partners were chosen by position in sorted lists, one host
// that joined or left made most hosts of its zone connect to new partners.
func (m *Machine) partner(zone string, now time.Time) string {
	epoch := strconv.FormatInt(now.Unix()/int64(m.cfg.PartnerRotation/time.Second), 10)
	best, highest := "", uint64(0)
	for _, name := range m.otherZones[zone] {
		if h := xxhash.Sum64String(m.self.Name + " " + name + " " + epoch); best == "" || h > highest {
			best, highest = name, h
		}
	}
	return best
}

// deadProbeInterval returns the interval of this host's probes to dead members. It is
// DeadProbeInterval in a zone of up to four hosts and grows with the size of the zone.
// Each dial of a dead host costs 5 KB of padded packets, and once the host returns, each
// host that dials it costs a handshake.
func (m *Machine) deadProbeInterval() time.Duration {
	m.rebuildViews()
	return m.cfg.DeadProbeInterval * time.Duration(max(4, len(m.zoneMembers))) / 4
}

// probeDead probes a dead member. This ends partitions: the Ack of a member that was
// declared dead carries its refutation.
func (m *Machine) probeDead(now time.Time, out *Output) {
	m.rebuildViews()
	if len(m.deadMembers) == 0 {
		return
	}
	self, _ := slices.BinarySearch(m.zoneMembers, m.self.Name)
	m.deadIndex++
	name := m.deadMembers[(self+m.deadIndex)%len(m.deadMembers)]
	if m.records[name].State == Left {
		return
	}
	m.probe(name, now, m.cfg.CrossZoneProbeTimeout, out)
}

func (m *Machine) probe(name string, now time.Time, timeout time.Duration, out *Output) {
	r := m.records[name]
	m.seq++
	m.pendingProbes[m.seq] = &pendingProbe{
		target:        name,
		relayAt:       now.Add(m.cfg.DirectProbeTimeout),
		deadline:      now.Add(timeout),
		ignoreFailure: r.State.DeadOrLeft(),
	}
	m.send(r.Name, r.Address, Message{Kind: Probe, Seq: m.seq}, out)
}

// send adds this host's record and piggybacked updates to the message and appends it
// to out.
func (m *Machine) send(name, address string, msg Message, out *Output) {
	msg.From = m.self
	msg.Updates = m.piggyback(name)
	out.Messages = append(out.Messages, OutgoingMessage{To: name, Address: address, Message: msg})
}

// expireProbes requests indirect probes for probes without an ack by relayAt, and marks
// members as suspect whose probes have reached the deadline.
func (m *Machine) expireProbes(now time.Time, out *Output) {
	if len(m.pendingProbes) == 0 && len(m.relayedProbes) == 0 {
		return
	}
	for _, seq := range sortedKeys(m.pendingProbes) {
		p := m.pendingProbes[seq]
		if !p.relaysRequested && !p.ignoreFailure && !now.Before(p.relayAt) {
			p.relaysRequested = true
			m.requestIndirectProbes(seq, p.target, out)
		}
		if now.Before(p.deadline) {
			continue
		}
		delete(m.pendingProbes, seq)
		if p.ignoreFailure {
			continue
		}
		m.failedProbes = min(m.failedProbes+1, maxFailedProbes)
		m.markSuspect(p.target, now, out)
	}
	for seq, r := range m.relayedProbes {
		if !now.Before(r.deadline) {
			delete(m.relayedProbes, seq)
		}
	}
}

// requestIndirectProbes asks relays to probe the named member.
func (m *Machine) requestIndirectProbes(seq uint32, name string, out *Output) {
	target, ok := m.records[name]
	if !ok {
		return
	}
	for _, relay := range m.selectRelays(target) {
		r := m.records[relay]
		msg := Message{Kind: ProbeRequest, Seq: seq, Target: target.Update}
		m.send(r.Name, r.Address, msg, out)
	}
}

// Relays returns the names of up to RelayCount live members that may reach the named
// member when this host does not. It returns nil if the member is unknown.
func (m *Machine) Relays(name string) []string {
	if r, ok := m.records[name]; ok {
		return m.selectRelays(r)
	}
	return nil
}

// selectRelays selects members to reach the target indirectly. For a target in another
// zone, it prefers members of third zones, because the partition may be between the
// two zones, then members of the target's zone.
func (m *Machine) selectRelays(target *record) []string {
	m.rebuildViews()
	var groups [][]string
	if target.Zone != m.self.Zone {
		for _, z := range m.otherZoneNames {
			if z != target.Zone {
				groups = append(groups, m.otherZones[z])
			}
		}
		m.rnd.Shuffle(len(groups), func(i, j int) { groups[i], groups[j] = groups[j], groups[i] })
		groups = append(groups, m.otherZones[target.Zone])
	}
	groups = append(groups, m.zoneMembers)
	var found []string
	for pass := 0; pass < 2 && len(found) < m.cfg.RelayCount; pass++ {
		for _, group := range groups {
			if len(found) == m.cfg.RelayCount {
				break
			}
			if name, ok := m.pickRelay(group, target.Name, found); ok {
				found = append(found, name)
			}
		}
	}
	return found
}

// pickRelay returns a random alive member of the group other than this host, the
// target and those already used.
func (m *Machine) pickRelay(group []string, target string, used []string) (string, bool) {
	if len(group) == 0 {
		return "", false
	}
	start := m.rnd.IntN(len(group))
	for i := range group {
		name := group[(start+i)%len(group)]
		if name == target || name == m.self.Name || slices.Contains(used, name) {
			continue
		}
		if m.records[name].State == Alive {
			return name, true
		}
	}
	return "", false
}

// expireSuspects declares members dead that did not refute a suspicion in time.
func (m *Machine) expireSuspects(now time.Time, out *Output) {
	if m.suspects == 0 {
		return
	}
	m.rebuildViews()
	for _, name := range m.recordNames {
		r := m.records[name]
		if r.State == Suspect && !now.Before(r.suspectUntil) {
			u := r.Update
			u.State = Dead
			m.applyLocal(r, u, now, out)
		}
	}
}

// removeExpired removes the records of members that have been dead for DeadRetention.
// A member that the platform still lists is kept, because the next read of the
// outdated list would add it again.
func (m *Machine) removeExpired(now time.Time, out *Output) {
	for _, name := range m.deadMembers {
		r, ok := m.records[name]
		if !ok || !r.State.DeadOrLeft() || r.listedByPlatform || now.Sub(r.stateSince) < m.cfg.DeadRetention {
			continue
		}
		delete(m.records, name)
		m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(h *record) bool { return h == r })
		m.viewsStale = true
		out.Events = append(out.Events, Event{Kind: RecordRemoved, Member: r.member()})
	}
}

func sortedKeys[V any](from map[uint32]V) []uint32 {
	keys := make([]uint32, 0, len(from))
	for k := range from {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
