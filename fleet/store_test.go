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

// switchKV is a store that can be down and can be replaced by another one.
type switchKV struct {
	platform.KV
	mu   sync.Mutex
	now  platform.KV
	down atomic.Bool
}

func (s *switchKV) current() (platform.KV, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down.Load() {
		return nil, fmt.Errorf("test: %w", platform.ErrUnavailable)
	}
	return s.now, nil
}

func (s *switchKV) replace(kv platform.KV) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = kv
}

func (s *switchKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	kv, err := s.current()
	if err != nil {
		return platform.Entry{}, err
	}
	return kv.Get(ctx, key)
}

func (s *switchKV) Watch(ctx context.Context, prefix string, after int64) ([]platform.Entry, int64, error) {
	kv, err := s.current()
	if err != nil {
		return nil, 0, err
	}
	return kv.Watch(ctx, prefix, after)
}

// lockedBuffer collects log lines.
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

// Guards the loop around the store on a host that watches: an outage and its
// end are reported once each, changes arrive after it, and a store that was
// replaced by an older one, whose revisions start again, is noticed, refused
// and reported once.
func TestStoreOutageAndSetBack(t *testing.T) {
	files, err := peer.WriteDevKeys(t.TempDir(), time.Hour, "h0")
	if err != nil {
		t.Fatal(err)
	}
	first, older := memkv.New(time.Now), memkv.New(time.Now)
	kv := &switchKV{now: first}
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
	inForce := func(number int64) func(int) bool {
		return func(int) bool { return n.ConfigStatus().ActiveNumber == number }
	}
	push(first, 0)
	c.eventually(t, "first file in force", inForce(1))
	kv.down.Store(true)
	c.eventually(t, "outage reported", func(int) bool { return log.count(603) == 1 })
	push(first, 1)
	kv.down.Store(false)
	c.eventually(t, "file of the outage in force", inForce(2))
	push(older, 0)
	kv.replace(older)
	c.eventually(t, "older store reported", func(int) bool { return n.ConfigStatus().StoreNumber == 1 && log.count(602) == 1 })
	time.Sleep(300 * time.Millisecond) // six more readings
	if s := n.ConfigStatus(); s.ActiveNumber != 2 || log.count(602) != 1 || log.count(603) != 1 || log.count(604) != 1 {
		t.Errorf("in force %d; events 602: %d, 603: %d, 604: %d", s.ActiveNumber, log.count(602), log.count(603), log.count(604))
	}
	if _, err := config.Restore(t.Context(), older, n.LatestRules(), "Kari", "after the backup"); err != nil {
		t.Fatal(err)
	}
	c.eventually(t, "restored file in force", inForce(3))
	if s := n.ConfigStatus(); s.StoreNumber != 0 {
		t.Errorf("store number %d after the restore", s.StoreNumber)
	}
}
