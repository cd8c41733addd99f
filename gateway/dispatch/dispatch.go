// Package dispatch runs one sched/reserve pool per service. It adds locking, timers and
// notifications to peers, and delivers each grant to the goroutine that waits for it.
package dispatch

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/supervise"
	"sardinefront.dev/gateway/directory"
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
	// unreadableLoads holds the targets with an unreadable load report, each of which is logged once.
	unreadableLoads map[string]bool
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
		pool:            reserve.New(reserve.Config{Reservations: reservations, Seed: rand.Uint64()}),
		targets:         map[string]directory.Target{},
		waiters:         map[*reserve.Waiter]chan acquireResult{},
		unreadableLoads: map[string]bool{},
	}
	s.timer = time.AfterFunc(time.Hour, s.onTimer)
	s.timer.Stop()
	return s
}

// setTargets replaces the list of targets.
func (s *Scheduler) setTargets(list []directory.Target, zone string, regions map[string]string) {
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
			Name: key, Zone: t.Zone, Region: regions[t.Zone], Local: t.Zone == zone, Version: t.Version, Slots: t.Slots, Draining: t.Draining, ListedAt: now, WarmUpUntil: t.WarmUpUntil,
		})
	}
	maps.DeleteFunc(s.unreadableLoads, func(key string, _ bool) bool { return s.targets[key].ID == "" })
	for _, c := range s.pool.SetTargets(infos) {
		s.recordClosure(c, now)
	}
	s.dispatch(now)
}

// setWithdrawn sets whether requests of the service are refused; see reserve.Pool.SetWithdrawn.
func (s *Scheduler) setWithdrawn(withdrawn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetWithdrawn(withdrawn)
}

// endRollout applies the outcome of a rollout to the requests that wait.
func (s *Scheduler) endRollout(version string, rolledBack bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool.EndRollout(version, rolledBack) {
		s.dispatch(time.Now())
	}
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
	s.reportPace(now)
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

// EndGrant ends a grant with its outcome. If no request of this host takes the freed slot,
// it is offered to the peer that has starved requests in the most urgent lane.
func (s *Scheduler) EndGrant(target string, o reserve.Outcome, sample reserve.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	change := s.pool.EndGrant(target, o, sample, now)
	s.announceEjection(target, change.EjectionReason)
	if change.Restored {
		event.TargetRestored.Log(s.log, slog.String("service", s.name), slog.String("target", target))
	}
	s.dispatch(now)
	if host := s.pool.SelectSlotRecipient(target, now); host != "" {
		s.peers.OfferSlot(host, target)
	}
}

// announceEjection logs the ejection of a target and tells the peers, unless the reason is empty.
func (s *Scheduler) announceEjection(target, reason string) {
	if reason == "" {
		return
	}
	s.peers.SendHeartbeat()
	event.TargetEjected.Log(s.log, slog.String("service", s.name), slog.String("target", target), slog.String("why", reason))
}

// RecordFirstByte records the time from the send of a request of the route to the first byte of its
// response.
func (s *Scheduler) RecordFirstByte(target, route string, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RecordFirstByte(target, route, length, time.Now())
}

// RecordSilent records that a target has been silent for too long during a request of the route that
// is still running there. unanswered is the time since the send, 0 if the response has begun.
func (s *Scheduler) RecordSilent(target, route string, unanswered time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announceEjection(target, s.pool.RecordSilent(target, route, unanswered, time.Now()))
}

// RecordResponsive records that a target has gone on after RecordSilent.
func (s *Scheduler) RecordResponsive(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.pool.RecordResponsive(target, now) {
		s.dispatch(now)
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
