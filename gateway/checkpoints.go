package gateway

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/gateway/checkpoint"
	"sardinefront.dev/platform"
)

const (
	// checkpointEvery is how often the first host looks whether a record is due.
	checkpointEvery = time.Second
	// restoreFor is how long after its start a host tries to read the record.
	restoreFor   = 4 * time.Second
	restoreRetry = 300 * time.Millisecond
	// checkpointTimeout bounds each call of the store.
	checkpointTimeout = 800 * time.Millisecond
)

// keepCheckpoint restores what hosts knew before, and then writes what this one knows
// while it is the first of those alive, until ctx ends.
func (g *Gateway) keepCheckpoint(ctx context.Context) {
	revision := g.restore(ctx)
	t := time.NewTicker(checkpointEvery)
	defer t.Stop()
	var schedule checkpoint.Schedule
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			speeds := shortSpeeds(g.services.Speeds())
			if g.leads(now) && schedule.Due(g.quota.CheckpointNeeded(now), len(speeds), now) {
				revision = g.writeCheckpoint(ctx, checkpoint.New(g.quota.Histories(now), speeds, now), revision)
			}
		}
	}
}

// restore reads the record once and returns its revision, 0 if there is none or the
// store does not answer.
func (g *Gateway) restore(ctx context.Context) int64 {
	for began := time.Now(); time.Since(began) < restoreFor && ctx.Err() == nil; time.Sleep(restoreRetry) {
		e, err := g.readCheckpoint(ctx)
		if errors.Is(err, platform.ErrNotFound) {
			return 0
		}
		if err != nil {
			continue
		}
		r, err := checkpoint.Decode(e.Value)
		if err != nil {
			event.CheckpointRejected.Log(g.cfg.Log, slog.Any("error", err))
			return e.Revision
		}
		now := time.Now()
		g.quota.Restore(r.FleetUsage, r.Age(now), checkpointEvery, now)
		g.restored.Store(&r.EventGapsUs)
		g.seedRestored()
		event.CheckpointRestored.Log(g.cfg.Log, slog.Duration("age", r.Age(now)),
			slog.Int("organisations", len(r.FleetUsage)), slog.Int("speeds", len(r.EventGapsUs)))
		return e.Revision
	}
	return 0
}

// seedRestored hands the restored speeds to the schedulers, which know them only for
// listed targets and keep what they have learned themselves.
func (g *Gateway) seedRestored() {
	if speeds := g.restored.Load(); speeds != nil {
		g.services.Restore(g.names.resolve(*speeds))
	}
}

func (g *Gateway) readCheckpoint(ctx context.Context) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	return g.cfg.Records.Get(ctx, g.cfg.CheckpointKey)
}

// writeCheckpoint writes the record over the given revision and returns the one that
// stands now. A lost write is made good by the next one.
func (g *Gateway) writeCheckpoint(ctx context.Context, r *checkpoint.Record, revision int64) int64 {
	value, err := r.Encode()
	if err != nil {
		event.CheckpointRejected.Log(g.cfg.Log, slog.Any("error", err))
		return revision
	}
	writing, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	next, err := g.cfg.Records.CompareAndSwap(writing, g.cfg.CheckpointKey, value, revision, platform.NoLease)
	if err == nil {
		return next
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown) {
		if e, err := g.readCheckpoint(ctx); err == nil {
			return e.Revision
		}
	}
	return revision
}
