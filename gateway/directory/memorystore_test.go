package directory_test

import (
	"bytes"
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/platform"
)

// memoryStore keeps entries and their history in memory. Its calls fail while down is set.
type memoryStore struct {
	mu        sync.Mutex
	entries   map[string]platform.Entry
	history   []platform.Entry
	compacted int64 // changes up to this revision are not kept
	revision  int64
	down      bool
	lists     int   // calls of Snapshot
	era, seen int64 // the store's, and the newest one in an answer
	copy      *memoryStore
}

// keepCopy keeps a copy of the content for restore.
func (s *memoryStore) keepCopy() {
	s.update(func() {
		s.copy = &memoryStore{entries: maps.Clone(s.entries), history: slices.Clone(s.history), revision: s.revision}
	})
}

// restore replaces the content by the copy, without the entries of targets, whose leases are gone.
func (s *memoryStore) restore() {
	s.update(func() {
		s.entries, s.history, s.revision = maps.Clone(s.copy.entries), slices.Clone(s.copy.history), s.copy.revision
		maps.DeleteFunc(s.entries, func(key string, _ platform.Entry) bool { return strings.HasPrefix(key, testLayout.TargetPrefix) })
		s.era++
	})
}

func (s *memoryStore) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

func newMemoryStore() *memoryStore { return &memoryStore{entries: map[string]platform.Entry{}} }

// update changes the store with its lock held.
func (s *memoryStore) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *memoryStore) write(key, value string, deleted bool) {
	s.update(func() {
		s.revision++
		e := platform.Entry{Key: key, Value: []byte(value), Revision: s.revision, Deleted: deleted}
		s.history = append(s.history, e)
		s.entries[key] = e
		if deleted {
			delete(s.entries, key)
		}
	})
}

func (s *memoryStore) put(key, value string) { s.write(key, value, false) }
func (s *memoryStore) remove(key string)     { s.write(key, "", true) }

func (s *memoryStore) Get(_ context.Context, key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if s.down {
		return e, platform.ErrUnavailable
	}
	if !ok {
		return e, platform.ErrNotFound
	}
	return e, nil
}

func (s *memoryStore) Snapshot(_ context.Context, prefix string) (out []platform.Entry, asOf int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, platform.ErrUnavailable
	}
	s.lists, s.seen = s.lists+1, s.era
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	return out, s.revision, nil
}

func (s *memoryStore) Changes(_ context.Context, _ string, after int64, _ time.Duration) (out []platform.Entry, asOf int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, after, platform.ErrUnavailable
	}
	s.seen = s.era
	switch {
	case after < s.compacted || after > s.revision:
		return nil, after, platform.ErrCompacted
	}
	for _, e := range s.history {
		if e.Revision > after {
			out = append(out, e)
		}
	}
	return out, s.revision, nil
}

// testHost is a directory that runs on a store.
type testHost struct {
	*directory.Directory
	store   *memoryStore
	current routing.ActiveTable
	log     bytes.Buffer
	orders  []platform.Entry // rollout orders and removals in the order of their arrival
	*fakePeers
}

// withHost runs check in virtual time, beside a host that reads the store.
func withHost(t *testing.T, check func(t *testing.T, h *testHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &testHost{store: newMemoryStore(), fakePeers: &fakePeers{}}
		h.store.put("o/config", "1")
		h.store.put("t/i-1", "ready 1")
		h.Directory = newDirectory(h)
		stop := run(t, h.Directory)
		defer stop()
		synctest.Wait()
		check(t, h)
	})
}

// run runs a directory until stop is called.
func run(t *testing.T, d *directory.Directory) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func newDirectory(h *testHost) *directory.Directory {
	layout := testLayout
	layout.DecodeTarget = decode
	d := directory.New(directory.Config{
		Name: "a", Store: h.store, ActiveTable: &h.current, Log: slog.New(slog.NewJSONHandler(&h.log, nil)), OnChange: func() {}, Layout: layout,
		OnRolloutOrder: func(_ string, e platform.Entry, _ time.Duration) { h.orders = append(h.orders, e) },
	})
	d.SetFleet(h.fakePeers)
	return d
}
