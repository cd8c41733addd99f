package gateway

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/wait"
	"sardinefront.dev/gateway/checkpoint"
	"sardinefront.dev/platform"
)

const (
	// checkpointInterval is how often the leader checks whether a checkpoint is due.
	checkpointInterval = time.Second
	// restoreTimeout is how long a host that has just started tries to read the checkpoint.
	restoreTimeout       = 4 * time.Second
	restoreRetryInterval = 300 * time.Millisecond
	// checkpointTimeout bounds each store call.
	checkpointTimeout = 800 * time.Millisecond
)

// runCheckpoints restores the checkpoint, and then writes checkpoints while this host is
// the leader, until ctx ends.
func (g *Gateway) runCheckpoints(ctx context.Context) {
	revision := g.restoreCheckpoint(ctx)
	var schedule checkpoint.Schedule
	restores := g.storeRestores.Load()
	wait.Every(ctx, checkpointInterval, func(now time.Time) {
		if !g.isLeader(now) {
			return
		}
		if n := g.storeRestores.Load(); n != restores { // the copy holds an older checkpoint, or none
			schedule, restores = checkpoint.Schedule{}, n
		}
		speeds := speedsByHash(g.schedulers.Speeds())
		if schedule.Due(g.quota.CheckpointNeeded(now), len(speeds), now) {
			revision = g.writeCheckpoint(ctx, checkpoint.New(g.quota.Histories(now), speeds, now), revision)
		}
	})
}

// restoreCheckpoint reads and applies the checkpoint and returns its revision, 0 if there
// is none or the store does not respond within restoreTimeout.
func (g *Gateway) restoreCheckpoint(ctx context.Context) int64 {
	for began := time.Now(); time.Since(began) < restoreTimeout && ctx.Err() == nil; time.Sleep(restoreRetryInterval) {
		e, err := g.readCheckpoint(ctx)
		if errors.Is(err, platform.ErrNotFound) {
			return 0
		}
		if err != nil {
			continue
		}
		r, err := checkpoint.Decode(e.Value)
		if err != nil {
			event.CheckpointFailed.Log(g.cfg.Log, slog.Any("error", err))
			return e.Revision
		}
		now := time.Now()
		g.quota.Restore(r.FleetUsage, r.Age(now), checkpointInterval, now)
		g.restoredSpeeds.Store(&r.EventGapsUs)
		g.applyRestoredSpeeds()
		event.CheckpointRestored.Log(g.cfg.Log, slog.Duration("age", r.Age(now)),
			slog.Int("organisations", len(r.FleetUsage)), slog.Int("speeds", len(r.EventGapsUs)))
		return e.Revision
	}
	return 0
}

// applyRestoredSpeeds passes the restored speeds to the schedulers. It is repeated after
// each change of the target list, because schedulers accept speeds only for listed targets.
// Speeds measured since the start are kept.
func (g *Gateway) applyRestoredSpeeds() {
	if speeds := g.restoredSpeeds.Load(); speeds != nil {
		g.schedulers.RestoreSpeeds(g.targetIndex.resolveSpeeds(*speeds))
	}
}

func (g *Gateway) readCheckpoint(ctx context.Context) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	return g.cfg.Records.Get(ctx, g.cfg.CheckpointKey)
}

// writeCheckpoint replaces the checkpoint at the given revision and returns the current
// revision. A failed write is not retried, since the next checkpoint replaces it.
func (g *Gateway) writeCheckpoint(ctx context.Context, r *checkpoint.Record, revision int64) int64 {
	value, err := r.Encode()
	if err != nil {
		event.CheckpointFailed.Log(g.cfg.Log, slog.Any("error", err))
		return revision
	}
	writing, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	next, err := g.cfg.Records.CompareAndSwap(writing, g.cfg.CheckpointKey, value, revision, platform.NoLease)
	if err == nil {
		return next
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown) {
		e, err := g.readCheckpoint(ctx)
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			return e.Revision // 0 if the store has lost it
		}
	}
	return revision
}
