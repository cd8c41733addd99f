package gateway

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

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
