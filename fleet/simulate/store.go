package simulate

import (
	"context"
	"fmt"
	"time"

	"sardinefront.dev/fleet/config"
	"sardinefront.dev/platform"
	"sardinefront.dev/platform/memkv"
)

// Store is the simulated key-value store.
type Store struct {
	// Down makes every call fail.
	Down bool
	// LostResponseRate is the fraction of an operator's writes that take effect but
	// whose response is lost. LostRequestRate is the fraction of writes that are lost.
	// LateRequestRate is the fraction of writes that take effect up to one second
	// after the operator's call has failed.
	LostResponseRate, LostRequestRate, LateRequestRate float64
	// OutageRate is the fraction of these faults that are followed by an outage of
	// up to 10 s.
	OutageRate float64

	// Accepted holds every rules file that config.RulesKey ever had, in order.
	Accepted []config.RulesFile
	Reads    int
	Writes   int

	world *World
	kv    *memkv.Store
}

func newStore(w *World) *Store {
	return &Store{world: w, kv: memkv.New(func() time.Time { return w.Now })}
}

// storeLatency returns the duration of one call, 1 to 10 ms.
func storeLatency(w *World) time.Duration {
	return time.Millisecond + time.Duration(w.rnd.Int64N(int64(9*time.Millisecond)))
}

// rulesFile returns the rules file in the store and its revision, or zero values if there
// is none.
func (s *Store) rulesFile() (config.RulesFile, int64) {
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

// read is a host's read of the rules file. done is not called if the store is down or
// blocked for the host.
func (s *Store) read(h *Host, done func(config.RulesFile, int64)) {
	s.Reads++
	if s.Down || h.StoreBlocked {
		return
	}
	v, revision := s.rulesFile()
	h.schedule(storeLatency(s.world), func() { done(v, revision) })
}

// Snapshot returns a copy of the store's entries.
func (s *Store) Snapshot() []platform.Entry {
	all, err := s.kv.List(context.Background(), "")
	if err != nil {
		panic(err)
	}
	return all
}

// RestoreSnapshot replaces the store by one with the entries of an earlier snapshot, as
// when a backup is restored. Revisions start again.
func (s *Store) RestoreSnapshot(snapshot []platform.Entry) {
	w := s.world
	s.kv = memkv.New(func() time.Time { return w.Now })
	for _, e := range snapshot {
		if _, err := s.kv.CompareAndSwap(context.Background(), e.Key, e.Value, 0, platform.NoLease); err != nil {
			panic(err)
		}
	}
}

// apply performs a write that reaches the store and notifies the watching hosts.
func (s *Store) apply(key string, value []byte, prev int64) (int64, error) {
	s.Writes++
	revision, err := s.kv.CompareAndSwap(context.Background(), key, value, prev, platform.NoLease)
	if err != nil || key != config.RulesKey {
		return revision, err
	}
	v, _ := s.rulesFile()
	s.Accepted = append(s.Accepted, v)
	for _, h := range s.world.Hosts {
		h.storeChanged(v, revision)
	}
	return revision, nil
}

// maybeStartOutage starts an outage with a probability of OutageRate.
func (s *Store) maybeStartOutage() {
	if s.world.rnd.Float64() >= s.OutageRate {
		return
	}
	s.Down = true
	s.world.Schedule(time.Duration(s.world.rnd.Int64N(int64(10*time.Second))), func() { s.Down = false })
}

// operatorKV is the store as accessed by an operator. wait advances virtual time; it
// returns false if the operator's process must end.
type operatorKV struct {
	platform.KV // nil, for the methods that an operator does not call
	store       *Store
	wait        func(time.Duration) bool
}

// beginCall waits for the latency of a call. It returns an error if the store is down or
// the process must end.
func (c *operatorKV) beginCall() error {
	if !c.wait(storeLatency(c.store.world)) {
		return context.Canceled
	}
	if c.store.Down {
		return fmt.Errorf("simulated: %w", platform.ErrUnavailable)
	}
	return nil
}

// Get implements platform.KV.
func (c *operatorKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := c.beginCall(); err != nil {
		return platform.Entry{}, err
	}
	c.store.Reads++
	return c.store.kv.Get(ctx, key)
}

// Delete implements platform.KV.
func (c *operatorKV) Delete(ctx context.Context, key string, prev int64) error {
	if err := c.beginCall(); err != nil {
		return err
	}
	c.store.Writes++
	return c.store.kv.Delete(ctx, key, prev)
}

// CompareAndSwap implements platform.KV.
func (c *operatorKV) CompareAndSwap(_ context.Context, key string, value []byte, prev int64, _ platform.LeaseID) (int64, error) {
	if err := c.beginCall(); err != nil {
		return 0, err
	}
	s := c.store
	draw := s.world.rnd.Float64()
	lost := fmt.Errorf("simulated: %w", platform.ErrOutcomeUnknown)
	if draw < s.LostResponseRate+s.LostRequestRate+s.LateRequestRate {
		defer s.maybeStartOutage()
	}
	switch {
	case draw < s.LostResponseRate:
		_, _ = s.apply(key, value, prev)
		return 0, lost
	case draw < s.LostResponseRate+s.LostRequestRate:
		return 0, lost
	case draw < s.LostResponseRate+s.LostRequestRate+s.LateRequestRate:
		kv := s.kv
		s.world.Schedule(time.Duration(s.world.rnd.Int64N(int64(time.Second))), func() {
			if s.kv == kv { // a replaced store does not apply delayed writes
				_, _ = s.apply(key, value, prev)
			}
		})
		return 0, lost
	}
	return s.apply(key, value, prev)
}
