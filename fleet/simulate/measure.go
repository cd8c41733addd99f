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

// The rates of the target scale, for 360 hosts; see section 1.5 of the design
// page. Smaller fleets get their share of the restarts and failures, and all of
// the configuration changes.
const (
	changesPerDay  = 6600
	restartsPerDay = 880
	failuresPerDay = 41
	targetHosts    = 360
	day            = 24 * time.Hour
)

// The rates of other control messages. Floors of 60 bytes go to every host of
// a zone; a host that knows of an equal or higher floor of the pool raises
// none, so a few per second and zone are a fleet under overload. Halts of 60
// bytes go to every host.
const (
	floorEvery  = time.Second // in each zone
	haltEvery   = 10 * time.Minute
	noticeBytes = 60 + 30 // with the frame and the host that raised it
)

// Report is what Measure found for one fleet. Bytes are counted with the
// allowance for QUIC, UDP and IP headers, acknowledgements and handshakes.
type Report struct {
	Hosts                 int
	BytesOutPerSecond     float64 // mean bytes sent by a host
	BytesInPerSecond      float64
	BusiestBytesPerSecond float64 // sent and received by the busiest host
	MeanMessageBytes      float64 // mean encoded bytes of a one-way message
	LongestMessageBytes   int
	MessagesPerSecond     float64 // one-way messages sent by a host per second
	HandshakesPerHour     float64 // by a host per hour
	StoreReadsPerSecond   float64 // of the fleet per second
	HeapBytesPerHost      int     // bytes of heap
	AllocationsPerSecond  float64 // by a host per second, the simulation's included
	Changes               int
	SlowestChange         time.Duration // until in force on all running hosts
	FalsePositives        int           // running hosts declared dead
}

// String returns one line for a table.
func (r Report) String() string {
	return fmt.Sprintf("%3d hosts: out %4.0f B/s, in %4.0f B/s, both %4.0f B/s, busiest host %4.0f B/s, message %3.0f B (longest %d), %4.2f messages/s, %4.1f handshakes/h, store %4.1f reads/s, memory %3d KB, %4.0f allocations/s, %d changes, slowest %v, %d false deaths",
		r.Hosts, r.BytesOutPerSecond, r.BytesInPerSecond, r.BytesOutPerSecond+r.BytesInPerSecond, r.BusiestBytesPerSecond, r.MeanMessageBytes, r.LongestMessageBytes,
		r.MessagesPerSecond, r.HandshakesPerHour, r.StoreReadsPerSecond, r.HeapBytesPerHost>>10, r.AllocationsPerSecond, r.Changes, r.SlowestChange, r.FalsePositives)
}

// RulesText returns a rules file of that many lines in which line changed
// varies with version.
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

// Layouts are the fleets over which slopes are measured: today's, one zone's
// worth in each of three zones, and the target.
func Layouts() []Layout {
	return []Layout{
		{Zones: 3, HostsPerZone: 3, DigestBytes: core.MaxDigest},
		{Zones: 4, HostsPerZone: 10, DigestBytes: core.MaxDigest},
		{Zones: 3, HostsPerZone: 40, DigestBytes: core.MaxDigest},
		{Zones: 9, HostsPerZone: 40, DigestBytes: core.MaxDigest},
	}
}

// Measure runs a fleet with churn, 0.1% loss, floors, halts and the target's
// rate of configuration changes for span, after warm, and returns its figures.
func Measure(seed uint64, l Layout, warm, span time.Duration) Report {
	before := heap0()
	l.LossRate = 0.001
	w := New(seed, l)
	m := &measurement{w: w}
	w.OnEvent = m.event
	w.StartConverged()
	m.change()
	w.Run(warm)
	share := float64(len(w.Hosts)) / targetHosts
	m.repeat(day/changesPerDay, m.change)
	m.repeat(time.Duration(float64(day)/restartsPerDay/share), m.restart)
	m.repeat(time.Duration(float64(day)/failuresPerDay/share), m.fail)
	for z := range l.Zones {
		m.repeat(floorEvery, func() { m.floor(z) })
	}
	m.repeat(haltEvery, m.halt)
	memory := int(heap0()-before) / len(w.Hosts)
	w.ResetTraffic()
	m.falseDeaths, m.changes, m.slowest = 0, 0, 0
	reads, mallocs := w.Store.Reads, mallocs()
	w.Run(span)
	r := m.report(span)
	r.HeapBytesPerHost = memory
	r.AllocationsPerSecond = float64(mallocsSince(mallocs)) / span.Seconds() / float64(len(w.Hosts))
	r.StoreReadsPerSecond = float64(w.Store.Reads-reads) / span.Seconds()
	return r
}

// Slopes measures every layout for an hour at nine hosts and for less the
// larger the fleet is, 10 minutes at 360 hosts. Runs take about a minute of
// real time in all.
func MeasureLayouts(seed uint64) []Report {
	var all []Report
	for _, l := range Layouts() {
		span := max(10*time.Minute, time.Hour/time.Duration(l.HostsPerZone*l.Zones/9))
		all = append(all, Measure(seed, l, time.Minute, span))
	}
	return all
}

func heap0() int64 {
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

// measurement drives one run of Measure.
type measurement struct {
	w           *World
	version     int
	changes     int
	slowest     time.Duration
	falseDeaths int
}

func (m *measurement) event(_ *Host, e Event) {
	if h := m.w.byName[e.Member.Name]; e.Kind == member.BecameDead && h.up && h.Incarnation() == e.Member.Incarnation {
		m.falseDeaths++
	}
}

// repeat runs f at random times with the given mean distance.
func (m *measurement) repeat(mean time.Duration, f func()) {
	var step func()
	next := func() { m.w.Schedule(time.Duration(m.w.rnd.ExpFloat64()*float64(mean)), step) }
	step = func() { f(); next() }
	next()
}

func (m *measurement) change() {
	m.version++
	text := RulesText(300, m.version)
	m.w.RunPublisher(func(ctx context.Context, o *config.Publisher) {
		base, _ := config.Get(ctx, o.KV) // none before the first push
		v, _ := o.Push(ctx, text, "operator", "change of a weight", base.Number)
		if v.Number > 0 {
			m.changes++
			m.follow(v.Version(), m.w.Now)
		}
	})
}

// follow checks every 50 ms whether the value is in force on all hosts that
// have run since the push.
func (m *measurement) follow(st config.Version, since time.Time) {
	running := slices.DeleteFunc(slices.Clone(m.w.Hosts), func(h *Host) bool { return !h.up })
	starts := make(map[*Host]uint64, len(running))
	for _, h := range running {
		starts[h] = h.starts
	}
	var step func()
	step = func() {
		for _, h := range running {
			if h.up && h.starts == starts[h] && st.Newer(h.Version()) {
				m.w.Schedule(50*time.Millisecond, step)
				return
			}
		}
		m.slowest = max(m.slowest, m.w.Now.Sub(since))
	}
	step()
}

func (m *measurement) any() *Host { return m.w.Hosts[m.w.rnd.IntN(len(m.w.Hosts))] }

// floor charges a floor that a host of the zone sends to the others.
func (m *measurement) floor(zone int) {
	from := m.w.Hosts[zone*m.w.HostsPerZone+m.w.rnd.IntN(m.w.HostsPerZone)]
	for _, to := range m.w.Hosts {
		if to.zone == zone && to != from {
			m.w.chargeMessage(from, to, noticeBytes)
		}
	}
}

// halt charges a halt: every host receives one message, and one of two relays
// in every other zone is superfluous.
func (m *measurement) halt() {
	from := m.any()
	for z := range m.w.Zones {
		m.floor(z)
		for _, i := range []int{0, 1} {
			if to := m.w.Hosts[z*m.w.HostsPerZone+(from.index+i)%m.w.HostsPerZone]; to.zone != from.zone {
				m.w.chargeMessage(from, to, noticeBytes)
			}
		}
	}
}

// restart takes a host down for 2 to 20 s.
func (m *measurement) restart() {
	h := m.any()
	if !h.up {
		return
	}
	h.Crash()
	m.w.Schedule(2*time.Second+time.Duration(m.w.rnd.Int64N(int64(18*time.Second))), h.Start)
}

// fail takes a host down for 5 min; the platform lists it for another minute.
func (m *measurement) fail() {
	h := m.any()
	if !h.up {
		return
	}
	h.Crash()
	m.w.Schedule(time.Minute, func() { h.Unlisted = true })
	m.w.Schedule(5*time.Minute, func() { h.Unlisted = false; h.Start() })
}

func (m *measurement) report(span time.Duration) Report {
	r := Report{Hosts: len(m.w.Hosts), Changes: m.changes, SlowestChange: m.slowest, FalsePositives: m.falseDeaths}
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
