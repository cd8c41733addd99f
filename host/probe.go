package host

import (
	"context"
	"time"

	"sardinefront.dev/sched/pool"
	"sardinefront.dev/target"
)

// probeTimeout bounds a probe. A later load report would be outdated.
const probeTimeout = time.Second

// probe fetches the load report and the cache events of an engine in the background. At most one
// probe of a target runs at a time.
func (h *Host) probe(runner *poolRunner, name string, b backend) {
	e, ok := b.(engineBackend)
	if !ok || !runner.beginProbe(name) {
		return
	}
	h.tasks.Go(func() {
		defer runner.endProbe(name)
		ctx, cancel := context.WithTimeout(h.ctx, probeTimeout)
		defer cancel()
		h.fetchLoadReport(ctx, runner, name, e)
		h.fetchCacheEvents(ctx, runner, name, e)
	})
}

func (h *Host) fetchLoadReport(ctx context.Context, runner *poolRunner, name string, e engineBackend) {
	requestedAt := time.Now()
	r, err := e.LoadReport(ctx)
	if err != nil {
		return
	}
	h.updateVersion(runner, name, r.Version)
	runner.scheduler.RecordLoadReport(name, pool.LoadReport{Running: r.Running, Queued: r.Waiting, Tokens: r.RemainingTokens, MeasuredAt: requestedAt}, time.Now())
}

// updateVersion requests an update of the targets if the target's version has changed.
func (h *Host) updateVersion(runner *poolRunner, name, version string) {
	if runner.recordVersion(name, version) {
		h.requestTargetUpdate()
	}
}

func (h *Host) fetchCacheEvents(ctx context.Context, runner *poolRunner, name string, e engineBackend) {
	after := runner.cacheSequence(name)
	events, err := e.CacheEvents(ctx, after)
	if err != nil || len(events) == 0 {
		return
	}
	runner.scheduler.RecordCacheEvents(name, cacheEvents(events), hasGap(after, events), time.Now())
	runner.setCacheSequence(name, events[len(events)-1].Sequence)
}

func cacheEvents(events []target.CacheEvent) []pool.CacheEvent {
	converted := make([]pool.CacheEvent, len(events))
	for i, e := range events {
		converted[i] = pool.CacheEvent{Prefix: e.Prefix, Stored: !e.Evicted}
	}
	return converted
}

// hasGap reports whether any events after sequence number after are missing from events.
func hasGap(after int64, events []target.CacheEvent) bool {
	last := after
	for _, e := range events {
		if e.Sequence != last+1 {
			return true
		}
		last = e.Sequence
	}
	return false
}

// probeState holds the state of the probes of one target.
type probeState struct {
	inFlight bool
	// cacheSequence is the sequence number of the last received cache event.
	cacheSequence int64
}

// probeStateOf returns the state of a target's probes. p.mu must be held.
func (p *poolRunner) probeStateOf(name string) *probeState {
	s, ok := p.probes[name]
	if !ok {
		s = &probeState{}
		p.probes[name] = s
	}
	return s
}

// beginProbe reports whether no probe of the target is in flight, and marks one as such.
func (p *poolRunner) beginProbe(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.probeStateOf(name)
	if s.inFlight {
		return false
	}
	s.inFlight = true
	return true
}

func (p *poolRunner) endProbe(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probeStateOf(name).inFlight = false
}

func (p *poolRunner) cacheSequence(name string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.probeStateOf(name).cacheSequence
}

func (p *poolRunner) setCacheSequence(name string, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probeStateOf(name).cacheSequence = n
}
