package member

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tick advances the machine to now. Call it about every 100 ms; a gap of more
// than a second is taken as a pause of this process.
func (m *Machine) Tick(now time.Time) Output {
	var out Output
	m.resume(now)
	m.lastTick = now
	m.expireProbes(now, &out)
	m.expireSuspects(now, &out)
	m.forget(now, &out)
	if !now.Before(m.nextNear) {
		m.nextNear = after(m.nextNear, m.cfg.ZoneProbeInterval, now)
		m.probeNear(now, &out)
	}
	if !now.Before(m.nextFar) {
		m.nextFar = after(m.nextFar, m.cfg.CrossZoneProbeInterval, now)
		m.probeFar(now, &out)
	}
	if !now.Before(m.nextLost) {
		m.nextLost = after(m.nextLost, m.lostEvery(), now)
		m.probeLost(now, &out)
	}
	return out
}

// after returns the first time after now that keeps the phase of t.
func after(t time.Time, every time.Duration, now time.Time) time.Time {
	missed := now.Sub(t) / every
	return t.Add((missed + 1) * every)
}

// resume discards what this process could not observe while it was paused:
// unanswered probes say nothing, and suspects get their full time again.
func (m *Machine) resume(now time.Time) {
	gap := now.Sub(m.lastTick)
	if gap <= time.Second {
		return
	}
	clear(m.pending)
	clear(m.relayed)
	for _, r := range m.records {
		if r.State == Suspect {
			r.until = r.until.Add(gap)
		}
	}
}

// probeNear probes one member of the own zone. All hosts of a zone go through
// the same sorted ring with the same offset, given by the wall clock, so that
// every member is probed about once per period instead of at random times.
func (m *Machine) probeNear(now time.Time, out *Output) {
	m.rebuild()
	n := len(m.near)
	if n < 2 {
		return
	}
	round := now.UnixNano() / int64(m.cfg.ZoneProbeInterval)
	offset := 1 + int(round%int64(n-1))
	me, _ := slices.BinarySearch(m.near, m.self.Name)
	m.probe(m.near[(me+offset)%n], now, m.cfg.ZoneProbeTimeout, out)
}

// probeFar probes one member of the next other zone. The partner in a zone is
// kept for a while: a new connection costs several kilobytes of handshake.
func (m *Machine) probeFar(now time.Time, out *Output) {
	m.rebuild()
	if len(m.zones) == 0 {
		return
	}
	m.farTurn++
	zone := m.zones[m.farTurn%len(m.zones)]
	m.probe(m.partner(zone, now), now, m.cfg.CrossZoneProbeTimeout, out)
}

// partner returns this host's partner in the zone by rendezvous hashing. With
// the positions in sorted lists, one host that came or went gave most hosts of
// its zone and every partner of them a new connection.
func (m *Machine) partner(zone string, now time.Time) string {
	epoch := strconv.FormatInt(now.Unix()/int64(m.cfg.PartnerRotation/time.Second), 10)
	best, highest := "", uint64(0)
	for _, name := range m.far[zone] {
		if h := xxhash.Sum64String(m.self.Name + " " + name + " " + epoch); best == "" || h > highest {
			best, highest = name, h
		}
	}
	return best
}

// lostEvery grows with the zone. Each dial of a dead host costs 5 KB of padded
// packets, and when it returns everyone who dials it costs a handshake.
func (m *Machine) lostEvery() time.Duration {
	m.rebuild()
	return m.cfg.DeadProbeInterval * time.Duration(max(4, len(m.near))) / 4
}

// probeLost probes a dead member, which heals partitions: the answer of a
// member that is declared dead carries its refutation.
func (m *Machine) probeLost(now time.Time, out *Output) {
	m.rebuild()
	if len(m.lost) == 0 {
		return
	}
	me, _ := slices.BinarySearch(m.near, m.self.Name)
	m.lostTurn++
	name := m.lost[(me+m.lostTurn)%len(m.lost)]
	if m.records[name].State == Left {
		return
	}
	m.probe(name, now, m.cfg.CrossZoneProbeTimeout, out)
}

func (m *Machine) probe(name string, now time.Time, timeout time.Duration, out *Output) {
	r := m.records[name]
	m.seq++
	m.pending[m.seq] = &pending{
		name:   name,
		relay:  now.Add(m.cfg.DirectProbeTimeout),
		end:    now.Add(timeout),
		silent: r.State.DeadOrLeft(),
	}
	m.send(r.Name, r.Address, Message{Kind: Probe, Seq: m.seq}, out)
}

// send completes the message with the own record and piggybacked updates.
func (m *Machine) send(name, address string, msg Message, out *Output) {
	msg.From = m.self
	msg.Updates = m.piggyback(name)
	out.Messages = append(out.Messages, OutgoingMessage{Name: name, Address: address, Message: msg})
}

// expireProbes asks relays for late answers and suspects the members whose
// probes have failed.
func (m *Machine) expireProbes(now time.Time, out *Output) {
	if len(m.pending) == 0 && len(m.relayed) == 0 {
		return
	}
	for _, seq := range sortedKeys(m.pending) {
		p := m.pending[seq]
		if !p.asked && !p.silent && !now.Before(p.relay) {
			p.asked = true
			m.askRelays(seq, p.name, out)
		}
		if now.Before(p.end) {
			continue
		}
		delete(m.pending, seq)
		if p.silent {
			continue
		}
		m.doubt = min(m.doubt+1, maxDoubt)
		m.suspect(p.name, now, out)
	}
	for seq, r := range m.relayed {
		if !now.Before(r.end) {
			delete(m.relayed, seq)
		}
	}
}

func (m *Machine) askRelays(seq uint32, name string, out *Output) {
	target, ok := m.records[name]
	if !ok {
		return
	}
	for _, relay := range m.relays(target) {
		r := m.records[relay]
		msg := Message{Kind: ProbeRequest, Seq: seq, Target: target.Update}
		m.send(r.Name, r.Address, msg, out)
	}
}

// Relays returns some live members that may reach the named one when this
// host does not.
func (m *Machine) Relays(name string) []string {
	if r, ok := m.records[name]; ok {
		return m.relays(r)
	}
	return nil
}

// relays chooses members to probe the target indirectly. A target in another
// zone is probed through third zones first, because the cut may be between the
// two zones, then through the target's own zone.
func (m *Machine) relays(target *record) []string {
	m.rebuild()
	var pools [][]string
	if target.Zone != m.self.Zone {
		for _, z := range m.zones {
			if z != target.Zone {
				pools = append(pools, m.far[z])
			}
		}
		m.rnd.Shuffle(len(pools), func(i, j int) { pools[i], pools[j] = pools[j], pools[i] })
		pools = append(pools, m.far[target.Zone])
	}
	pools = append(pools, m.near)
	var found []string
	for pass := 0; pass < 2 && len(found) < m.cfg.RelayCount; pass++ {
		for _, pool := range pools {
			if len(found) == m.cfg.RelayCount {
				break
			}
			if name, ok := m.relayFrom(pool, target.Name, found); ok {
				found = append(found, name)
			}
		}
	}
	return found
}

// relayFrom picks a random live member of the pool that is not excluded.
func (m *Machine) relayFrom(pool []string, target string, used []string) (string, bool) {
	if len(pool) == 0 {
		return "", false
	}
	start := m.rnd.IntN(len(pool))
	for i := range pool {
		name := pool[(start+i)%len(pool)]
		if name == target || name == m.self.Name || slices.Contains(used, name) {
			continue
		}
		if m.records[name].State == Alive {
			return name, true
		}
	}
	return "", false
}

// expireSuspects declares dead who did not refute, and reminds the others.
func (m *Machine) expireSuspects(now time.Time, out *Output) {
	if m.suspects == 0 {
		return
	}
	m.rebuild()
	for _, name := range m.all {
		r := m.records[name]
		if r.State == Suspect && !now.Before(r.until) {
			u := r.Update
			u.State = Dead
			m.accuse(r, u, now, out)
		}
	}
}

// forget removes the records of dead members. A member that the platform still
// lists is kept, or each reading of the lagging list would bring it back.
func (m *Machine) forget(now time.Time, out *Output) {
	for _, name := range m.lost {
		r, ok := m.records[name]
		if !ok || !r.State.DeadOrLeft() || r.listed || now.Sub(r.since) < m.cfg.DeadRetention {
			continue
		}
		delete(m.records, name)
		m.hot = slices.DeleteFunc(m.hot, func(h *record) bool { return h == r })
		m.dirty = true
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
