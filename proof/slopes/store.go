package slopes

import (
	"context"
	"strings"
	"sync"
	"time"

	"sardinefront.dev/platform"
	"sardinefront.dev/platform/memkv"
)

// storeCalls counts calls of the store.
type storeCalls struct {
	Reads, Writes      int
	BytesIn, BytesOut  int // of values written and of values returned
	LogWrites, Deletes int // included in Writes
}

// countingStore is a store that counts its calls and delays each by a fixed time.
type countingStore struct {
	kv    platform.KV
	delay time.Duration

	mu sync.Mutex
	storeCalls
}

func newCountingStore(now func() time.Time, delay time.Duration) *countingStore {
	return &countingStore{kv: memkv.New(now), delay: delay}
}

// totals returns the counts so far.
func (c *countingStore) totals() storeCalls {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeCalls
}

func (c *countingStore) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeCalls = storeCalls{}
}

func (c *countingStore) count(f func(*storeCalls)) {
	if c.delay > 0 {
		time.Sleep(c.delay)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.storeCalls)
}

// Get implements platform.KV.
func (c *countingStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	e, err := c.kv.Get(ctx, key)
	c.count(func(n *storeCalls) { n.Reads++; n.BytesOut += len(e.Value) })
	return e, err
}

// List implements platform.KV.
func (c *countingStore) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	all, err := c.kv.List(ctx, prefix)
	size := 0
	for _, e := range all {
		size += len(e.Value)
	}
	c.count(func(n *storeCalls) { n.Reads++; n.BytesOut += size })
	return all, err
}

// CompareAndSwap implements platform.KV.
func (c *countingStore) CompareAndSwap(ctx context.Context, key string, value []byte, prev int64, id platform.LeaseID) (int64, error) {
	c.count(func(n *storeCalls) {
		n.Writes++
		n.BytesIn += len(value)
		if strings.Contains(key, "/log/") {
			n.LogWrites++
		}
	})
	return c.kv.CompareAndSwap(ctx, key, value, prev, id)
}

// Delete implements platform.KV.
func (c *countingStore) Delete(ctx context.Context, key string, prev int64) error {
	c.count(func(n *storeCalls) { n.Writes++; n.Deletes++ })
	return c.kv.Delete(ctx, key, prev)
}

// Grant implements platform.KV.
func (c *countingStore) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	c.count(func(n *storeCalls) { n.Writes++ })
	return c.kv.Grant(ctx, ttl)
}

// KeepAlive implements platform.KV.
func (c *countingStore) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	c.count(func(n *storeCalls) { n.Writes++ })
	return c.kv.KeepAlive(ctx, id)
}

// Revoke implements platform.KV.
func (c *countingStore) Revoke(ctx context.Context, id platform.LeaseID) error {
	c.count(func(n *storeCalls) { n.Writes++ })
	return c.kv.Revoke(ctx, id)
}

// Watch implements platform.KV.
func (c *countingStore) Watch(ctx context.Context, prefix string, after int64) ([]platform.Entry, int64, error) {
	all, rev, err := c.kv.Watch(ctx, prefix, after)
	c.count(func(n *storeCalls) { n.Reads++ })
	return all, rev, err
}
