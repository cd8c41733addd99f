// Package member implements SWIM-style membership as a pure state machine. The caller
// passes in ticks, messages and the platform's host list, each with the current time,
// sends the returned messages and handles the returned events. The package does no I/O
// and reads no clock.
//
// Membership is advisory: a host must not derive any permission from it.
package member

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// Config holds the settings of a Machine. Zero durations and counts select the
// defaults.
type Config struct {
	// Name, Zone and Address describe this host.
	Name, Zone, Address string
	// Incarnation must exceed that of the previous process with the same name.
	// The start time in Unix milliseconds is suitable.
	Incarnation uint64
	// Seed makes the choice of relays and the phase of the probes reproducible.
	Seed uint64

	ZoneProbeInterval      time.Duration // between probes in this host's zone; default 1 s
	CrossZoneProbeInterval time.Duration // between probes to other zones; default 5 s
	DeadProbeInterval      time.Duration // to dead members, see deadProbeInterval; default 10 s
	DirectProbeTimeout     time.Duration // until indirect probes are requested; default 400 ms
	ZoneProbeTimeout       time.Duration // until a probe in this host's zone fails; default 1 s
	CrossZoneProbeTimeout  time.Duration // until a probe to another zone fails; default 2 s
	SuspicionTimeout       time.Duration // in which a suspect can refute; default 3 s
	DeadRetention          time.Duration // until a dead member's record is removed; default 10 min
	PartnerRotation        time.Duration // between changes of the partner in a zone; default 30 min
	RelayCount             int           // members that probe indirectly; default 2
	MaxPiggybackBytes      int           // of encoded updates in a message; default 280
	MaxMembers             int           // records kept; further members are ignored; default 4096
}

func (c Config) withDefaults() Config {
	c.ZoneProbeInterval = cmp.Or(c.ZoneProbeInterval, time.Second)
	c.CrossZoneProbeInterval = cmp.Or(c.CrossZoneProbeInterval, 5*time.Second)
	c.DeadProbeInterval = cmp.Or(c.DeadProbeInterval, 10*time.Second)
	c.DirectProbeTimeout = cmp.Or(c.DirectProbeTimeout, 400*time.Millisecond)
	c.ZoneProbeTimeout = cmp.Or(c.ZoneProbeTimeout, time.Second)
	c.CrossZoneProbeTimeout = cmp.Or(c.CrossZoneProbeTimeout, 2*time.Second)
	c.SuspicionTimeout = cmp.Or(c.SuspicionTimeout, 3*time.Second)
	c.DeadRetention = cmp.Or(c.DeadRetention, 10*time.Minute)
	c.PartnerRotation = cmp.Or(c.PartnerRotation, 30*time.Minute)
	c.RelayCount = cmp.Or(c.RelayCount, 2)
	c.MaxPiggybackBytes = cmp.Or(c.MaxPiggybackBytes, 280)
	c.MaxMembers = cmp.Or(c.MaxMembers, 4096)
	return c
}

// record is this host's state about another member.
type record struct {
	Update
	stateSince       time.Time // start of the current state
	suspectUntil     time.Time // end of the suspicion
	transmissions    int       // of the current update, so far
	queued           bool      // in Machine.gossipQueue
	listedByPlatform bool
	leaving          bool
}

func (r *record) member() Member {
	return Member{Name: r.Name, Zone: r.Zone, Address: r.Address, State: r.State,
		Incarnation: r.Incarnation, Leaving: r.leaving}
}

// pendingProbe is a probe that has not been acknowledged.
type pendingProbe struct {
	target          string
	relayAt         time.Time // when indirect probes are requested
	deadline        time.Time // when the probe has failed
	relaysRequested bool
	ignoreFailure   bool // because the target was dead already
}

// relayedProbe is a probe made on behalf of another member, the requester.
type relayedProbe struct {
	requester, address string
	requesterSeq       uint32
	deadline           time.Time
}

// Machine is the membership state of one host. It is not safe for concurrent use.
// Create it with New.
type Machine struct {
	cfg  Config
	rnd  *rand.Rand
	self Update

	records            map[string]*record
	gossipQueue        []*record // records whose update has transmissions left
	suspects           int
	pendingProbes      map[uint32]*pendingProbe
	relayedProbes      map[uint32]relayedProbe
	seq                uint32
	lastTick           time.Time
	nextZoneProbe      time.Time
	nextCrossZoneProbe time.Time
	nextDeadProbe      time.Time
	// The round-robin positions in otherZoneNames, deadMembers and recordNames, modulo
	// their lengths.
	crossZoneIndex int
	deadIndex      int
	syncIndex      int
	// failedProbes counts failed probes up to maxFailedProbes; each acknowledged
	// probe decrements it. A host whose probes all fail is probably partitioned
	// itself, so it waits longer before it declares others dead.
	failedProbes int

	// The views below are cached and rebuilt after viewsStale is set. Live members
	// are those alive or suspect.
	viewsStale     bool
	zoneMembers    []string            // live members of this host's zone with this host, sorted
	otherZoneNames []string            // other zones with live members, sorted
	otherZones     map[string][]string // live members by other zone, sorted
	deadMembers    []string            // members that are dead or have left, sorted
	recordNames    []string            // names of all records, sorted
}

// The limits of Machine.failedProbes and Machine.relayedProbes.
const (
	maxFailedProbes  = 4
	maxRelayedProbes = 256
)

// New returns a Machine without records of other hosts.
func New(c Config, now time.Time) *Machine {
	c = c.withDefaults()
	m := &Machine{
		cfg:           c,
		rnd:           rand.New(rand.NewPCG(c.Seed, c.Incarnation)),
		self:          Update{Name: c.Name, Zone: c.Zone, Address: c.Address, Incarnation: c.Incarnation},
		records:       make(map[string]*record),
		pendingProbes: make(map[uint32]*pendingProbe),
		relayedProbes: make(map[uint32]relayedProbe),
		viewsStale:    true,
	}
	m.seq = m.rnd.Uint32()
	m.lastTick = now
	m.nextZoneProbe = now.Add(m.randomPhase(c.ZoneProbeInterval))
	m.nextCrossZoneProbe = now.Add(m.randomPhase(c.CrossZoneProbeInterval))
	m.nextDeadProbe = now.Add(m.randomPhase(c.DeadProbeInterval))
	return m
}

// randomPhase returns a random part of the interval d.
func (m *Machine) randomPhase(d time.Duration) time.Duration {
	return time.Duration(m.rnd.Int64N(int64(d)))
}

// Self returns this host's own record.
func (m *Machine) Self() Member {
	return Member{Name: m.self.Name, Zone: m.self.Zone, Address: m.self.Address,
		State: m.self.State, Incarnation: m.self.Incarnation}
}

// Lookup returns the named member, which may be this host.
func (m *Machine) Lookup(name string) (Member, bool) {
	if name == m.self.Name {
		return m.Self(), true
	}
	r, ok := m.records[name]
	if !ok {
		return Member{}, false
	}
	return r.member(), true
}

// Members returns all members sorted by name, including this host and dead members.
func (m *Machine) Members() []Member {
	all := make([]Member, 0, len(m.records)+1)
	all = append(all, m.Self())
	for _, r := range m.records {
		all = append(all, r.member())
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// ZoneMembers returns the sorted names of the live members of this host's zone,
// including this host. The slice is only valid until the next call of a method.
func (m *Machine) ZoneMembers() []string {
	m.rebuildViews()
	return m.zoneMembers
}

// OtherZones returns the sorted names of the live members of each other zone, by zone.
// The map is only valid until the next call of a method.
func (m *Machine) OtherZones() map[string][]string {
	m.rebuildViews()
	return m.otherZones
}

func (m *Machine) rebuildViews() {
	if !m.viewsStale {
		return
	}
	m.viewsStale = false
	m.zoneMembers = append(m.zoneMembers[:0], m.self.Name)
	m.otherZones = make(map[string][]string)
	m.deadMembers, m.recordNames, m.otherZoneNames = m.deadMembers[:0], m.recordNames[:0], m.otherZoneNames[:0]
	for name, r := range m.records {
		m.recordNames = append(m.recordNames, name)
		switch {
		case r.State.DeadOrLeft():
			m.deadMembers = append(m.deadMembers, name)
		case r.Zone == m.self.Zone:
			m.zoneMembers = append(m.zoneMembers, name)
		default:
			m.otherZones[r.Zone] = append(m.otherZones[r.Zone], name)
		}
	}
	for z, names := range m.otherZones {
		slices.Sort(names)
		m.otherZoneNames = append(m.otherZoneNames, z)
	}
	slices.Sort(m.zoneMembers)
	slices.Sort(m.otherZoneNames)
	slices.Sort(m.deadMembers)
	slices.Sort(m.recordNames)
}

// maxTransmissions returns how often an update is piggybacked: the bit length of the
// number of members plus 3, at least 6. At 360 hosts, gossip with that many
// transmissions misses a member with a probability of about e^-12. The records sent
// in round-robin order repair the rest.
func (m *Machine) maxTransmissions() int {
	return max(6, bits.Len(uint(len(m.records)))+3)
}
