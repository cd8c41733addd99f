package dispatch

import (
	"log/slog"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/upstream"
	"sardinefront.dev/sched/pace"
)

// SetKnownHosts sets the number of hosts that may send to the targets; see
// reserve.Pool.SetKnownHosts.
func (s *Schedulers) SetKnownHosts(n int) {
	s.each(func(_ string, scheduler *Scheduler) { scheduler.pool.SetKnownHosts(n) })
}

func (s *Scheduler) setColdBound(b pace.Bound) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetColdBound(b)
}

// StartSend reports whether a request may be sent to a target now. It must be called immediately
// before each send.
func (s *Scheduler) StartSend(target directory.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.pool.Evacuated(target.Zone) && s.pool.StartSend(target.Key(), time.Now())
}

// recordCold records that a response says that its target is cold. The caller holds s.mu.
func (s *Scheduler) recordCold(o upstream.Observation) {
	s.pool.RecordCold(o.Target, o.ReceivedAt.Add(o.Info.ColdFor))
}

// reportPace logs the targets whose pace has begun or ended, and counts the requests that were held
// back since the last call. The caller holds s.mu.
func (s *Scheduler) reportPace(now time.Time) {
	for _, c := range s.pool.PaceChanges(now) {
		line := event.TargetAtFullPace
		if c.Paced {
			line = event.TargetPaced
		}
		line.Log(s.log, slog.String("service", s.name), slog.String("target", c.Target))
	}
	if n := s.pool.TakeHeldBack(); n > 0 {
		s.metrics.CountPaceHeldBack(s.name, n)
	}
}
