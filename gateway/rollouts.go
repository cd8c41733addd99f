package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/wait"
	"sardinefront.dev/gateway/rollout"
	"sardinefront.dev/platform"
)

// RecordStore is the part of the store that rollouts and checkpoints use.
type RecordStore interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, prev int64, lease platform.LeaseID) (int64, error)
}

// RolloutLayout defines the store keys of rollouts and the encoding of their values.
type RolloutLayout struct {
	// StatusPrefix plus the service name is the key of a rollout's state.
	StatusPrefix string
	// StartPrefix plus the service name is the key of the time when an order was first
	// received, so that a restarted host can compute how long the rollout has run.
	StartPrefix  string
	DecodeOrder  func(e platform.Entry) (rollout.Order, error)
	EncodeStatus func(o rollout.Order, s rollout.State) ([]byte, error)
	DecodeStatus func(value []byte) (version string, s rollout.State, err error)
}

const (
	// rolloutDecisionInterval is how often the states of rollouts are evaluated.
	rolloutDecisionInterval = 100 * time.Millisecond
	// statusRewriteInterval is how often an unchanged state is written again. An outcome whose
	// write has failed is written again at the next evaluation.
	statusRewriteInterval = time.Second
	// maxConflictRetries bounds the immediate retries of a write. A conflict means that another
	// host has just written, usually the same state.
	maxConflictRetries = 3
	// evidenceLogInterval is how often the evidence of running rollouts is logged.
	evidenceLogInterval = time.Second
	// recoverTimeout bounds each read of the state or start of a rollout, recoverRetryInterval is
	// the delay after a failed one.
	recoverTimeout       = time.Second
	recoverRetryInterval = 500 * time.Millisecond
)

// writtenStatus is the last state that this host wrote for an order.
type writtenStatus struct {
	revision  int64 // of the order
	restores  int64 // of the store before the write
	state     rollout.State
	writtenAt time.Time
	final     bool // the state in the store is final
}

// handleRolloutOrder starts the rollout of a new order, which was written at most age ago, or ends
// it if the order was removed.
func (g *Gateway) handleRolloutOrder(service string, e platform.Entry, age time.Duration) {
	if e.Deleted {
		g.rollouts.Remove(service, e.Revision)
		return
	}
	o, err := g.cfg.Rollouts.DecodeOrder(e)
	if err != nil {
		event.ConfigRejected.Log(g.cfg.Log, slog.Any("error", err))
		return
	}
	if startedAt, ok := g.rollouts.StartedAt(o); ok {
		g.rollouts.Start(o, 0, time.Now())
		g.wg.Go(func() { g.rewriteStart(o, startedAt) })
		return
	}
	g.rollouts.Start(o, age, time.Now())
	event.MoveStarted.Log(g.cfg.Log, slog.String("service", service), slog.String("target", o.Version), slog.Duration("over", o.Duration))
	g.wg.Go(func() { g.recoverRollout(o) })
}

// recoverRollout reads the state and the start time of an order that may be older than this
// process. It repeats failed reads until the rollout has ended: a host that doesn't know them would
// start the rollout anew.
func (g *Gateway) recoverRollout(o rollout.Order) {
	receivedAt := time.Now()
	g.retryWhileRunning(o, func() error {
		if err := g.recoverOutcome(o); err != nil {
			return err
		}
		return g.recoverStart(o, receivedAt)
	})
}

// rewriteStart stores the start of an order again unless the store has kept it. It repeats failed
// writes until the rollout has ended.
func (g *Gateway) rewriteStart(o rollout.Order, startedAt time.Time) {
	g.retryWhileRunning(o, func() error { return g.recoverStart(o, startedAt) })
}

// retryWhileRunning calls step until it succeeds, the rollout has ended or the host stops.
func (g *Gateway) retryWhileRunning(o rollout.Order, step func() error) {
	for g.rollouts.IsRunning(o) && !g.stopping.Load() {
		err := step()
		if err == nil {
			return
		}
		event.MoveStepRetried.Log(g.cfg.Log, slog.String("service", o.Service), slog.Any("error", err))
		time.Sleep(recoverRetryInterval)
	}
}

// isOtherOutcome reports whether a stored status is of the decision's version and has a final state
// other than the decided one.
func (l *RolloutLayout) isOtherOutcome(value []byte, d rollout.Decision) bool {
	version, s, err := l.DecodeStatus(value)
	return err == nil && version == d.Order.Version && s != rollout.Running && s != d.State
}

// handleStoreRestored voids what this host remembers of the store's revisions.
func (g *Gateway) handleStoreRestored() {
	g.rollouts.StoreRestored()
	g.storeRestores.Add(1)
}

// recoverOutcome records the final state that the store holds of an order.
func (g *Gateway) recoverOutcome(o rollout.Order) error {
	ctx, cancel := context.WithTimeout(context.Background(), recoverTimeout)
	defer cancel()
	e, err := g.cfg.Records.Get(ctx, g.cfg.Rollouts.StatusPrefix+o.Service)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read the state of the rollout: %w", err)
	}
	version, s, err := g.cfg.Rollouts.DecodeStatus(e.Value)
	if err == nil && e.Revision > o.Revision && version == o.Version {
		g.rollouts.SetOutcome(o.Service, o.Revision, s, "final state read from the store")
		g.applyOutcomes()
	}
	return nil // an unreadable state is replaced when this host writes one
}

// recoverStart records the time since the start of an order, or stores receivedAt as the start if
// the store holds none.
func (g *Gateway) recoverStart(o rollout.Order, receivedAt time.Time) error {
	ctx, cancel := context.WithTimeout(context.Background(), recoverTimeout)
	defer cancel()
	key := g.cfg.Rollouts.StartPrefix + o.Service
	e, err := g.cfg.Records.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return fmt.Errorf("read the start of the rollout: %w", err)
	}
	now := time.Now()
	if err == nil && e.Revision > o.Revision {
		if elapsed, ok := rollout.ParseStart(e.Value, now); ok {
			g.rollouts.RecordElapsed(o.Service, o.Revision, elapsed, now)
			return nil
		}
	}
	_, err = g.cfg.Records.CompareAndSwap(ctx, key, rollout.FormatStart(receivedAt), e.Revision, platform.NoLease)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return fmt.Errorf("write the start of the rollout: %w", err)
	}
	return nil // after a conflict, another host has written the start; either time is accurate enough
}

// runRollouts evaluates the rollouts and writes their states until ctx ends.
func (g *Gateway) runRollouts(ctx context.Context) {
	written := map[string]*writtenStatus{}
	loggedAt := time.Time{}
	wait.Every(ctx, rolloutDecisionInterval, func(now time.Time) {
		decisions := g.rollouts.Decide(g.isLeader(now), g.targetCount, now)
		g.applyOutcomes() // a write may take seconds
		for _, d := range decisions {
			g.recordDecision(ctx, written, d, now)
		}
		if now.Sub(loggedAt) >= evidenceLogInterval {
			g.logEvidence()
			loggedAt = now
		}
	})
}

// applyOutcomes applies the outcomes that this host knows to the requests that wait for a target.
func (g *Gateway) applyOutcomes() {
	for service, split := range g.rollouts.Outcomes() {
		g.schedulers.EndRollout(service, split.Version, split.RolledBack)
	}
}

// logEvidence logs the comparison of the versions' speeds for all running rollouts.
func (g *Gateway) logEvidence() {
	for service, e := range g.rollouts.Evidence() {
		event.MoveEvidence.Log(g.cfg.Log, slog.String("service", service), slog.Float64("logRatio", e.LogRatio), slog.Float64("factor", e.Factor),
			slog.Int("oldTargets", e.OldTargets), slog.Int("newTargets", e.NewTargets), slog.Uint64("oldSamples", e.OldSamples), slog.Uint64("newSamples", e.NewSamples))
	}
}

// isLeader reports whether this host has the lowest name of all live hosts that are not
// stopping. Two hosts may both be leader for a short time.
func (g *Gateway) isLeader(now time.Time) bool {
	for _, p := range g.mesh.Alive(now) {
		if p.Name < g.cfg.Settings.Host.Name && !p.Stopping {
			return false
		}
	}
	return true
}

// targetCount returns the number of listed targets of a service, and of those that serve the
// version.
func (g *Gateway) targetCount(service, version string) (all, ofVersion int) {
	for _, t := range g.dir.Targets() {
		if t.Service != service {
			continue
		}
		all++
		if t.Version == version {
			ofVersion++
		}
	}
	return all, ofVersion
}

// recordDecision writes the decided state to the store unless it was written recently, and
// settles the rollout once its state is final.
func (g *Gateway) recordDecision(ctx context.Context, written map[string]*writtenStatus, d rollout.Decision, now time.Time) {
	w := written[d.Order.Service]
	restores := g.storeRestores.Load()
	if w == nil || w.revision != d.Order.Revision || w.restores != restores {
		w = &writtenStatus{revision: d.Order.Revision, restores: restores}
		written[d.Order.Service] = w
	}
	if w.final || w.state == d.State && now.Sub(w.writtenAt) < statusRewriteInterval {
		return
	}
	w.state, w.writtenAt = d.State, now
	s, err := g.writeStatus(ctx, d)
	if err != nil {
		if d.State != rollout.Running {
			w.writtenAt = time.Time{} // an outcome is due before the rollout's time limit
		}
		event.MoveStepRetried.Log(g.cfg.Log, slog.String("service", d.Order.Service), slog.Any("error", err))
		return
	}
	if s == rollout.Running || g.storeRestores.Load() != restores {
		return // the write may be lost
	}
	w.final = true
	g.rollouts.SetOutcome(d.Order.Service, d.Order.Revision, s, d.Reason)
	g.applyOutcomes()
	if d.Repeated {
		return
	}
	ended := event.MoveCompleted
	if s == rollout.RolledBack {
		ended = event.MoveRolledBack
	}
	ended.Log(g.cfg.Log, slog.String("service", d.Order.Service), slog.String("target", d.Order.Version), slog.String("why", d.Reason))
	g.SendHeartbeat()
}

// writeStatus calls putStatus again at once after a conflict: at the end of a rollout, no time is
// left to wait for the next rewrite.
func (g *Gateway) writeStatus(ctx context.Context, d rollout.Decision) (rollout.State, error) {
	s, err := g.putStatus(ctx, d)
	for i := 0; i < maxConflictRetries && errors.Is(err, platform.ErrConflict); i++ {
		s, err = g.putStatus(ctx, d)
	}
	return s, err
}

// putStatus writes the state with compare-and-swap and returns the state in the store. It
// never replaces a final state of the same order, so that a version that one host has
// rolled back is not reported as done by another host.
func (g *Gateway) putStatus(ctx context.Context, d rollout.Decision) (rollout.State, error) {
	l := g.cfg.Rollouts
	key := l.StatusPrefix + d.Order.Service
	e, err := g.cfg.Records.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return rollout.Running, err
	}
	if err == nil && e.Revision > d.Order.Revision && d.Order.Revision > 0 {
		version, s, err := l.DecodeStatus(e.Value)
		if err == nil && version == d.Order.Version && (s != rollout.Running || s == d.State) {
			return s, nil
		}
	}
	if err == nil && d.Order.Revision == 0 && l.isOtherOutcome(e.Value, d) {
		return rollout.Running, nil // until the order's new revision tells whether the state is of an earlier order
	}
	value, err := l.EncodeStatus(d.Order, d.State)
	if err != nil {
		return rollout.Running, err
	}
	if _, err := g.cfg.Records.CompareAndSwap(ctx, key, value, e.Revision, platform.NoLease); err != nil {
		return rollout.Running, err
	}
	return d.State, nil
}
