package scenario

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sardinefront.dev/platform"
)

// delayedCallTimeout bounds a call that a paused proxy delivers after it is resumed. The
// context of the caller does not apply, because it may have ended by then.
const delayedCallTimeout = 3 * time.Second

// platformProxy forwards the calls of one process of a host to the platform. Once
// closed, it fails every call, as if the process had crashed. While paused, it
// delays calls and delivers them when it is resumed, even if their callers have
// timed out meanwhile.
type platformProxy struct {
	kv        platform.KV
	endpoints platform.EndpointList
	// relayAddress returns the address of the host's relay to a target.
	relayAddress func(endpoint platform.Endpoint) string
	// storeDown fails the calls of every host to the store, but not those to the
	// host list.
	storeDown *atomic.Bool

	mu      sync.Mutex
	closed  bool
	resumed chan struct{} // nil unless paused
}

var (
	_ platform.KV           = (*platformProxy)(nil)
	_ platform.EndpointList = (*platformProxy)(nil)
)

func (p *platformProxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

func (p *platformProxy) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

func (p *platformProxy) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

func (p *platformProxy) state() (closed bool, resumed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed, p.resumed
}

// forward performs a call unless the proxy is closed. pausedErr is wrapped by the error
// of a call whose context ends while the proxy is paused.
func forward[T any](ctx context.Context, p *platformProxy, pausedErr error, f func(context.Context) (T, error)) (T, error) {
	var zero T
	closed, resumed := p.state()
	if closed {
		return zero, fmt.Errorf("host process has ended: %w", platform.ErrUnavailable)
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
		if closed, _ := p.state(); closed {
			return
		}
		delayedCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), delayedCallTimeout)
		defer cancel()
		v, err := f(delayedCtx)
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		return r.v, r.err
	case <-ctx.Done():
		return zero, fmt.Errorf("host process is paused: %w", pausedErr)
	}
}

// forwardToStore performs a call to the store unless the store is down.
func forwardToStore[T any](ctx context.Context, p *platformProxy, pausedErr error, f func(context.Context) (T, error)) (T, error) {
	if p.storeDown.Load() {
		var zero T
		return zero, fmt.Errorf("store is down: %w", platform.ErrUnavailable)
	}
	return forward(ctx, p, pausedErr, f)
}

func withoutResult(f func(context.Context) error) func(context.Context) (struct{}, error) {
	return func(ctx context.Context) (struct{}, error) { return struct{}{}, f(ctx) }
}

// Get implements platform.KV.
func (p *platformProxy) Get(ctx context.Context, key string) (platform.Entry, error) {
	return forwardToStore(ctx, p, platform.ErrUnavailable, func(ctx context.Context) (platform.Entry, error) { return p.kv.Get(ctx, key) })
}

// List implements platform.KV.
func (p *platformProxy) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	return forwardToStore(ctx, p, platform.ErrUnavailable, func(ctx context.Context) ([]platform.Entry, error) { return p.kv.List(ctx, prefix) })
}

// CompareAndSwap implements platform.KV.
func (p *platformProxy) CompareAndSwap(ctx context.Context, key string, value []byte, prev int64, lease platform.LeaseID) (int64, error) {
	return forwardToStore(ctx, p, platform.ErrOutcomeUnknown, func(ctx context.Context) (int64, error) {
		return p.kv.CompareAndSwap(ctx, key, value, prev, lease)
	})
}

// Delete implements platform.KV.
func (p *platformProxy) Delete(ctx context.Context, key string, prev int64) error {
	_, err := forwardToStore(ctx, p, platform.ErrOutcomeUnknown, withoutResult(func(ctx context.Context) error { return p.kv.Delete(ctx, key, prev) }))
	return err
}

// Grant implements platform.KV.
func (p *platformProxy) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return forwardToStore(ctx, p, platform.ErrOutcomeUnknown, func(ctx context.Context) (platform.LeaseID, error) { return p.kv.Grant(ctx, ttl) })
}

// KeepAlive implements platform.KV.
func (p *platformProxy) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	_, err := forwardToStore(ctx, p, platform.ErrOutcomeUnknown, withoutResult(func(ctx context.Context) error { return p.kv.KeepAlive(ctx, id) }))
	return err
}

// Revoke implements platform.KV.
func (p *platformProxy) Revoke(ctx context.Context, id platform.LeaseID) error {
	_, err := forwardToStore(ctx, p, platform.ErrOutcomeUnknown, withoutResult(func(ctx context.Context) error { return p.kv.Revoke(ctx, id) }))
	return err
}

// watchResult is the result of Watch.
type watchResult struct {
	entries  []platform.Entry
	revision int64
}

// Watch implements platform.KV.
func (p *platformProxy) Watch(ctx context.Context, prefix string, after int64) ([]platform.Entry, int64, error) {
	result, err := forwardToStore(ctx, p, platform.ErrUnavailable, func(ctx context.Context) (watchResult, error) {
		entries, revision, err := p.kv.Watch(ctx, prefix, after)
		return watchResult{entries, revision}, err
	})
	return result.entries, result.revision, err
}

// ListEndpoints implements platform.EndpointList. The addresses of targets are those
// of the host's relays to them.
func (p *platformProxy) ListEndpoints(ctx context.Context) ([]platform.Endpoint, error) {
	endpoints, err := forward(ctx, p, platform.ErrUnavailable, func(ctx context.Context) ([]platform.Endpoint, error) { return p.endpoints.ListEndpoints(ctx) })
	if err != nil {
		return nil, err
	}
	out := make([]platform.Endpoint, len(endpoints))
	for i, endpoint := range endpoints {
		if endpoint.Role == platform.RoleTarget {
			endpoint.Address = p.relayAddress(endpoint)
		}
		out[i] = endpoint
	}
	return out, nil
}
