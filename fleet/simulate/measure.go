package simulate

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/internal/core"
	"sardinefront.dev/fleet/member"
)

// The rates of events at the target scale of 360 hosts, the largest fleet that the system
// is designed for. Smaller fleets are measured with a proportional share of the restarts and failures,
// and with all of the configuration changes.
const (
	changesPerDay  = 6600
	restartsPerDay = 880
	failuresPerDay = 41
	targetHosts    = 360
	day            = 24 * time.Hour
)

// The rates of other control messages. A floor of 60 bytes is sent to every host of a
// zone. A host that has received an equal or higher floor of the pool sends none, so
// even in overload a zone sends only a few per second. A halt of 60 bytes is sent to
// every host.
const (
	floorInterval  = time.Second // in each zone
	haltInterval   = 10 * time.Minute
	broadcastBytes = 60 + 30 // body, framing and the name of the sending host
)

// Report holds the figures that Measure found for one fleet. Bytes include the assumed
// overhead of QUIC, UDP and IP headers, acknowledgements and handshakes.
type Report struct {
	Hosts                 int
	BytesOutPerSecond     float64 // mean bytes sent per host
	BytesInPerSecond      float64
	BusiestBytesPerSecond float64 // sent and received by the busiest host
	MeanMessageBytes      float64 // mean encoded bytes of a one-way message
	LongestMessageBytes   int
	MessagesPerSecond     float64 // one-way messages sent per host and second
	HandshakesPerHour     float64 // per host
	StoreReadsPerSecond   float64 // by the whole fleet
	HeapBytesPerHost      int     // including the simulation's own
	AllocationsPerSecond  float64 // per host, including the simulation's own
	Changes               int
	SlowestChange         time.Duration // until all running hosts hold the file
	FalsePositives        int           // running hosts declared dead
}

// String returns one line for a table.
func (r Report) String() string {
	return fmt.Sprintf("%3d hosts: out %4.0f B/s, in %4.0f B/s, both %4.0f B/s, busiest host %4.0f B/s, message %3.0f B (longest %d), %4.2f messages/s, %4.1f handshakes/h, store %4.1f reads/s, memory %3d KB, %4.0f allocations/s, %d changes, slowest %v, %d false positives",
		r.Hosts, r.BytesOutPerSecond, r.BytesInPerSecond, r.BytesOutPerSecond+r.BytesInPerSecond, r.BusiestBytesPerSecond, r.MeanMessageBytes, r.LongestMessageBytes,
		r.MessagesPerSecond, r.HandshakesPerHour, r.StoreReadsPerSecond, r.HeapBytesPerHost>>10, r.AllocationsPerSecond, r.Changes, r.SlowestChange, r.FalsePositives)
}

// RulesText returns a rules file with the given number of lines. Files of two versions
// differ in one or two lines.
func RulesText(lines, version int) []byte {
	var b bytes.Buffer
	for i := range lines {
		weight := 1
		if i == version%lines {
			weight = 2 + version
		}
		fmt.Fprintf(&b, "organisation customer-%05d has weight %d   # sales, request %d\n", i, weight, 1000+i)
	}
	return b.Bytes()
}

// Layouts returns the fleets that are measured: 9 and 40 hosts, three zones of the size
// that zones have at the target scale, and the target scale of 360 hosts.
func Layouts() []Layout {
	return []Layout{
		{Zones: 3, HostsPerZone: 3, DigestBytes: core.MaxDigest},
		{Zones: 4, HostsPerZone: 10, DigestBytes: core.MaxDigest},
		{Zones: 3, HostsPerZone: 40, DigestBytes: core.MaxDigest},
		{Zones: 9, HostsPerZone: 40, DigestBytes: core.MaxDigest},
	}
}

// Measure runs a fleet with restarts, failures, 0.1% message loss, floors, halts and the
// target scale's rate of configuration changes. It returns the figures for the virtual time
// span that follows a warm-up of length warm.
func Measure(seed uint64, l Layout, warm, span time.Duration) Report {
	before := heapBytes()
	l.LossRate = 0.001
	w := New(seed, l)
	m := &measurement{w: w}
	w.OnEvent = m.handleEvent
	w.StartConverged()
	m.pushChange()
	w.Run(warm)
	share := float64(len(w.Hosts)) / targetHosts
	m.repeat(day/changesPerDay, m.pushChange)
	m.repeat(time.Duration(float64(day)/restartsPerDay/share), m.restartHost)
	m.repeat(time.Duration(float64(day)/failuresPerDay/share), m.failHost)
	for z := range l.Zones {
		m.repeat(floorInterval, func() { m.chargeFloor(z) })
	}
	m.repeat(haltInterval, m.chargeHalt)
	memory := int(heapBytes()-before) / len(w.Hosts)
	w.ResetTraffic()
	m.falsePositives, m.changes, m.slowest = 0, 0, 0
	reads, mallocs := w.Store.Reads, mallocs()
	w.Run(span)
	r := m.report(span)
	r.HeapBytesPerHost = memory
	r.AllocationsPerSecond = float64(mallocsSince(mallocs)) / span.Seconds() / float64(len(w.Hosts))
	r.StoreReadsPerSecond = float64(w.Store.Reads-reads) / span.Seconds()
	return r
}

// MeasureLayouts measures every layout, for an hour of virtual time with nine hosts and
// for less with more hosts, down to 10 minutes with 360. It takes about a minute of real
// time.
func MeasureLayouts(seed uint64) []Report {
	var all []Report
	for _, l := range Layouts() {
		span := max(10*time.Minute, time.Hour/time.Duration(l.HostsPerZone*l.Zones/9))
		all = append(all, Measure(seed, l, time.Minute, span))
	}
	return all
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

func mallocs() uint64 {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.Mallocs
}

func mallocsSince(before uint64) uint64 { return mallocs() - before }

// measurement is the state of one run of Measure.
type measurement struct {
	w              *World
	version        int
	changes        int
	slowest        time.Duration
	falsePositives int
}

// handleEvent counts running hosts that are declared dead.
func (m *measurement) handleEvent(_ *Host, e Event) {
	if h := m.w.byName[e.Member.Name]; e.Kind == member.BecameDead && h.up && h.Incarnation() == e.Member.Incarnation {
		m.falsePositives++
	}
}

// repeat runs f at random times with the given mean interval.
func (m *measurement) repeat(mean time.Duration, f func()) {
	var step func()
	next := func() { m.w.Schedule(time.Duration(m.w.rnd.ExpFloat64()*float64(mean)), step) }
	step = func() { f(); next() }
	next()
}

// pushChange pushes the next version of the rules file.
func (m *measurement) pushChange() {
	m.version++
	text := RulesText(300, m.version)
	m.w.RunPublisher(func(ctx context.Context, p *config.Publisher) {
		base, _ := config.Get(ctx, p.KV) // returns an error before the first push
		v, _ := p.Push(ctx, text, "operator", "change of a weight", base.Number)
		if v.Number > 0 {
			m.changes++
			m.trackAdoption(v.Version(), m.w.Now)
		}
	})
}

// trackAdoption measures the time until all hosts that have run since the push hold the
// version, checked every 50 ms.
func (m *measurement) trackAdoption(version config.Version, since time.Time) {
	running := slices.DeleteFunc(slices.Clone(m.w.Hosts), func(h *Host) bool { return !h.up })
	starts := make(map[*Host]uint64, len(running))
	for _, h := range running {
		starts[h] = h.generation
	}
	var step func()
	step = func() {
		for _, h := range running {
			if h.up && h.generation == starts[h] && version.Newer(h.Version()) {
				m.w.Schedule(50*time.Millisecond, step)
				return
			}
		}
		m.slowest = max(m.slowest, m.w.Now.Sub(since))
	}
	step()
}

func (m *measurement) randomHost() *Host { return m.w.Hosts[m.w.rnd.IntN(len(m.w.Hosts))] }

// chargeFloor charges a floor that a random host of the zone sends to the others.
func (m *measurement) chargeFloor(zone int) {
	from := m.w.Hosts[zone*m.w.HostsPerZone+m.w.rnd.IntN(m.w.HostsPerZone)]
	for _, to := range m.w.Hosts {
		if to.zone == zone && to != from {
			m.w.chargeMessage(from, to, broadcastBytes)
		}
	}
}

// chargeHalt charges a halt: the messages within every zone, and those to two relays in
// every other zone.
func (m *measurement) chargeHalt() {
	from := m.randomHost()
	for z := range m.w.Zones {
		m.chargeFloor(z)
		for _, i := range []int{0, 1} {
			if to := m.w.Hosts[z*m.w.HostsPerZone+(from.index+i)%m.w.HostsPerZone]; to.zone != from.zone {
				m.w.chargeMessage(from, to, broadcastBytes)
			}
		}
	}
}

// restartHost crashes a random host and starts it again after 2 to 20 s.
func (m *measurement) restartHost() {
	h := m.randomHost()
	if !h.up {
		return
	}
	h.Crash()
	m.w.Schedule(2*time.Second+time.Duration(m.w.rnd.Int64N(int64(18*time.Second))), h.Start)
}

// failHost crashes a random host and starts it again after 5 min. The platform lists it
// for the first minute.
func (m *measurement) failHost() {
	h := m.randomHost()
	if !h.up {
		return
	}
	h.Crash()
	m.w.Schedule(time.Minute, func() { h.Unlisted = true })
	m.w.Schedule(5*time.Minute, func() { h.Unlisted = false; h.Start() })
}

func (m *measurement) report(span time.Duration) Report {
	r := Report{Hosts: len(m.w.Hosts), Changes: m.changes, SlowestChange: m.slowest, FalsePositives: m.falsePositives}
	messages, bytes := 0, 0
	for _, h := range m.w.Hosts {
		t := h.Traffic
		r.BytesOutPerSecond += float64(t.BytesOut)
		r.BytesInPerSecond += float64(t.BytesIn)
		r.BusiestBytesPerSecond = max(r.BusiestBytesPerSecond, float64(t.BytesIn+t.BytesOut)/span.Seconds())
		r.HandshakesPerHour += float64(t.Handshakes)
		r.LongestMessageBytes = max(r.LongestMessageBytes, t.LongestMessageBytes)
		messages += t.Messages
		bytes += t.MessageBytes
	}
	perHost := span.Seconds() * float64(len(m.w.Hosts))
	r.BytesOutPerSecond /= perHost
	r.BytesInPerSecond /= perHost
	r.HandshakesPerHour *= 3600 / perHost
	r.MessagesPerSecond = float64(messages) / perHost
	r.MeanMessageBytes = float64(bytes) / float64(max(messages, 1))
	return r
}
