package dispatch

import (
	"log/slog"
	"net/http"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/upstream"
	"sardinefront.dev/sched/drain"
	"sardinefront.dev/sched/reserve"
)

// Metrics counts targets that are closed or held back, and statements of targets that are ignored.
type Metrics interface {
	// CountTargetClosed counts a target that gets no requests any more, by reason.
	CountTargetClosed(service, reason string)
	// CountRetryAfterRejected counts an ignored Retry-After of a target.
	CountRetryAfterRejected(service string)
	// CountUnreadableLoad counts a load report that could not be read.
	CountUnreadableLoad(service string)
	// CountPaceHeldBack counts how often a target was passed over because of its pace.
	CountPaceHeldBack(service string, n int)
}

// RecordResponse merges what a response says about its target: its load, that it is leaving, or
// that it wants no requests from this host for some time.
func (s *Schedulers) RecordResponse(o upstream.Observation) {
	s.mu.Lock()
	scheduler := s.byTarget[o.Target]
	s.mu.Unlock()
	if scheduler != nil {
		scheduler.recordResponse(o)
	}
}

func (s *Scheduler) recordResponse(o upstream.Observation) {
	if o.Info.Misdirected {
		return // the response is of another instance at the address
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := o.SentAt // see drain.Report.At
	if o.Info.Leaving {
		at = o.ReceivedAt
	}
	if c, changed := s.pool.RecordLeaving(o.Target, drain.FromResponse, o.Info.Leaving, at); changed {
		s.recordClosure(c, o.ReceivedAt)
		s.peers.SendHeartbeat()
		s.dispatch(o.ReceivedAt)
	}
	if o.Status == http.StatusServiceUnavailable && o.Info.RetryAfter != "" {
		s.recordRetryAfter(o)
	}
	if o.Info.ColdFor > 0 {
		s.recordCold(o)
	}
	s.recordLoad(o)
}

// recordLoad records the load report of a response. The caller holds s.mu.
func (s *Scheduler) recordLoad(o upstream.Observation) {
	if l := o.Info.Load; l != nil && !o.SentAt.IsZero() {
		s.pool.RecordLoad(o.Target, l.Running, l.Waiting, l.Slots, l.WorkTime, o.ReceivedAt)
	}
	if o.Info.UnreadableLoad == "" {
		return
	}
	s.metrics.CountUnreadableLoad(s.name)
	if !s.unreadableLoads[o.Target] {
		s.unreadableLoads[o.Target] = true
		event.LoadReportUnreadable.Log(s.log, slog.String("service", s.name), slog.String("target", o.Target), slog.String("value", o.Info.UnreadableLoad))
	}
}

// recordRetryAfter starts the back-off that a response asks for. The caller holds s.mu.
func (s *Scheduler) recordRetryAfter(o upstream.Observation) {
	sentAt := o.Info.Date
	if sentAt.IsZero() {
		sentAt = o.ReceivedAt
	}
	d, err := drain.ParseRetryAfter(o.Info.RetryAfter, sentAt)
	if err != nil {
		s.metrics.CountRetryAfterRejected(s.name)
		event.RetryAfterRejected.Log(s.log, slog.String("service", s.name), slog.String("target", o.Target), slog.String("value", o.Info.RetryAfter), slog.Any("error", err))
		return
	}
	if c, changed := s.pool.RecordBackOff(o.Target, d, o.ReceivedAt); changed {
		s.recordClosure(c, o.ReceivedAt)
	}
}

// recordClosure logs that a target was closed or reopened, and counts closures. The caller holds
// s.mu.
func (s *Scheduler) recordClosure(c reserve.ClosureChange, now time.Time) {
	t := s.targets[c.Target]
	line := event.TargetReopened
	attrs := []slog.Attr{
		slog.String("service", s.name), slog.String("target", t.ID), slog.String("instance", c.Target), slog.String("source", c.Source.String()),
		slog.Duration("age", now.Sub(c.At)),
	}
	if c.Closure != drain.Open {
		line = event.TargetClosed
		attrs = append(attrs, slog.String("reason", c.Closure.String()))
		s.metrics.CountTargetClosed(s.name, c.Closure.String())
	}
	if c.Closure == drain.BackedOff {
		attrs = append(attrs, slog.Duration("for", c.Until.Sub(now)))
	}
	line.Log(s.log, attrs...)
}

// MaySend reports whether a granted request may go on at a target, which may have been closed or
// have become cold since the grant. The zone of a target counts also after its removal from the
// list.
func (s *Scheduler) MaySend(target directory.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.pool.Evacuated(target.Zone) && s.pool.MaySend(target.Key(), time.Now())
}

// IsOpen reports whether a target is neither leaving, evacuated nor in a back-off. Unlike MaySend, it
// doesn't ask whether a cold target may get one more request.
func (s *Scheduler) IsOpen(target directory.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.pool.Evacuated(target.Zone) && s.pool.Closure(target.Key(), time.Now()) == drain.Open
}

// SetEvacuatedZones sets the availability zones whose targets get nothing.
func (s *Schedulers) SetEvacuatedZones(zones reserve.Zones) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated = zones
	for _, scheduler := range s.schedulers {
		scheduler.setEvacuatedZones(zones)
	}
}

func (s *Scheduler) setEvacuatedZones(zones reserve.Zones) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.pool.SetEvacuatedZones(zones, now) {
		s.dispatch(now)
	}
}

// LeavingSince returns the targets whose responses to this host have stated, at or after the given
// time, that they are leaving.
func (s *Schedulers) LeavingSince(since time.Time) []reserve.Leaving {
	var out []reserve.Leaving
	s.each(func(_ string, scheduler *Scheduler) {
		out = append(out, scheduler.pool.LeavingSince(since)...)
	})
	return out
}

// RecordPeerLeaving records the targets that a peer knows to be leaving.
func (s *Schedulers) RecordPeerLeaving(targets []reserve.Leaving, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range targets {
		if scheduler := s.byTarget[l.Target]; scheduler != nil {
			scheduler.recordPeerLeaving(l, now)
		}
	}
}

func (s *Scheduler) recordPeerLeaving(l reserve.Leaving, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, changed := s.pool.RecordLeaving(l.Target, drain.FromPeer, true, l.At); changed {
		s.recordClosure(c, now)
	}
}
