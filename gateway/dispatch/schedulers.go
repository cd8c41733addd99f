package dispatch

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/sched/pace"
	"sardinefront.dev/sched/reserve"
)

// Schedulers holds the schedulers of all services. It is safe for concurrent use.
type Schedulers struct {
	zone       string
	log        *slog.Logger
	peers      Peers
	metrics    Metrics
	mu         sync.Mutex
	schedulers map[string]*Scheduler
	byTarget   map[string]*Scheduler // by the key of the target's incarnation
	evacuated  reserve.Zones
	// regions holds the regions of availability zones.
	regions map[string]string
	version int64 // of the configuration of the last Update
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

// Add returns the scheduler of a service of the configuration. Requests are routed by a new
// configuration shortly before Update applies it: a new service gets a scheduler without targets
// until then, and one that was withdrawn is in use again.
func (s *Schedulers) Add(table *routing.Table, service *routing.Service) *Scheduler {
	s.mu.Lock()
	defer s.mu.Unlock()
	scheduler := s.add(service)
	if table.Version > s.version {
		scheduler.setWithdrawn(false)
	}
	return scheduler
}

// add is Add. The caller holds s.mu.
func (s *Schedulers) add(service *routing.Service) *Scheduler {
	scheduler := s.schedulers[service.Name]
	if scheduler == nil {
		scheduler = newScheduler(service.Name, service.Engine != nil && service.Engine.MaxReservationLifetime > 0, s.log, s.peers, s.metrics)
		scheduler.setEvacuatedZones(s.evacuated)
		s.schedulers[service.Name] = scheduler
	}
	return scheduler
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

// EndRollout applies the outcome of a rollout to the requests of a service that wait.
func (s *Schedulers) EndRollout(service, version string, rolledBack bool) {
	if scheduler := s.Get(service); scheduler != nil {
		scheduler.endRollout(version, rolledBack)
	}
}

// SetRegions sets the regions of availability zones. They count from the next Update on.
func (s *Schedulers) SetRegions(regions map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regions = regions
}

// Update applies a new configuration and list of targets. The scheduler of a removed service
// stays. While targets of the service are listed as ready, its waiting requests may run there; else
// they are refused.
func (s *Schedulers) Update(table *routing.Table, targets []directory.Target) {
	byService := map[string][]directory.Target{}
	for _, t := range targets {
		byService[t.Service] = append(byService[t.Service], t)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range table.Services {
		s.add(&table.Services[i])
	}
	s.version = table.Version
	s.byTarget = make(map[string]*Scheduler, len(targets))
	for name, scheduler := range s.schedulers {
		for _, t := range byService[name] {
			s.byTarget[t.Key()] = scheduler
		}
		ready := slices.ContainsFunc(byService[name], func(t directory.Target) bool { return !t.Draining })
		scheduler.setWithdrawn(table.Service(name) == nil && !ready)
		if service := table.Service(name); service != nil {
			scheduler.setColdBound(pace.Bound{PerSecond: service.ColdRate, Duration: service.ColdTime})
		}
		scheduler.setTargets(byService[name], s.zone, s.regions)
	}
}
