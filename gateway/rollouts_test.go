package gateway

import (
	"context"
	"testing"

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
