// Package member is SWIM-style membership as a pure state machine. The caller
// passes in ticks, messages and the platform's host list, all with the current
// time, and carries out the returned messages and events. The package does no
// I/O and reads no clock.
//
// Membership is advisory: no permission follows from it.
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
	// Incarnation must exceed that of the previous process of the same name;
	// the start time in milliseconds will do.
	Incarnation uint64
	// Seed makes the choice of relays and the phase of the probes repeatable.
	Seed uint64

	ZoneProbeInterval      time.Duration // probes in the own zone; 1 s
	CrossZoneProbeInterval time.Duration // probes to other zones; 5 s
	DeadProbeInterval      time.Duration // probes to dead members by four hosts of a zone together; 10 s
	DirectProbeTimeout     time.Duration // wait for an answer before relays are asked; 400 ms
	ZoneProbeTimeout       time.Duration // wait for any answer in the own zone; 1 s
	CrossZoneProbeTimeout  time.Duration // wait for any answer from another zone; 2 s
	SuspicionTimeout       time.Duration // time in which a suspect can refute; 3 s
	DeadRetention          time.Duration // time after which a dead member's record goes; 10 min
	PartnerRotation        time.Duration // time for which a host keeps its partner in each other zone; 30 min
	RelayCount             int           // members asked to probe indirectly; 2
	MaxPiggybackBytes      int           // encoded bytes of updates in a message; 280
	MaxMembers             int           // records kept; further members are ignored; 4096
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

// record is the local state about one member other than this host.
type record struct {
	Update
	since   time.Time // of the current state
	until   time.Time // end of the suspicion
	sent    int       // transmissions of the current update
	hot     bool      // in Machine.hot
	listed  bool
	leaving bool
}

func (r *record) member() Member {
	return Member{Name: r.Name, Zone: r.Zone, Address: r.Address, State: r.State,
		Incarnation: r.Incarnation, Leaving: r.leaving}
}

// pending is a probe that has not been answered.
type pending struct {
	name   string
	relay  time.Time // when relays are asked
	end    time.Time // when the probe has failed
	asked  bool
	silent bool // failure has no consequence: the target was dead already
}

// relayed is a probe made for another member.
type relayed struct {
	name, address string
	seq           uint32
	end           time.Time
}

// Machine is the membership state of one host. It is not safe for concurrent
// use. Use New.
type Machine struct {
	cfg  Config
	rnd  *rand.Rand
	self Update

	records  map[string]*record
	hot      []*record // records whose update has transmissions left
	suspects int
	pending  map[uint32]*pending
	relayed  map[uint32]relayed
	seq      uint32
	lastTick time.Time
	nextNear time.Time
	nextFar  time.Time
	nextLost time.Time
	farTurn  int
	lostTurn int
	syncTurn int
	// doubt counts recent failed probes, up to maxDoubt. A host that gets no
	// answers from anyone is probably cut off itself, so it takes longer to
	// declare others dead.
	doubt int

	// view caches, rebuilt when a member comes or goes.
	dirty bool
	near  []string            // live members of the own zone, sorted, with this host
	zones []string            // other zones with live members, sorted
	far   map[string][]string // live members by other zone, sorted
	lost  []string            // dead members, sorted
	all   []string            // all records, sorted
}

// The limits of self doubt and of outstanding relayed probes.
const (
	maxDoubt   = 4
	maxRelayed = 256
)

// New returns a machine that knows only its own host.
func New(c Config, now time.Time) *Machine {
	c = c.withDefaults()
	m := &Machine{
		cfg:     c,
		rnd:     rand.New(rand.NewPCG(c.Seed, c.Incarnation)),
		self:    Update{Name: c.Name, Zone: c.Zone, Address: c.Address, Incarnation: c.Incarnation},
		records: make(map[string]*record),
		pending: make(map[uint32]*pending),
		relayed: make(map[uint32]relayed),
		dirty:   true,
	}
	m.seq = m.rnd.Uint32()
	m.lastTick = now
	m.nextNear = now.Add(m.phase(c.ZoneProbeInterval))
	m.nextFar = now.Add(m.phase(c.CrossZoneProbeInterval))
	m.nextLost = now.Add(m.phase(c.DeadProbeInterval))
	return m
}

func (m *Machine) phase(d time.Duration) time.Duration {
	return time.Duration(m.rnd.Int64N(int64(d)))
}

// Self returns this host's own record.
func (m *Machine) Self() Member {
	return Member{Name: m.self.Name, Zone: m.self.Zone, Address: m.self.Address,
		State: m.self.State, Incarnation: m.self.Incarnation}
}

// Lookup returns the member of that name, which may be this host.
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

// Members returns this host and all others, the dead included, sorted by name.
func (m *Machine) Members() []Member {
	all := make([]Member, 0, len(m.records)+1)
	all = append(all, m.Self())
	for _, r := range m.records {
		all = append(all, r.member())
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Zone returns the names of the live members of the own zone, this host
// included, sorted. The slice is only valid until the next input.
func (m *Machine) ZoneMembers() []string {
	m.rebuild()
	return m.near
}

// Zones returns the live members of every other zone, sorted. The map is only
// valid until the next input.
func (m *Machine) OtherZones() map[string][]string {
	m.rebuild()
	return m.far
}

func (m *Machine) rebuild() {
	if !m.dirty {
		return
	}
	m.dirty = false
	m.near = append(m.near[:0], m.self.Name)
	m.far = make(map[string][]string)
	m.lost, m.all, m.zones = m.lost[:0], m.all[:0], m.zones[:0]
	for name, r := range m.records {
		m.all = append(m.all, name)
		switch {
		case r.State.DeadOrLeft():
			m.lost = append(m.lost, name)
		case r.Zone == m.self.Zone:
			m.near = append(m.near, name)
		default:
			m.far[r.Zone] = append(m.far[r.Zone], name)
		}
	}
	for z, names := range m.far {
		slices.Sort(names)
		m.zones = append(m.zones, z)
	}
	slices.Sort(m.near)
	slices.Sort(m.zones)
	slices.Sort(m.lost)
	slices.Sort(m.all)
}

// transmissions is how often an update is piggybacked: the binary logarithm of
// the fleet plus 3, at least 6. An epidemic spread with that many transmissions
// misses a member with a probability of about e^-12 at 360 hosts; the records
// sent in turn repair the rest.
func (m *Machine) transmissions() int {
	return max(6, bits.Len(uint(len(m.records)))+3)
}
