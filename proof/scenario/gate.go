package scenario

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sardinefront.dev/platform"
)

// delayedCall bounds a store call that goes out after its caller has given up.
const delayedCall = 3 * time.Second

// gate stands between one process of a host and the platform. A closed gate
// lets no further call through, as if the process had crashed; a paused one
// holds calls back and delivers them when it is resumed, also those whose
// callers no longer wait.
type gate struct {
	kv    platform.KV
	hosts platform.EndpointList
	// address maps a target's address to that of the host's relay to it.
	address func(info platform.Endpoint) string
	// storeDown refuses the calls of every host to the store, not to the list.
	storeDown *atomic.Bool

	mu      sync.Mutex
	closed  bool
	resumed chan struct{} // nil unless paused
}

var (
	_ platform.KV           = (*gate)(nil)
	_ platform.EndpointList = (*gate)(nil)
)

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil {
		g.resumed = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

func (g *gate) state() (closed bool, resumed chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed, g.resumed
}

// pass performs a call through the gate. giveUp is the error of a call whose
// caller stops waiting at a paused gate.
func pass[T any](ctx context.Context, g *gate, giveUp error, f func(context.Context) (T, error)) (T, error) {
	var zero T
	closed, resumed := g.state()
	if closed {
		return zero, fmt.Errorf("process ended: %w", platform.ErrUnavailable)
	}
	if resumed == nil {
		return f(ctx)
	}
	type result struct {
		v   T
		err error
	}
	done := make(chan result, 1)
	go func() {
		<-resumed
		if closed, _ := g.state(); closed {
			return
		}
		late, cancel := context.WithTimeout(context.WithoutCancel(ctx), delayedCall)
		defer cancel()
		v, err := f(late)
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		return r.v, r.err
	case <-ctx.Done():
		return zero, fmt.Errorf("process paused: %w", giveUp)
	}
}

// store passes a call to the store.
func store[T any](ctx context.Context, g *gate, giveUp error, f func(context.Context) (T, error)) (T, error) {
	if g.storeDown.Load() {
		var zero T
		return zero, fmt.Errorf("store down: %w", platform.ErrUnavailable)
	}
	return pass(ctx, g, giveUp, f)
}

func noValue(f func(context.Context) error) func(context.Context) (struct{}, error) {
	return func(ctx context.Context) (struct{}, error) { return struct{}{}, f(ctx) }
}

// Get implements platform.KV.
func (g *gate) Get(ctx context.Context, key string) (platform.Entry, error) {
	return store(ctx, g, platform.ErrUnavailable, func(ctx context.Context) (platform.Entry, error) { return g.kv.Get(ctx, key) })
}

// List implements platform.KV.
func (g *gate) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	return store(ctx, g, platform.ErrUnavailable, func(ctx context.Context) ([]platform.Entry, error) { return g.kv.List(ctx, prefix) })
}

// CompareAndSwap implements platform.KV.
func (g *gate) CompareAndSwap(ctx context.Context, key string, value []byte, prev int64, lease platform.LeaseID) (int64, error) {
	return store(ctx, g, platform.ErrOutcomeUnknown, func(ctx context.Context) (int64, error) {
		return g.kv.CompareAndSwap(ctx, key, value, prev, lease)
	})
}

// Delete implements platform.KV.
func (g *gate) Delete(ctx context.Context, key string, prev int64) error {
	_, err := store(ctx, g, platform.ErrOutcomeUnknown, noValue(func(ctx context.Context) error { return g.kv.Delete(ctx, key, prev) }))
	return err
}

// Grant implements platform.KV.
func (g *gate) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return store(ctx, g, platform.ErrOutcomeUnknown, func(ctx context.Context) (platform.LeaseID, error) { return g.kv.Grant(ctx, ttl) })
}

// KeepAlive implements platform.KV.
func (g *gate) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	_, err := store(ctx, g, platform.ErrOutcomeUnknown, noValue(func(ctx context.Context) error { return g.kv.KeepAlive(ctx, id) }))
	return err
}

// Revoke implements platform.KV.
func (g *gate) Revoke(ctx context.Context, id platform.LeaseID) error {
	_, err := store(ctx, g, platform.ErrOutcomeUnknown, noValue(func(ctx context.Context) error { return g.kv.Revoke(ctx, id) }))
	return err
}

// changes is the result of a watch.
type changes struct {
	entries  []platform.Entry
	revision int64
}

// Watch implements platform.KV.
func (g *gate) Watch(ctx context.Context, prefix string, after int64) ([]platform.Entry, int64, error) {
	c, err := store(ctx, g, platform.ErrUnavailable, func(ctx context.Context) (changes, error) {
		es, rev, err := g.kv.Watch(ctx, prefix, after)
		return changes{es, rev}, err
	})
	return c.entries, c.revision, err
}

// Hosts implements platform.Hosts. The addresses of targets are those of the
// host's relays.
func (g *gate) ListEndpoints(ctx context.Context) ([]platform.Endpoint, error) {
	infos, err := pass(ctx, g, platform.ErrUnavailable, func(ctx context.Context) ([]platform.Endpoint, error) { return g.hosts.ListEndpoints(ctx) })
	if err != nil {
		return nil, err
	}
	out := make([]platform.Endpoint, len(infos))
	for i, info := range infos {
		if info.Role == platform.RoleTarget {
			info.Address = g.address(info)
		}
		out[i] = info
	}
	return out, nil
}
