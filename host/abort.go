package host

import (
	"context"
	"sync/atomic"
	"time"

	"sardinefront.dev/platform"
)

// Abort ends the host as a crash would: it closes all connections, hands nothing over, releases
// no lease and writes nothing more to the store. Demos and scenarios use it to kill a host that
// runs in their own process.
func (h *Host) Abort() {
	h.ready.Store(false)
	h.closableStore.closed.Store(true)
	h.callerListener.Abort()
	h.cancel(nil)
	if h.fleet != nil {
		_ = h.fleet.Abort()
	}
	_ = h.operatorServer.ShutdownWithTimeout(time.Millisecond)
	h.awaitTasks()
}

// closableKV is a store that can be closed. After that every call fails with
// platform.ErrUnavailable without reaching the underlying store.
type closableKV struct {
	kv     platform.KV
	closed atomic.Bool
}

func (s *closableKV) checkOpen() error {
	if s.closed.Load() {
		return platform.ErrUnavailable
	}
	return nil
}

// Get implements platform.KV.
func (s *closableKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.checkOpen(); err != nil {
		return platform.Entry{}, err
	}
	return s.kv.Get(ctx, key)
}

// List implements platform.KV.
func (s *closableKV) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	if err := s.checkOpen(); err != nil {
		return nil, err
	}
	return s.kv.List(ctx, prefix)
}

// CompareAndSwap implements platform.KV.
func (s *closableKV) CompareAndSwap(ctx context.Context, key string, value []byte, prev int64, lease platform.LeaseID) (int64, error) {
	if err := s.checkOpen(); err != nil {
		return 0, err
	}
	return s.kv.CompareAndSwap(ctx, key, value, prev, lease)
}

// Delete implements platform.KV.
func (s *closableKV) Delete(ctx context.Context, key string, prev int64) error {
	if err := s.checkOpen(); err != nil {
		return err
	}
	return s.kv.Delete(ctx, key, prev)
}

// Grant implements platform.KV.
func (s *closableKV) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.checkOpen(); err != nil {
		return platform.NoLease, err
	}
	return s.kv.Grant(ctx, ttl)
}

// KeepAlive implements platform.KV.
func (s *closableKV) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if err := s.checkOpen(); err != nil {
		return err
	}
	return s.kv.KeepAlive(ctx, id)
}

// Revoke implements platform.KV.
func (s *closableKV) Revoke(ctx context.Context, id platform.LeaseID) error {
	if err := s.checkOpen(); err != nil {
		return err
	}
	return s.kv.Revoke(ctx, id)
}

// Watch implements platform.KV.
func (s *closableKV) Watch(ctx context.Context, prefix string, after int64) ([]platform.Entry, int64, error) {
	if err := s.checkOpen(); err != nil {
		return nil, after, err
	}
	return s.kv.Watch(ctx, prefix, after)
}
