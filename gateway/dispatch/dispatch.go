// Package dispatch runs one sched/reserve pool per service. It adds locking, timers and
// notifications to peers, and delivers each grant to the goroutine that waits for it.
package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/supervise"
	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/protocol"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/sched/reserve"
)

// Scheduler schedules the requests of one service on this host. It is safe for concurrent
// use.
type Scheduler struct {
	name string
	log  *slog.Logger

	mu      sync.Mutex
	pool    *reserve.Pool
	targets map[string]directory.Target
	waiters map[*reserve.Waiter]chan acquireResult
	timer   *time.Timer
	// starvedLane is the most urgent lane with a starved request, or reserve.LaneCount if
	// there is none.
	starvedLane reserve.Lane
	// announcedAt is when the peers were last notified of starvedLane.
	announcedAt time.Time
	peers       Peers
	metrics     Metrics
}

// Peers notifies the other hosts. Its methods are called with locks held and must not
// block.
type Peers interface {
	// SendHeartbeat sends this host's state at once instead of at the next interval.
	SendHeartbeat()
	// OfferSlot notifies a host that a slot has become free at a target.
	OfferSlot(host, target string)
}

// acquireResult is delivered to a waiting request: a target, or a refusal.
type acquireResult struct {
	target  directory.Target
	refusal *refusal.Refusal
}

func newScheduler(name string, reservations bool, log *slog.Logger, peers Peers, metrics Metrics) *Scheduler {
	s := &Scheduler{
		name: name, log: log, starvedLane: reserve.LaneCount, peers: peers, metrics: metrics,
		pool:    reserve.New(reserve.Config{Reservations: reservations, Seed: rand.Uint64()}),
		targets: map[string]directory.Target{},
		waiters: map[*reserve.Waiter]chan acquireResult{},
	}
	s.timer = time.AfterFunc(time.Hour, s.onTimer)
	s.timer.Stop()
	return s
}

// setTargets replaces the list of targets.
func (s *Scheduler) setTargets(list []directory.Target, zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	old := s.targets
	s.targets = make(map[string]directory.Target, len(list))
	infos := make([]reserve.Target, 0, len(list))
	for _, t := range list {
		key := t.Key()
		if t.Draining && !old[key].Draining {
			event.TargetDraining.Log(s.log, slog.String("service", s.name), slog.String("target", key))
		}
		s.targets[key] = t
		infos = append(infos, reserve.Target{
			Name: key, Local: t.Zone == zone, Version: t.Version, Slots: t.Slots, Draining: t.Draining, ListedAt: now, WarmUpUntil: t.WarmUpUntil,
		})
	}
	for _, c := range s.pool.SetTargets(infos) {
		s.recordClosure(c, now)
	}
	s.dispatch(now)
}

// Acquire blocks until the request is granted a target, is refused, or ctx ends. resubmit
// is true if an earlier grant of the same Waiter did not serve the request. The error is a
// *refusal.Refusal or ctx.Err(). Each grant must be ended by EndGrant or RecordFull.
func (s *Scheduler) Acquire(ctx context.Context, w *reserve.Waiter, resubmit bool) (directory.Target, error) {
	ch := make(chan acquireResult, 1)
	s.mu.Lock()
	now := time.Now()
	if resubmit {
		s.pool.Resubmit(w)
	} else if ref := s.pool.Submit(w, now); ref != nil {
		s.mu.Unlock()
		return directory.Target{}, ref
	}
	s.waiters[w] = ch
	s.dispatch(now)
	s.mu.Unlock()
	select {
	case o := <-ch:
		return o.unpack()
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool.Remove(w) {
		delete(s.waiters, w)
		return directory.Target{}, ctx.Err()
	}
	// The grant arrived while ctx ended: return it unused.
	o := <-ch
	if o.refusal == nil {
		s.pool.EndGrant(o.target.Key(), reserve.Abandoned, reserve.Sample{}, time.Now())
		s.dispatch(time.Now())
	}
	return directory.Target{}, ctx.Err()
}

// unpack returns the target, or the refusal as an error.
func (o acquireResult) unpack() (directory.Target, error) {
	if o.refusal != nil {
		return directory.Target{}, o.refusal
	}
	return o.target, nil
}

// dispatch delivers the grants and refusals that are due and rearms the timer. The caller
// holds s.mu.
func (s *Scheduler) dispatch(now time.Time) {
	grants, expired := s.pool.Dispatch(now)
	for _, x := range expired {
		s.deliver(x.Waiter, acquireResult{refusal: x.Refusal})
	}
	for _, g := range grants {
		s.deliver(g.Waiter, acquireResult{target: s.targets[g.Target]})
	}
	s.announceStarvation(now)
	if at := s.pool.NextWake(now); at.IsZero() {
		s.timer.Stop()
	} else {
		s.timer.Reset(max(time.Millisecond, at.Sub(now)))
	}
}

// announceStarvation sends a heartbeat if requests of a more urgent lane than before are
// starved, and repeats it before the floor at the peers expires. The caller holds s.mu.
func (s *Scheduler) announceStarvation(now time.Time) {
	previous := s.starvedLane
	s.starvedLane = s.pool.StarvedLane(now)
	if s.starvedLane < previous || s.starvedLane < reserve.LaneCount && now.Sub(s.announcedAt) > floorTTL/2 {
		s.announcedAt = now
		s.peers.SendHeartbeat()
	}
}

func (s *Scheduler) deliver(w *reserve.Waiter, o acquireResult) {
	s.waiters[w] <- o
	delete(s.waiters, w)
}

func (s *Scheduler) onTimer() {
	defer supervise.Recover(s.log, "dispatch timer")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch(time.Now())
}

// RecordFull ends a grant whose target refused the request for lack of capacity.
func (s *Scheduler) RecordFull(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.pool.RecordFull(target, now)
	s.dispatch(now)
}

// RecordReserved records that the target granted a reservation.
func (s *Scheduler) RecordReserved(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RecordReserved(target)
}

// RecordLoad records the load that a target reports in a response; l may be nil.
func (s *Scheduler) RecordLoad(target string, l *protocol.LoadReport) {
	if l == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RecordLoad(target, l.Running, l.Waiting, l.Slots, time.Now())
}

// EndGrant ends a grant with its outcome. If no request of this host takes the freed slot,
// it is offered to the peer that has starved requests in the most urgent lane.
func (s *Scheduler) EndGrant(target string, o reserve.Outcome, sample reserve.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	change := s.pool.EndGrant(target, o, sample, now)
	if change.EjectionReason != "" {
		s.peers.SendHeartbeat()
		event.TargetEjected.Log(s.log, slog.String("service", s.name), slog.String("target", target), slog.String("why", change.EjectionReason))
	}
	if change.Restored {
		event.TargetRestored.Log(s.log, slog.String("service", s.name), slog.String("target", target))
	}
	s.dispatch(now)
	if host := s.pool.SelectSlotRecipient(target, now); host != "" {
		s.peers.OfferSlot(host, target)
	}
}

// handleSlotOffer handles a peer's offer of a free slot at a target. The caller holds s.mu.
func (s *Scheduler) handleSlotOffer(target string) {
	s.pool.SlotFreed(target)
	s.dispatch(time.Now())
}

// floorTTL is how long a floor lasts unless a heartbeat renews it.
const floorTTL = 300 * time.Millisecond

// setFloor blocks requests of lanes less urgent than l for floorTTL, because requests of
// lane l are starved on the given host.
func (s *Scheduler) setFloor(host string, l reserve.Lane) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetFloor(host, l, time.Now().Add(floorTTL))
}

// RecordSpeed records the mean gap between the events of a stream that is still running.
// The first measurement of a target is sent to the peers at once.
func (s *Scheduler) RecordSpeed(target string, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool.RecordSpeed(target, gap, time.Now()) {
		s.peers.SendHeartbeat()
	}
}

// Schedulers holds the schedulers of all services. It is safe for concurrent use.
type Schedulers struct {
	zone       string
	log        *slog.Logger
	peers      Peers
	metrics    Metrics
	mu         sync.Mutex
	schedulers map[string]*Scheduler
	byTarget   map[string]*Scheduler // by the key of the target's incarnation
}

// NewSchedulers returns an empty set for a host in the zone.
func NewSchedulers(zone string, log *slog.Logger, peers Peers, metrics Metrics) *Schedulers {
	return &Schedulers{zone: zone, log: log, peers: peers, metrics: metrics, schedulers: map[string]*Scheduler{}}
}

// Floors returns the most urgent starved lane of each service that has one. A floor at the
// last lane blocks no request, but peers may offer free slots to its requests.
func (s *Schedulers) Floors() map[string]uint8 {
	out := map[string]uint8{}
	s.each(func(name string, scheduler *Scheduler) {
		if scheduler.starvedLane < reserve.LaneCount {
			out[name] = uint8(scheduler.starvedLane)
		}
	})
	return out
}

// ApplyFloors applies the floors that a peer reports; see Floors.
func (s *Schedulers) ApplyFloors(host string, floors map[string]uint8) {
	for name, lane := range floors {
		if scheduler := s.Get(name); scheduler != nil {
			scheduler.setFloor(host, reserve.Lane(lane))
		}
	}
}

// Stats returns the counts of the schedulers by service.
func (s *Schedulers) Stats() map[string]reserve.Stats {
	out := map[string]reserve.Stats{}
	now := time.Now()
	s.each(func(name string, scheduler *Scheduler) {
		out[name] = scheduler.pool.Stats(now)
	})
	return out
}

// Speeds returns the gap between events of each target that has been measured.
func (s *Schedulers) Speeds() []reserve.Speed {
	var out []reserve.Speed
	s.each(func(_ string, scheduler *Scheduler) {
		out = append(out, scheduler.pool.Speeds()...)
	})
	return out
}

// MeasuredSpeeds returns the gaps between events that this host has measured itself since the
// given time.
func (s *Schedulers) MeasuredSpeeds(since time.Time) []reserve.Speed {
	var out []reserve.Speed
	s.each(func(_ string, scheduler *Scheduler) {
		out = append(out, scheduler.pool.MeasuredSpeeds(since)...)
	})
	return out
}

// SetHostCount sets the number of hosts that share the targets, this one included.
func (s *Schedulers) SetHostCount(n int) {
	s.each(func(_ string, scheduler *Scheduler) {
		scheduler.pool.SetHostCount(n)
	})
}

// Ejected returns the targets that this host has ejected.
func (s *Schedulers) Ejected() []string {
	var out []string
	s.each(func(_ string, scheduler *Scheduler) {
		out = append(out, scheduler.pool.Ejected()...)
	})
	return out
}

// RecordPeerEjections records the targets that a peer has ejected.
func (s *Schedulers) RecordPeerEjections(targets []string) {
	now := time.Now()
	s.each(func(_ string, scheduler *Scheduler) {
		for _, name := range targets {
			scheduler.pool.RecordPeerEjection(name, now)
		}
	})
}

// HandleSlotOffer handles a peer's offer of a free slot at a target.
func (s *Schedulers) HandleSlotOffer(target string) {
	s.each(func(_ string, scheduler *Scheduler) {
		if _, ok := scheduler.targets[target]; ok {
			scheduler.handleSlotOffer(target)
		}
	})
}

// RecordPeerSpeeds records the gaps between events that a peer has measured.
func (s *Schedulers) RecordPeerSpeeds(speeds []reserve.Speed) {
	now := time.Now()
	s.each(func(_ string, scheduler *Scheduler) {
		for _, v := range speeds {
			scheduler.pool.RecordPeerSpeed(v.Target, v.Gap, now)
		}
	})
}

// RestoreSpeeds seeds the gaps between events from a checkpoint. Targets with a newer
// value keep it.
func (s *Schedulers) RestoreSpeeds(speeds []reserve.Speed) {
	now := time.Now()
	s.each(func(_ string, scheduler *Scheduler) {
		for _, v := range speeds {
			scheduler.pool.RestoreSpeed(v.Target, v.Gap, now)
		}
	})
}

// Get returns the scheduler of a service, nil if the service was never configured.
func (s *Schedulers) Get(name string) *Scheduler {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.schedulers[name]
}

// each calls f for every scheduler with its lock held.
func (s *Schedulers) each(f func(name string, scheduler *Scheduler)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, scheduler := range s.schedulers {
		scheduler.mu.Lock()
		f(name, scheduler)
		scheduler.mu.Unlock()
	}
}

// Update applies a new configuration and list of targets. The scheduler of a removed
// service stays, without targets, for the requests that still wait in it.
func (s *Schedulers) Update(table *routing.Table, targets []directory.Target) {
	byService := map[string][]directory.Target{}
	for _, t := range targets {
		byService[t.Service] = append(byService[t.Service], t)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range table.Services {
		info := &table.Services[i]
		if s.schedulers[info.Name] == nil {
			s.schedulers[info.Name] = newScheduler(info.Name, info.Engine != nil && info.Engine.MaxReservationLifetime > 0, s.log, s.peers, s.metrics)
		}
	}
	s.byTarget = make(map[string]*Scheduler, len(targets))
	for name, scheduler := range s.schedulers {
		for _, t := range byService[name] {
			s.byTarget[t.Key()] = scheduler
		}
		scheduler.setTargets(byService[name], s.zone)
	}
}
