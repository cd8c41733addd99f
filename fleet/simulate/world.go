// Package simulate runs whole fleets of the membership and configuration state
// machines in virtual time, with cuts, pauses, restarts and a faulty store. Its
// results depend only on the seed.
package simulate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"sardinefront.dev/fleet/member"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_800_000_000, 0)

// task is something that happens at a point in virtual time.
type task struct {
	at  time.Time
	seq uint64
	run func()
}

type agenda []task

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(task)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1] = task{}
	*a = old[:len(old)-1]
	return last
}

// Layout is the shape of a fleet.
type Layout struct {
	Zones          int
	HostsPerZone   int
	ZonesPerRegion int // zones of one region; 3 if 0
	// DigestBytes is the length of the digest on probes.
	DigestBytes int
	// TickEvery is the step of the state machines; 100 ms if 0.
	TickInterval time.Duration
	// Loss is the share of messages lost.
	LossRate float64
}

// World is one simulated fleet. It is not safe for concurrent use.
type World struct {
	Layout
	Now   time.Time
	Hosts []*Host
	Store *Store

	rnd    *rand.Rand
	todo   agenda
	seq    uint64
	byName map[string]*Host
	// cuts holds the directed pairs of hosts that cannot talk.
	cuts map[[2]int]bool
	// links holds the last use of each connection; see charge.
	links map[[2]int]time.Time
	// OnAdopt is called after a host has adopted a rules file.
	OnAdopt func(h *Host)
	// OnEvent is called with the member events of a host.
	OnEvent func(h *Host, e Event)
}

// New returns a fleet whose hosts have not been started.
func New(seed uint64, l Layout) *World {
	if l.ZonesPerRegion == 0 {
		l.ZonesPerRegion = 3
	}
	if l.TickInterval == 0 {
		l.TickInterval = 100 * time.Millisecond
	}
	w := &World{
		Layout: l, Now: epoch, rnd: rand.New(rand.NewPCG(seed, 0)),
		byName: make(map[string]*Host), cuts: make(map[[2]int]bool), links: make(map[[2]int]time.Time),
	}
	w.Store = newStore(w)
	for z := range l.Zones {
		for i := range l.HostsPerZone {
			h := &Host{
				world: w, index: len(w.Hosts), Name: fmt.Sprintf("host-%d-%02d", z, i), zone: z,
				Zone: fmt.Sprintf("zone-%d", z), Address: fmt.Sprintf("10.%d.0.%d:7400", z, i+1),
			}
			w.Hosts = append(w.Hosts, h)
			w.byName[h.Name] = h
		}
	}
	return w
}

// Rand is the world's source of randomness.
func (w *World) Rand() *rand.Rand { return w.rnd }

// After schedules f.
func (w *World) Schedule(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.todo, task{w.Now.Add(d), w.seq, f})
}

// Run advances virtual time by d.
func (w *World) Run(d time.Duration) {
	end := w.Now.Add(d)
	for len(w.todo) > 0 && !w.todo[0].at.After(end) {
		t := heap.Pop(&w.todo).(task)
		w.Now = t.at
		t.run()
	}
	w.Now = end
}

// RunUntil advances virtual time until done holds, checked every 50 ms, and
// returns the time taken, or limit and false.
func (w *World) RunUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := w.Now
	for !done() {
		if w.Now.Sub(start) >= limit {
			return limit, false
		}
		w.Run(50 * time.Millisecond)
	}
	return w.Now.Sub(start), true
}

// StartAll starts every host within the given time.
func (w *World) StartAll(within time.Duration) {
	for _, h := range w.Hosts {
		w.Schedule(time.Duration(w.rnd.Int64N(int64(within)+1)), h.Start)
	}
	w.Run(within)
}

// StartSettled starts every host with the knowledge that a fleet has after it
// has run for a while: all members, and nothing left to spread.
func (w *World) StartConverged() {
	for _, h := range w.Hosts {
		h.Start()
	}
	var all []member.Update
	for _, h := range w.Hosts {
		all = append(all, h.core.Membership.Snapshot()[0])
	}
	for _, h := range w.Hosts {
		h.core.Membership.MergeSnapshot(all, w.Now)
	}
}

// Cut blocks messages from a to b, and in the other direction too if both.
func (w *World) Partition(a, b *Host, both bool) {
	w.cuts[[2]int{a.index, b.index}] = true
	if both {
		w.cuts[[2]int{b.index, a.index}] = true
	}
}

// CutZone blocks all messages between a zone and the rest of the fleet, and
// between the zone and the store.
func (w *World) PartitionZone(zone int) {
	for _, a := range w.Hosts {
		if a.zone != zone {
			continue
		}
		a.StoreBlocked = true
		for _, b := range w.Hosts {
			if b.zone != zone {
				w.Partition(a, b, true)
			}
		}
	}
}

// Heal removes all cuts, also those to the store.
func (w *World) Heal() {
	clear(w.cuts)
	for _, h := range w.Hosts {
		h.StoreBlocked = false
	}
}

// delay is the one-way time between two hosts: under 1 ms in a zone, up to 3 ms
// in a region, up to 80 ms between regions.
func (w *World) delay(a, b *Host) time.Duration {
	low, high := 30*time.Millisecond, 80*time.Millisecond
	switch {
	case a.zone == b.zone:
		low, high = 200*time.Microsecond, time.Millisecond
	case a.zone/w.ZonesPerRegion == b.zone/w.ZonesPerRegion:
		low, high = time.Millisecond, 3*time.Millisecond
	}
	return low + time.Duration(w.rnd.Int64N(int64(high-low)))
}

// passes decides whether a message from a to b arrives.
func (w *World) passes(a, b *Host) bool {
	if !a.up || !b.up || w.cuts[[2]int{a.index, b.index}] {
		return false
	}
	return w.LossRate == 0 || w.rnd.Float64() >= w.LossRate
}
