package gateway

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"sardinefront.dev/gateway/dispatch"
	"sardinefront.dev/gateway/rollout"
	"sardinefront.dev/platform"
)

// conflictingStore answers the first writes with a conflict, as if another host had just written.
type conflictingStore struct {
	conflicts, writes int
	value             []byte
}

func (s *conflictingStore) Get(context.Context, string) (platform.Entry, error) {
	return platform.Entry{}, platform.ErrNotFound
}

func (s *conflictingStore) CompareAndSwap(_ context.Context, _ string, value []byte, _ int64, _ platform.LeaseID) (int64, error) {
	s.writes++
	if s.writes <= s.conflicts {
		return 0, platform.ErrConflict
	}
	s.value = value
	return int64(s.writes), nil
}

// Guards against an outcome that is written a second late, after the rollout's time limit, because
// another host wrote at the same moment.
func TestOutcomeIsWrittenAtOnceAfterConflict(t *testing.T) {
	store := &conflictingStore{conflicts: 2}
	g := &Gateway{cfg: Config{Records: store, Rollouts: RolloutLayout{
		StatusPrefix: "status/",
		EncodeStatus: func(_ rollout.Order, s rollout.State) ([]byte, error) { return []byte(s.String()), nil },
	}}}
	d := rollout.Decision{Order: rollout.Order{Service: "llm", Version: "v2", Revision: 7}, State: rollout.RolledBack}
	s, err := g.writeStatus(context.Background(), d)
	if err != nil || s != rollout.RolledBack || string(store.value) != rollout.RolledBack.String() {
		t.Errorf("state %v, error %v, stored %q after %d writes", s, err, store.value, store.writes)
	}
}

// failingStore fails the first writes.
type failingStore struct {
	conflictingStore
	failures int
}

func (s *failingStore) CompareAndSwap(ctx context.Context, key string, value []byte, prev int64, lease platform.LeaseID) (int64, error) {
	if s.failures > 0 {
		s.failures--
		return 0, errors.New("connection reset")
	}
	return s.conflictingStore.CompareAndSwap(ctx, key, value, prev, lease)
}

// Guards against an outcome that is written a second late, after the rollout's time limit, because
// one write has failed.
func TestOutcomeIsWrittenAgainSoonAfterFailure(t *testing.T) {
	store := &failingStore{failures: 1}
	g := &Gateway{cfg: Config{Records: store, Log: slog.New(slog.DiscardHandler), Rollouts: RolloutLayout{
		StatusPrefix: "status/",
		EncodeStatus: func(_ rollout.Order, s rollout.State) ([]byte, error) { return []byte(s.String()), nil },
	}}, rollouts: rollout.New("host-1", rollout.Limits{})}
	d := rollout.Decision{Order: rollout.Order{Service: "llm", Version: "v2", Revision: 7}, State: rollout.Done}
	written := map[string]*writtenStatus{}
	now := time.Unix(5000, 0)
	for range 2 {
		g.recordDecision(t.Context(), written, d, now)
		now = now.Add(rolloutDecisionInterval)
	}
	if string(store.value) != rollout.Done.String() {
		t.Errorf("stored %q after %s", store.value, rolloutDecisionInterval)
	}
}

// restartedStore holds the outcome of a rollout that has ended. The first reads fail.
type restartedStore struct {
	conflictingStore
	failures int
}

func (s *restartedStore) Get(_ context.Context, key string) (platform.Entry, error) {
	if s.failures > 0 {
		s.failures--
		return platform.Entry{}, errors.New("connection reset")
	}
	return platform.Entry{Key: key, Revision: 9, Value: []byte(rollout.Done.String())}, nil
}

// Guards against a host that starts a rollout anew, after its restart, because one read of the
// store has failed: it sends nearly all requests to old targets that have stopped.
func TestOutcomeIsReadAgainAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gateway{cfg: Config{Records: &restartedStore{failures: 3}, Log: slog.New(slog.DiscardHandler), Rollouts: RolloutLayout{
			DecodeStatus: func([]byte) (string, rollout.State, error) { return "v2", rollout.Done, nil },
		}}, rollouts: rollout.New("host-1", rollout.Limits{}), schedulers: dispatch.NewSchedulers("z", slog.New(slog.DiscardHandler), nil, nil)}
		o := rollout.Order{Service: "llm", Version: "v2", Duration: time.Minute, Revision: 7}
		g.rollouts.Start(o, 0, time.Now())
		g.recoverRollout(o)
		if share := g.rollouts.Split("llm", time.Now()).Share; share != 1 {
			t.Errorf("share %v of the version of a completed rollout", share)
		}
	})
}

// Guards against a host without observations that keeps its own rollback although the store holds
// the outcome of a host that knew more: its requests would avoid the targets that are left.
func TestUnprovenRollbackYieldsToTheStoredOutcome(t *testing.T) {
	g := &Gateway{cfg: Config{Records: &restartedStore{}, Log: slog.New(slog.DiscardHandler), Rollouts: RolloutLayout{
		DecodeStatus: func([]byte) (string, rollout.State, error) { return "v2", rollout.Done, nil },
	}}, rollouts: rollout.New("host-1", rollout.Limits{}), schedulers: dispatch.NewSchedulers("z", slog.New(slog.DiscardHandler), nil, nil)}
	o, now := rollout.Order{Service: "llm", Version: "v2", Duration: time.Minute, Revision: 7}, time.Now()
	g.rollouts.Start(o, 0, now)
	g.rollouts.RecordElapsed("llm", 7, time.Minute, now)
	for _, d := range g.rollouts.Decide(true, func(string, string) (int, int) { return 2, 1 }, now) {
		g.recordDecision(t.Context(), map[string]*writtenStatus{}, d, now)
	}
	if share := g.rollouts.Split("llm", now).Share; share != 1 {
		t.Errorf("share %v of the version of a completed rollout", share)
	}
}
