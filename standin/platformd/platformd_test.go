package platformd_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"sardinefront.dev/platform"
	"sardinefront.dev/platform/httpkv"
	"sardinefront.dev/standin/platformd"
)

type callCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *callCounter) CountStoreCall(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[kind]++
}

func start(t *testing.T, cfg platformd.Config) (*platformd.Server, *httpkv.Client, *callCounter) {
	t.Helper()
	s := platformd.New(cfg)
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	counter := &callCounter{counts: make(map[string]int)}
	c := httpkv.New(httpkv.Config{Address: s.Addr(), CallerName: "host-1", Counter: counter, Timeout: time.Second})
	t.Cleanup(func() {
		c.Close()
		s.Close()
	})
	return s, c, counter
}

// Guards against a client that reports a write as not executed when only its response
// was lost, and against an automatic retry of the write by the HTTP library.
func TestLostResponse(t *testing.T) {
	s, c, counter := start(t, platformd.Config{})
	ctx := context.Background()
	if _, err := c.CompareAndSwap(ctx, "a", []byte("0"), 0, platform.NoLease); err != nil {
		t.Fatal(err) // the next write reuses the connection, on which HTTP libraries retry
	}
	s.SetFaults(platformd.Faults{LoseResponses: 1})
	_, err := c.CompareAndSwap(ctx, "k", []byte("v"), 0, platform.NoLease)
	if !errors.Is(err, platform.ErrOutcomeUnknown) || errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("lost response: %v", err)
	}
	e, err := c.Get(ctx, "k")
	if err != nil || string(e.Value) != "v" || e.Revision != 2 {
		t.Fatalf("read back: %+v, %v", e, err)
	}
	if got := s.CallCounts().ByPath[httpkv.PathCompareAndSwap]; got != 2 || counter.counts[httpkv.KindWrite] != 2 || counter.counts[httpkv.KindRead] != 1 {
		t.Fatalf("received %d compare-and-swap calls, the client counted %v", got, counter.counts)
	}
}

// Guards against an error that reports an unknown outcome for a call that was certainly
// not executed, or the reverse.
func TestErrors(t *testing.T) {
	s, c, _ := start(t, platformd.Config{})
	ctx := context.Background()
	if _, err := c.CompareAndSwap(ctx, "k", nil, 0, platform.NoLease); err != nil {
		t.Fatal(err)
	}
	swap := func() error {
		_, err := c.CompareAndSwap(ctx, "k", []byte("x"), 9, platform.NoLease)
		return err
	}
	check := func(what string, err, want error) {
		t.Helper()
		if !errors.Is(err, want) {
			t.Errorf("%s: %v, expected %v", what, err, want)
		}
	}
	check("conflict", swap(), platform.ErrConflict)
	_, err := c.Get(ctx, "none")
	check("missing key", err, platform.ErrNotFound)
	check("unknown lease", c.KeepAlive(ctx, 99), platform.ErrLeaseLost)
	_, err = c.CompareAndSwap(ctx, "k", make([]byte, platform.MaxValueBytes+1), 1, platform.NoLease)
	check("large value", err, platform.ErrTooLarge)
	s.SetFaults(platformd.Faults{Unavailable: true})
	check("down", swap(), platform.ErrUnavailable)
	s.SetFaults(platformd.Faults{DisconnectCallers: []string{"host-1"}})
	check("write of a disconnected caller", swap(), platform.ErrOutcomeUnknown)
	_, err = c.Get(ctx, "k")
	check("read of a disconnected caller", err, platform.ErrUnavailable)
	s.SetFaults(platformd.Faults{UnansweredCallers: []string{"host-1"}})
	check("write without a response", swap(), platform.ErrOutcomeUnknown)
	s.Close()
	err = swap()
	check("closed", err, platform.ErrUnavailable)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		t.Errorf("a refused connection is reported as an unknown outcome: %v", err)
	}
}

// Guards against a waiting watch that misses a change or the expiry of a lease.
func TestWatchAndLease(t *testing.T) {
	_, c, counter := start(t, platformd.Config{})
	ctx := context.Background()
	lease, err := c.Grant(ctx, 100*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	type result struct {
		entries []platform.Entry
		rev     int64
		err     error
	}
	watch := func(after int64) <-chan result {
		out := make(chan result, 1)
		go func() {
			entries, rev, err := c.Watch(ctx, "w/", after)
			out <- result{entries, rev, err}
		}()
		return out
	}
	waiting := watch(0)
	rev, err := c.CompareAndSwap(ctx, "w/k", []byte("v"), 0, lease)
	if err != nil {
		t.Fatal(err)
	}
	r := <-waiting
	if r.err != nil || len(r.entries) != 1 || r.entries[0].Key != "w/k" || r.rev != rev {
		t.Fatalf("change: %+v", r)
	}
	r = <-watch(rev)
	if r.err != nil || len(r.entries) != 1 || !r.entries[0].Deleted {
		t.Fatalf("expiry: %+v", r)
	}
	if err := c.KeepAlive(ctx, lease); !errors.Is(err, platform.ErrLeaseLost) {
		t.Fatalf("expired lease: %v", err)
	}
	if counter.counts[httpkv.KindWatch] != 2 {
		t.Fatalf("counted %v", counter.counts)
	}
	shortCtx, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
	defer cancel()
	if es, _, err := c.Watch(shortCtx, "w/", 99); err != nil || len(es) != 0 {
		t.Fatalf("end of context: %v, %v", es, err)
	}
}

// Guards against a client that keeps frozen connections in its pool, so that one call
// after another times out. Only the first call may fail; the next one has to use a new
// connection.
func TestFrozenConnections(t *testing.T) {
	s, _, _ := start(t, platformd.Config{})
	c := httpkv.New(httpkv.Config{Address: s.Addr(), Timeout: 300 * time.Millisecond})
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range 4 { // each watch holds a connection until the write, so that the pool has several
		wg.Go(func() { _, _, _ = c.Watch(ctx, "", 0) })
	}
	for s.CallCounts().ByKind[httpkv.KindWatch] < 4 {
		time.Sleep(time.Millisecond)
	}
	if _, err := c.CompareAndSwap(ctx, "k", nil, 0, platform.NoLease); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	cancel()
	s.FreezeConnections()
	if _, err := c.Get(context.Background(), "k"); !errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("frozen connection: %v", err)
	}
	if _, err := c.Get(context.Background(), "k"); err != nil {
		t.Fatalf("new connection: %v", err)
	}
}

// Guards against a client that exceeds its own write limit, and against writes above the
// server's limit that are not reported as ErrUnavailable, the error for calls that were
// not executed.
func TestRateLimits(t *testing.T) {
	s, _, _ := start(t, platformd.Config{WritesPerSecond: 10})
	c := httpkv.New(httpkv.Config{Address: s.Addr(), WritesPerSecond: 0.001, Burst: 1})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := c.CompareAndSwap(ctx, "a", nil, 0, platform.NoLease); err != nil {
		t.Fatal(err)
	}
	if _, err := c.CompareAndSwap(ctx, "b", nil, 0, platform.NoLease); !errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("write above the client's limit: %v", err)
	}
	if n := s.CallCounts().ByKind[httpkv.KindWrite]; n != 1 {
		t.Fatalf("received %d writes, expected 1", n)
	}
	unlimited := httpkv.New(httpkv.Config{Address: s.Addr()})
	defer unlimited.Close()
	rejected := false
	for i := range 20 {
		_, err := unlimited.CompareAndSwap(context.Background(), "c", []byte{byte(i)}, 0, platform.NoLease)
		rejected = rejected || errors.Is(err, platform.ErrUnavailable)
	}
	if !rejected {
		t.Fatal("no write was rejected by the server's rate limit")
	}
}
