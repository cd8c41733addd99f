package fleet

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/peer"
	"sardinefront.dev/platform"
	"sardinefront.dev/platform/memkv"
)

// switchableKV is a store that can be made unavailable or replaced by another one.
type switchableKV struct {
	platform.KV
	mu     sync.Mutex
	active platform.KV
	down   atomic.Bool
}

func (s *switchableKV) current() (platform.KV, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down.Load() {
		return nil, fmt.Errorf("test: %w", platform.ErrUnavailable)
	}
	return s.active, nil
}

func (s *switchableKV) replace(kv platform.KV) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = kv
}

func (s *switchableKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	kv, err := s.current()
	if err != nil {
		return platform.Entry{}, err
	}
	return kv.Get(ctx, key)
}

func (s *switchableKV) Watch(ctx context.Context, prefix string, after int64) ([]platform.Entry, int64, error) {
	kv, err := s.current()
	if err != nil {
		return nil, 0, err
	}
	return kv.Watch(ctx, prefix, after)
}

// lockedBuffer collects log lines from concurrent writers.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) count(event int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), fmt.Sprintf("event=%d", event))
}

// Guards the store loop of a watching host: it logs an outage and its end once
// each and receives later changes. A store that is replaced by an older one, with
// lower revisions, must be detected, its file rejected, and that logged once.
func TestStoreOutageAndRollback(t *testing.T) {
	files, err := peer.WriteDevKeys(t.TempDir(), time.Hour, "h0")
	if err != nil {
		t.Fatal(err)
	}
	first, older := memkv.New(time.Now), memkv.New(time.Now)
	kv := &switchableKV{active: first}
	var log lockedBuffer
	n, err := New(Config{
		Name: "h0", Zone: "z0", Address: "127.0.0.1:0", Incarnation: 1, KV: kv, HostList: &hostList{},
		TLS: files["h0"], WatchTimeout: 50 * time.Millisecond, Logger: slog.New(slog.NewTextHandler(&log, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Stop() })
	c := &cluster{nodes: []*Node{n}}
	push := func(to platform.KV, base int64) {
		t.Helper()
		if _, err := config.Push(t.Context(), to, []byte("serve lyn-llm version 7 # Kari\n"), "Kari", "change", base); err != nil {
			t.Fatal(err)
		}
	}
	active := func(number int64) func(int) bool {
		return func(int) bool { return n.ConfigStatus().ActiveNumber == number }
	}
	push(first, 0)
	c.eventually(t, "first file active", active(1))
	kv.down.Store(true)
	c.eventually(t, "outage logged", func(int) bool { return log.count(603) == 1 })
	push(first, 1)
	kv.down.Store(false)
	c.eventually(t, "file pushed during the outage active", active(2))
	push(older, 0)
	kv.replace(older)
	c.eventually(t, "older store logged", func(int) bool { return n.ConfigStatus().StoreNumber == 1 && log.count(602) == 1 })
	time.Sleep(300 * time.Millisecond) // six more reads
	if s := n.ConfigStatus(); s.ActiveNumber != 2 || log.count(602) != 1 || log.count(603) != 1 || log.count(604) != 1 {
		t.Errorf("active %d; events 602: %d, 603: %d, 604: %d", s.ActiveNumber, log.count(602), log.count(603), log.count(604))
	}
	if _, err := config.Restore(t.Context(), older, n.LatestRules(), "Kari", "after the backup"); err != nil {
		t.Fatal(err)
	}
	c.eventually(t, "restored file active", active(3))
	if s := n.ConfigStatus(); s.StoreNumber != 0 {
		t.Errorf("store number %d after the restore", s.StoreNumber)
	}
}

// Guards against a rules file that cannot be read and that is logged at each read of the store,
// and against a host that stops following the store because of it.
func TestUnreadableRulesFileIsLoggedOnce(t *testing.T) {
	files, err := peer.WriteDevKeys(t.TempDir(), time.Hour, "h0")
	if err != nil {
		t.Fatal(err)
	}
	kv := memkv.New(time.Now)
	var log lockedBuffer
	n, err := New(Config{
		Name: "h0", Zone: "z0", Address: "127.0.0.1:0", Incarnation: 1, KV: kv, HostList: &hostList{},
		TLS: files["h0"], WatchTimeout: 20 * time.Millisecond, Logger: slog.New(slog.NewTextHandler(&log, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	revision := int64(0)
	put := func(value string) {
		t.Helper()
		if revision, err = kv.CompareAndSwap(t.Context(), config.RulesKey, []byte(value), revision, platform.NoLease); err != nil {
			t.Fatal(err)
		}
	}
	put("\xff\xff")
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Stop() })
	c := &cluster{nodes: []*Node{n}}
	c.eventually(t, "first unreadable file logged", func(int) bool { return log.count(602) == 1 })
	put(strings.Repeat("\x81", 20000))
	c.eventually(t, "second unreadable file logged", func(int) bool { return log.count(602) >= 2 })
	time.Sleep(200 * time.Millisecond) // about ten more reads
	if n := log.count(602); n != 2 {
		t.Errorf("%d log lines about two unreadable files", n)
	}
	if err := kv.Delete(t.Context(), config.RulesKey, revision); err != nil {
		t.Fatal(err)
	}
	if _, err := config.Push(t.Context(), kv, []byte("serve lyn-llm version 7 # Kari\n"), "Kari", "change", 0); err != nil {
		t.Fatal(err)
	}
	c.eventually(t, "a readable file is active", func(int) bool { return n.ConfigStatus().ActiveNumber == 1 })
}
