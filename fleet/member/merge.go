package member

import (
	"cmp"
	"slices"
	"time"
)

// Receive processes a message. The caller has verified that msg.From names the
// sender.
func (m *Machine) Receive(msg Message, now time.Time) Output {
	var out Output
	if !msg.From.valid() || msg.From.Name == m.self.Name {
		return out
	}
	refutation := m.self.Refutation
	sender := m.merge(msg.From, now, &out)
	for _, u := range msg.Updates {
		m.merge(u, now, &out)
	}
	if m.self.Refutation != refutation {
		m.gossipRefutation(msg, now, &out)
	}
	switch msg.Kind {
	case Probe:
		m.sendAck(sender, msg, &out)
	case Ack:
		m.handleAck(msg, now, &out)
	case ProbeRequest:
		m.probeOnBehalf(msg, now, &out)
	}
	return out
}

// gossipRefutation sends this host's refutation to some members of every zone at once,
// and to the sender of the suspicion unless the Ack to its Probe carries it. The
// suspicion started to spread earlier, and the refutation must reach all members
// before the suspicion timeout.
func (m *Machine) gossipRefutation(msg Message, now time.Time, out *Output) {
	recipients := m.sampleZone(refutationFanout)
	for _, z := range m.otherZoneNames {
		recipients = append(recipients, m.partner(z, now))
	}
	if msg.Kind != Probe {
		recipients = append(recipients, msg.From.Name)
	}
	m.sendGossip(recipients, out)
}

// sendGossip sends a Gossip message to each of the named members.
func (m *Machine) sendGossip(names []string, out *Output) {
	for _, name := range names {
		if r, ok := m.records[name]; ok {
			m.send(r.Name, r.Address, Message{Kind: Gossip}, out)
		}
	}
}

// sendAck responds to a Probe. from is the sender's record, or nil if it has none.
func (m *Machine) sendAck(from *record, msg Message, out *Output) {
	address := msg.From.Address
	if from != nil {
		address = from.Address
	}
	m.send(msg.From.Name, address, Message{Kind: Ack, Seq: msg.Seq}, out)
}

// handleAck completes a probe of this host, or forwards the acknowledgement to the member on
// whose behalf the probe was made.
func (m *Machine) handleAck(msg Message, now time.Time, out *Output) {
	if msg.Target.Name != "" {
		m.merge(msg.Target, now, out)
	}
	if r, ok := m.relayedProbes[msg.Seq]; ok {
		delete(m.relayedProbes, msg.Seq)
		m.send(r.requester, r.address, Message{Kind: Ack, Seq: r.requesterSeq, Target: msg.From}, out)
		return
	}
	p, ok := m.pendingProbes[msg.Seq]
	if !ok || (p.target != msg.From.Name && p.target != msg.Target.Name) {
		return
	}
	delete(m.pendingProbes, msg.Seq)
	m.failedProbes = max(m.failedProbes-1, 0)
}

// probeOnBehalf probes a member on behalf of the sender of a ProbeRequest.
func (m *Machine) probeOnBehalf(msg Message, now time.Time, out *Output) {
	target := msg.Target
	if r, ok := m.records[target.Name]; ok {
		target = r.Update
	}
	if target.Address == "" || len(m.relayedProbes) >= maxRelayedProbes {
		return
	}
	m.seq++
	m.relayedProbes[m.seq] = relayedProbe{
		requester: msg.From.Name, address: msg.From.Address, requesterSeq: msg.Seq, deadline: now.Add(m.cfg.CrossZoneProbeTimeout),
	}
	m.send(target.Name, target.Address, Message{Kind: Probe, Seq: m.seq}, out)
}

// merge applies an update if it is newer than the member's record. It returns the
// record, or nil for this host and for members without a record.
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
		m.sendGossip(m.sampleZone(refutationFanout), out)
	}
	return r
}

// refutationFanout is how many members of its zone a host notifies of a refutation:
// of its own, or of one it receives while it suspects the member. Refuted suspicions
// are rare, and the suspicion timeout of 3 s is too short for probes to carry a
// refutation to 360 hosts.
const refutationFanout = 2

// add records a new member. It ignores unknown members that are not alive, and all
// new members once MaxMembers are recorded.
func (m *Machine) add(u Update, now time.Time, out *Output) *record {
	if u.State != Alive || u.Address == "" || len(m.records) >= m.cfg.MaxMembers {
		return nil
	}
	r := &record{Update: u, stateSince: now}
	m.records[u.Name] = r
	m.viewsStale = true
	m.enqueueGossip(r)
	out.Events = append(out.Events, Event{Kind: BecameAlive, Member: r.member()})
	return r
}

// refute raises this host's refutation or incarnation above a wrong update about it
// that is at least as new as its own record.
func (m *Machine) refute(u Update, out *Output) {
	if u.Incarnation > m.self.Incarnation {
		// The previous process had a later start time because its clock was
		// ahead.
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

// markSuspect marks an alive member as suspect.
func (m *Machine) markSuspect(name string, now time.Time, out *Output) {
	r, ok := m.records[name]
	if !ok || r.State != Alive {
		return
	}
	u := r.Update
	u.State = Suspect
	m.applyLocal(r, u, now, out)
	// Notify the suspect directly, so that it can refute at once.
	m.send(r.Name, r.Address, Message{Kind: Gossip}, out)
}

// applyLocal applies an update that this host made itself. If its own probes keep
// failing, the update is not gossiped, because this host is probably partitioned
// itself.
func (m *Machine) applyLocal(r *record, u Update, now time.Time, out *Output) {
	m.apply(r, u, now, out)
	if m.failedProbes < maxFailedProbes || !r.queued {
		return
	}
	r.queued = false
	m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(h *record) bool { return h == r })
}

// apply replaces the update in the record, queues it for gossip and emits an event if
// the state or the incarnation has changed.
func (m *Machine) apply(r *record, u Update, now time.Time, out *Output) {
	old := r.Update
	u.Zone = cmp.Or(u.Zone, r.Zone)
	u.Address = cmp.Or(u.Address, r.Address)
	r.Update = u
	m.enqueueGossip(r)
	m.updateSuspectCount(old.State, u.State)
	if u.Zone != old.Zone || u.State.DeadOrLeft() != old.State.DeadOrLeft() {
		m.viewsStale = true
	}
	restarted := u.Incarnation != old.Incarnation && old.Incarnation != 0
	if u.State == old.State && !restarted {
		return
	}
	r.stateSince = now
	if u.State == Suspect {
		r.suspectUntil = now.Add(m.cfg.SuspicionTimeout * time.Duration(2+m.excessFailures()) / 2)
	}
	out.Events = append(out.Events, Event{Kind: EventKind(u.State), Member: r.member()})
}

// excessFailures returns the number of recently failed probes beyond the one that a
// single dead member explains.
func (m *Machine) excessFailures() int { return max(0, m.failedProbes-1) }

func (m *Machine) updateSuspectCount(old, next State) {
	if old == Suspect {
		m.suspects--
	}
	if next == Suspect {
		m.suspects++
	}
}
