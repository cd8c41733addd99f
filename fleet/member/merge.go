package member

import (
	"cmp"
	"slices"
	"time"
)

// Receive handles a message from a peer whose identity the transport has
// verified.
func (m *Machine) Receive(msg Message, now time.Time) Output {
	var out Output
	if !msg.From.valid() || msg.From.Name == m.self.Name {
		return out
	}
	denials := m.self.Refutation
	known := m.merge(msg.From, now, &out)
	for _, u := range msg.Updates {
		m.merge(u, now, &out)
	}
	if m.self.Refutation != denials {
		m.spreadRefutation(msg, now, &out)
	}
	switch msg.Kind {
	case Probe:
		m.ack(known, msg, &out)
	case Ack:
		m.acked(msg, now, &out)
	case ProbeRequest:
		m.probeFor(msg, now, &out)
	}
	return out
}

// spreadRefutation answers the accuser, unless an Ack does, and tells some
// members in every zone at once. The suspicion has a head start and the
// refutation has to reach everyone before it ends.
func (m *Machine) spreadRefutation(msg Message, now time.Time, out *Output) {
	told := m.sample(refutationFanout)
	for _, z := range m.zones {
		told = append(told, m.partner(z, now))
	}
	if msg.Kind != Probe {
		told = append(told, msg.From.Name)
	}
	m.notify(told, out)
}

// notify sends a notice to each of the members named.
func (m *Machine) notify(names []string, out *Output) {
	for _, name := range names {
		if r, ok := m.records[name]; ok {
			m.send(r.Name, r.Address, Message{Kind: Gossip}, out)
		}
	}
}

func (m *Machine) ack(from *record, msg Message, out *Output) {
	address := msg.From.Address
	if from != nil {
		address = from.Address
	}
	m.send(msg.From.Name, address, Message{Kind: Ack, Seq: msg.Seq}, out)
}

// acked settles the own probe or passes the answer on to whom it was made for.
func (m *Machine) acked(msg Message, now time.Time, out *Output) {
	if msg.Target.Name != "" {
		m.merge(msg.Target, now, out)
	}
	if r, ok := m.relayed[msg.Seq]; ok {
		delete(m.relayed, msg.Seq)
		m.send(r.name, r.address, Message{Kind: Ack, Seq: r.seq, Target: msg.From}, out)
		return
	}
	p, ok := m.pending[msg.Seq]
	if !ok || (p.name != msg.From.Name && p.name != msg.Target.Name) {
		return
	}
	delete(m.pending, msg.Seq)
	m.doubt = max(m.doubt-1, 0)
}

// probeFor probes a member for another one.
func (m *Machine) probeFor(msg Message, now time.Time, out *Output) {
	target := msg.Target
	if r, ok := m.records[target.Name]; ok {
		target = r.Update
	}
	if target.Address == "" || len(m.relayed) >= maxRelayed {
		return
	}
	m.seq++
	m.relayed[m.seq] = relayed{
		name: msg.From.Name, address: msg.From.Address, seq: msg.Seq, end: now.Add(m.cfg.CrossZoneProbeTimeout),
	}
	m.send(target.Name, target.Address, Message{Kind: Probe, Seq: m.seq}, out)
}

// merge takes over an update if it is newer than what is known. It returns the
// record of the member, or nil for this host and for members not kept.
func (m *Machine) merge(u Update, now time.Time, out *Output) *record {
	if !u.valid() {
		return nil
	}
	if u.Name == m.self.Name {
		m.refute(u, out)
		return nil
	}
	r, ok := m.records[u.Name]
	if !ok {
		return m.add(u, now, out)
	}
	if !u.Supersedes(r.Update) {
		return r
	}
	refuted := r.State == Suspect && u.State == Alive && u.Incarnation == r.Incarnation
	m.apply(r, u, now, out)
	if refuted {
		m.notify(m.sample(refutationFanout), out)
	}
	return r
}

// refutationFanout is how many members a host tells of a refutation that it
// learns while it suspects the member. Refuted suspicions are rare, and a
// suspicion of 3 s leaves no time for the probes to carry them to 360 hosts.
const refutationFanout = 2

// add records a new member. Statements that an unknown member is gone, and
// members above the limit, are ignored.
func (m *Machine) add(u Update, now time.Time, out *Output) *record {
	if u.State != Alive || u.Address == "" || len(m.records) >= m.cfg.MaxMembers {
		return nil
	}
	r := &record{Update: u, since: now}
	m.records[u.Name] = r
	m.dirty = true
	m.heat(r)
	out.Events = append(out.Events, Event{Kind: BecameAlive, Member: r.member()})
	return r
}

// refute denies a statement about this host that is at least as new as its own
// record and wrong.
func (m *Machine) refute(u Update, out *Output) {
	if u.Incarnation > m.self.Incarnation {
		// The predecessor's clock was ahead of this process's start time.
		m.self.Incarnation = u.Incarnation + 1
		m.self.Refutation = 0
		return
	}
	if u.Incarnation < m.self.Incarnation || u.State == Alive || m.self.State == Left {
		return
	}
	if u.Refutation >= m.self.Refutation {
		m.self.Refutation = u.Refutation + 1
	}
}

func (m *Machine) suspect(name string, now time.Time, out *Output) {
	r, ok := m.records[name]
	if !ok || r.State != Alive {
		return
	}
	u := r.Update
	u.State = Suspect
	m.accuse(r, u, now, out)
	// The suspect is told directly, so that it can refute at once.
	m.send(r.Name, r.Address, Message{Kind: Gossip}, out)
}

// accuse applies a statement of this host itself. A host that has no answer
// from anyone keeps it to itself: it is more likely cut off than right.
func (m *Machine) accuse(r *record, u Update, now time.Time, out *Output) {
	m.apply(r, u, now, out)
	if m.doubt < maxDoubt || !r.hot {
		return
	}
	r.hot = false
	m.hot = slices.DeleteFunc(m.hot, func(h *record) bool { return h == r })
}

// apply replaces the record's statement and emits the event.
func (m *Machine) apply(r *record, u Update, now time.Time, out *Output) {
	old := r.Update
	u.Zone = cmp.Or(u.Zone, r.Zone)
	u.Address = cmp.Or(u.Address, r.Address)
	r.Update = u
	m.heat(r)
	m.countSuspects(old.State, u.State)
	if u.Zone != old.Zone || u.State.DeadOrLeft() != old.State.DeadOrLeft() {
		m.dirty = true
	}
	restarted := u.Incarnation != old.Incarnation && old.Incarnation != 0
	if u.State == old.State && !restarted {
		return
	}
	r.since = now
	if u.State == Suspect {
		r.until = now.Add(m.cfg.SuspicionTimeout * time.Duration(2+m.doubtful()) / 2)
	}
	out.Events = append(out.Events, Event{Kind: EventKind(u.State), Member: r.member()})
}

// doubtful is the number of recent failures above the one that a single dead
// member explains.
func (m *Machine) doubtful() int { return max(0, m.doubt-1) }

func (m *Machine) countSuspects(old, now State) {
	if old == Suspect {
		m.suspects--
	}
	if now == Suspect {
		m.suspects++
	}
}
