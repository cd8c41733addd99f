package host

import (
	"context"
	"time"

	"sardinefront.dev/sched/pool"
	"sardinefront.dev/target"
)

// probeTimeout bounds the wait for a load report. A late one says little.
const probeTimeout = time.Second

// probe asks an engine for its load and its cache events. At most one probe
// of a target is under way.
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
	r, err := e.Report(ctx)
	if err != nil {
		return
	}
	h.updateVersion(runner, name, r.Version)
	runner.sched.RecordLoadReport(name, pool.LoadReport{Running: r.Running, Queued: r.Waiting, Tokens: r.Tokens, MeasuredAt: requestedAt}, time.Now())
}

// noteVersion updates the pool's targets if a target serves another version
// than before.
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
	runner.sched.RecordCacheEvents(name, cacheEvents(events), hasGap(after, events), time.Now())
	runner.setCacheSequence(name, events[len(events)-1].Sequence)
}

func cacheEvents(events []target.CacheEvent) []pool.CacheEvent {
	converted := make([]pool.CacheEvent, len(events))
	for i, e := range events {
		converted[i] = pool.CacheEvent{Prefix: e.Prefix, Stored: !e.Evicted}
	}
	return converted
}

// hasGap reports whether events were lost between or before the given ones.
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

// probeState is the progress of probes of one target.
type probeState struct {
	inFlight      bool
	cacheSequence int64
}

func (p *poolRunner) probeStateOf(name string) *probeState {
	s, ok := p.probes[name]
	if !ok {
		s = &probeState{}
		p.probes[name] = s
	}
	return s
}

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
