package simulate

import (
	"context"
	"fmt"
	"time"

	"sardinefront.dev/fleet/config"
	"sardinefront.dev/platform"
	"sardinefront.dev/platform/memkv"
)

// Store is the simulated key-value service.
type Store struct {
	// Down makes every call fail.
	Down bool
	// LostAnswers is the share of an operator's writes whose answer is lost
	// although the write takes effect; LostRequests of those that are lost
	// themselves; LateRequests of those that take effect up to a second after
	// the operator has given up on them.
	LostAnswerRate, LostRequestRate, LateRequestRate float64
	// DownAfterLost is the share of these faults that begin an outage of up to
	// 10 s.
	OutageRate float64

	// Accepted holds every value that config.Key ever had, in order.
	Accepted []config.RulesFile
	Reads    int
	Writes   int

	world *World
	kv    *memkv.Store
}

func newStore(w *World) *Store {
	return &Store{world: w, kv: memkv.New(func() time.Time { return w.Now })}
}

// storeDelay is the time of one call.
func storeDelay(w *World) time.Duration {
	return time.Millisecond + time.Duration(w.rnd.Int64N(int64(9*time.Millisecond)))
}

// value returns the rules file in the store and its revision.
func (s *Store) value() (config.RulesFile, int64) {
	e, err := s.kv.Get(context.Background(), config.RulesKey)
	if err != nil {
		return config.RulesFile{}, 0
	}
	v, err := config.DecodeRulesFile(e.Value)
	if err != nil {
		panic(err)
	}
	return v, e.Revision
}

// read is a host's Get. Nothing comes back from a store that is down.
func (s *Store) read(h *Host, done func(config.RulesFile, int64)) {
	s.Reads++
	if s.Down || h.StoreBlocked {
		return
	}
	v, revision := s.value()
	h.later(storeDelay(s.world), func() { done(v, revision) })
}

// Snapshot copies the store's state.
func (s *Store) Snapshot() []platform.Entry {
	all, err := s.kv.List(context.Background(), "")
	if err != nil {
		panic(err)
	}
	return all
}

// SetBack replaces the store by one with an earlier state, as when a backup is
// restored. Revisions start again.
func (s *Store) RestoreSnapshot(to []platform.Entry) {
	w := s.world
	s.kv = memkv.New(func() time.Time { return w.Now })
	for _, e := range to {
		if _, err := s.kv.CompareAndSwap(context.Background(), e.Key, e.Value, 0, platform.NoLease); err != nil {
			panic(err)
		}
	}
}

// apply is a write that reaches the store.
func (s *Store) apply(key string, value []byte, prev int64) (int64, error) {
	s.Writes++
	revision, err := s.kv.CompareAndSwap(context.Background(), key, value, prev, platform.NoLease)
	if err != nil || key != config.RulesKey {
		return revision, err
	}
	v, _ := s.value()
	s.Accepted = append(s.Accepted, v)
	for _, h := range s.world.Hosts {
		h.changed(v, revision)
	}
	return revision, nil
}

func (s *Store) outage() {
	if s.world.rnd.Float64() >= s.OutageRate {
		return
	}
	s.Down = true
	s.world.Schedule(time.Duration(s.world.rnd.Int64N(int64(10*time.Second))), func() { s.Down = false })
}

// client is an operator's view of the store. wait lets virtual time pass; it
// returns false when the operator's process is to end.
type client struct {
	platform.KV // the methods that an operator does not use
	store       *Store
	wait        func(time.Duration) bool
}

// step is the time of one call. It reports whether the store is reachable.
func (c *client) step() error {
	if !c.wait(storeDelay(c.store.world)) {
		return context.Canceled
	}
	if c.store.Down {
		return fmt.Errorf("simulated: %w", platform.ErrUnavailable)
	}
	return nil
}

// Get implements platform.KV.
func (c *client) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := c.step(); err != nil {
		return platform.Entry{}, err
	}
	c.store.Reads++
	return c.store.kv.Get(ctx, key)
}

// Delete implements platform.KV.
func (c *client) Delete(ctx context.Context, key string, prev int64) error {
	if err := c.step(); err != nil {
		return err
	}
	c.store.Writes++
	return c.store.kv.Delete(ctx, key, prev)
}

// CompareAndSwap implements platform.KV.
func (c *client) CompareAndSwap(_ context.Context, key string, value []byte, prev int64, _ platform.LeaseID) (int64, error) {
	if err := c.step(); err != nil {
		return 0, err
	}
	s := c.store
	chance := s.world.rnd.Float64()
	lost := fmt.Errorf("simulated: %w", platform.ErrOutcomeUnknown)
	if chance < s.LostAnswerRate+s.LostRequestRate+s.LateRequestRate {
		defer s.outage()
	}
	switch {
	case chance < s.LostAnswerRate:
		_, _ = s.apply(key, value, prev)
		return 0, lost
	case chance < s.LostAnswerRate+s.LostRequestRate:
		return 0, lost
	case chance < s.LostAnswerRate+s.LostRequestRate+s.LateRequestRate:
		kv := s.kv
		s.world.Schedule(time.Duration(s.world.rnd.Int64N(int64(time.Second))), func() {
			if s.kv == kv { // a write does not outlive the service it was sent to
				_, _ = s.apply(key, value, prev)
			}
		})
		return 0, lost
	}
	return s.apply(key, value, prev)
}
