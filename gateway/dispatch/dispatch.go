// Package dispatch runs the schedulers of the services: it hands waiting requests
// their targets as the decisions of sched/reserve allow, and wakes them in time.
package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/protocol"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/sched/reserve"
)

// Service schedules the requests of one service on this host. It is safe for
// concurrent use.
type Service struct {
	name string
	log  *slog.Logger

	mu      sync.Mutex
	pool    *reserve.Pool
	targets map[string]directory.Target
	waiting map[*reserve.Waiter]chan outcome
	timer   *time.Timer
	// starved is the lowest lane that waits for long, LaneCount if none does.
	starved  reserve.Lane
	raisedAt time.Time
	peers    Peers
}

// Peers tells the other hosts what concerns them. Its methods must not block.
type Peers interface {
	// Tell sends them this host's state at once.
	Tell()
	// Offer tells a host that a slot has come free at a target.
	Offer(host, target string)
}

// outcome is what a waiting request gets.
type outcome struct {
	target  directory.Target
	refusal *refusal.Refusal
}

func newService(name string, reservations bool, log *slog.Logger, peers Peers) *Service {
	s := &Service{
		name: name, log: log, starved: reserve.LaneCount, peers: peers,
		pool:    reserve.New(reserve.Config{Reservations: reservations, Seed: rand.Uint64()}),
		targets: map[string]directory.Target{},
		waiting: map[*reserve.Waiter]chan outcome{},
	}
	s.timer = time.AfterFunc(time.Hour, s.wake)
	s.timer.Stop()
	return s
}

// setTargets replaces the list of targets.
func (s *Service) setTargets(list []directory.Target, zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.targets
	s.targets = make(map[string]directory.Target, len(list))
	infos := make([]reserve.Target, 0, len(list))
	for _, t := range list {
		key := t.Key()
		if t.Draining && !old[key].Draining {
			event.TargetLeaving.Log(s.log, slog.String("service", s.name), slog.String("target", key))
		}
		s.targets[key] = t
		infos = append(infos, reserve.Target{
			Name: key, Local: t.Zone == zone, Version: t.Version, Slots: t.Slots, Draining: t.Draining, ColdUntil: t.WarmUpUntil,
		})
	}
	s.pool.SetTargets(infos)
	s.pump(time.Now())
}

// Acquire waits for a target. Again says that the request had a target before and
// did not run there. An error is a *refusal.Refusal or the error of ctx.
func (s *Service) Acquire(ctx context.Context, w *reserve.Waiter, again bool) (directory.Target, error) {
	ch := make(chan outcome, 1)
	s.mu.Lock()
	now := time.Now()
	if again {
		s.pool.Resubmit(w)
	} else if f := s.pool.Submit(w, now); f != nil {
		s.mu.Unlock()
		return directory.Target{}, f
	}
	s.waiting[w] = ch
	s.pump(now)
	s.mu.Unlock()
	select {
	case o := <-ch:
		return o.result()
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool.Remove(w) {
		delete(s.waiting, w)
		return directory.Target{}, ctx.Err()
	}
	// The grant and the end of ctx crossed.
	o := <-ch
	if o.refusal == nil {
		s.pool.EndGrant(o.target.Key(), reserve.Abandoned, reserve.Sample{}, time.Now())
		s.pump(time.Now())
	}
	return directory.Target{}, ctx.Err()
}

func (o outcome) result() (directory.Target, error) {
	if o.refusal != nil {
		return directory.Target{}, o.refusal
	}
	return o.target, nil
}

// pump hands out what can start now. The caller holds the lock.
func (s *Service) pump(now time.Time) {
	grants, expired := s.pool.Dispatch(now)
	for _, x := range expired {
		s.deliver(x.Waiter, outcome{refusal: x.Refusal})
	}
	for _, g := range grants {
		s.deliver(g.Waiter, outcome{target: s.targets[g.Target]})
	}
	s.raise(now)
	if at := s.pool.NextWake(now); at.IsZero() {
		s.timer.Stop()
	} else {
		s.timer.Reset(max(time.Millisecond, at.Sub(now)))
	}
}

// raise tells the other hosts when a request of a lower lane has waited for long.
func (s *Service) raise(now time.Time) {
	was := s.starved
	s.starved = s.pool.StarvedLane(now)
	if s.starved < was || s.starved < reserve.LaneCount && now.Sub(s.raisedAt) > floorLife/2 {
		s.raisedAt = now
		s.peers.Tell()
	}
}

func (s *Service) deliver(w *reserve.Waiter, o outcome) {
	s.waiting[w] <- o
	delete(s.waiting, w)
}

func (s *Service) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pump(time.Now())
}

// Full ends a grant whose target had no room.
func (s *Service) Full(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.pool.RecordFull(target, now)
	s.pump(now)
}

// Reserved notes that the target granted a reservation.
func (s *Service) Reserved(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RecordReserved(target)
}

// Load notes what a target says of itself.
func (s *Service) Load(target string, l *protocol.LoadReport) {
	if l == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RecordLoad(target, l.Running, l.Waiting, l.Slots, time.Now())
}

// End ends a grant.
func (s *Service) End(target string, o reserve.Outcome, sample reserve.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	change := s.pool.EndGrant(target, o, sample, now)
	if change.EjectionReason != "" {
		s.peers.Tell()
		event.TargetEjected.Log(s.log, slog.String("service", s.name), slog.String("target", target), slog.String("why", change.EjectionReason))
	}
	if change.Restored {
		event.TargetRestored.Log(s.log, slog.String("service", s.name), slog.String("target", target))
	}
	s.pump(now)
	if host := s.pool.SelectSlotRecipient(target, now); host != "" {
		s.peers.Offer(host, target)
	}
}

// freed tries a target at which another host has seen a slot come free.
func (s *Service) freed(target string) {
	s.pool.SlotFreed(target)
	s.pump(time.Now())
}

// floorLife is how long a floor holds unless it is renewed by a heartbeat.
const floorLife = 300 * time.Millisecond

// setFloor holds back what comes after a lane for a while.
func (s *Service) setFloor(host string, l reserve.Lane) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetFloor(host, l, time.Now().Add(floorLife))
}

// Observe notes the pause between events that a target shows.
func (s *Service) Observe(target string, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool.RecordSpeed(target, gap, time.Now()) {
		s.peers.Tell()
	}
}

// Services holds the schedulers of all services.
type Services struct {
	zone  string
	log   *slog.Logger
	peers Peers
	mu    sync.Mutex
	all   map[string]*Service
}

// NewServices returns an empty set for a host in the zone.
func NewServices(zone string, log *slog.Logger, peers Peers) *Services {
	return &Services{zone: zone, log: log, peers: peers, all: map[string]*Service{}}
}

// Floors returns the lowest lane that waits for long, by service. The last lane holds
// back nothing, but a free slot may be offered to it.
func (s *Services) Floors() map[string]uint8 {
	out := map[string]uint8{}
	s.each(func(name string, service *Service) {
		if service.starved < reserve.LaneCount {
			out[name] = uint8(service.starved)
		}
	})
	return out
}

// Heard holds back what comes after the lanes that wait on a peer.
func (s *Services) Heard(host string, floors map[string]uint8) {
	for name, lane := range floors {
		if service := s.Get(name); service != nil {
			service.setFloor(host, reserve.Lane(lane))
		}
	}
}

// Stats returns the counts of the schedulers by service.
func (s *Services) Stats() map[string]reserve.Stats {
	out := map[string]reserve.Stats{}
	s.each(func(name string, service *Service) {
		out[name] = service.pool.Stats()
	})
	return out
}

// Speeds returns the pauses between events of all targets.
func (s *Services) Speeds() []reserve.Speed {
	var out []reserve.Speed
	s.each(func(_ string, service *Service) {
		out = append(out, service.pool.Speeds()...)
	})
	return out
}

// SetHosts sets the number of hosts that share the targets, this one included.
func (s *Services) SetHosts(n int) {
	s.each(func(_ string, service *Service) {
		service.pool.SetHostCount(n)
	})
}

// Ejected returns the targets that this host has ejected.
func (s *Services) Ejected() []string {
	var out []string
	s.each(func(_ string, service *Service) {
		out = append(out, service.pool.Ejected()...)
	})
	return out
}

// Doubt takes the targets that a peer has ejected.
func (s *Services) Doubt(targets []string) {
	now := time.Now()
	s.each(func(_ string, service *Service) {
		for _, name := range targets {
			service.pool.RecordPeerEjection(name, now)
		}
	})
}

// Freed takes a peer's word that a slot has come free at a target.
func (s *Services) Freed(target string) {
	s.each(func(_ string, service *Service) {
		if _, ok := service.targets[target]; ok {
			service.freed(target)
		}
	})
}

// Seed takes what a peer has measured of targets.
func (s *Services) Seed(speeds []reserve.Speed) {
	now := time.Now()
	s.each(func(_ string, service *Service) {
		for _, v := range speeds {
			service.pool.RecordPeerSpeed(v.Target, v.Gap, now)
		}
	})
}

// Restore takes speeds that were known before this host started, of targets of which it
// knows nothing.
func (s *Services) Restore(speeds []reserve.Speed) {
	now := time.Now()
	s.each(func(_ string, service *Service) {
		for _, v := range speeds {
			service.pool.RestoreSpeed(v.Target, v.Gap, now)
		}
	})
}

// Get returns the scheduler of a service, or nil.
func (s *Services) Get(name string) *Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[name]
}

// each calls a function for every scheduler while that is locked.
func (s *Services) each(f func(name string, service *Service)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, service := range s.all {
		service.mu.Lock()
		f(name, service)
		service.mu.Unlock()
	}
}

// Update follows the configuration and the list of targets. Services that are
// gone keep their scheduler without targets, for requests that still wait.
func (s *Services) Update(table *routing.Table, targets []directory.Target) {
	byService := map[string][]directory.Target{}
	for _, t := range targets {
		byService[t.Service] = append(byService[t.Service], t)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range table.Services {
		info := &table.Services[i]
		if s.all[info.Name] == nil {
			s.all[info.Name] = newService(info.Name, info.Engine != nil && info.Engine.MaxReservationLifetime > 0, s.log, s.peers)
		}
	}
	for name, service := range s.all {
		service.setTargets(byService[name], s.zone)
	}
}
