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

type counter struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counter) CountStoreCall(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[kind]++
}

func start(t *testing.T, cfg platformd.Config) (*platformd.Server, *httpkv.Client, *counter) {
	t.Helper()
	s := platformd.New(cfg)
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	n := &counter{n: make(map[string]int)}
	c := httpkv.New(httpkv.Config{Address: s.Addr(), CallerName: "host-1", Counter: n, Timeout: time.Second})
	t.Cleanup(func() {
		c.Close()
		s.Close()
	})
	return s, c, n
}

// Guards against a lost answer that is reported as no effect, and against a
// second write on the library's own initiative.
func TestLostAnswer(t *testing.T) {
	s, c, n := start(t, platformd.Config{})
	ctx := context.Background()
	if _, err := c.CompareAndSwap(ctx, "a", []byte("0"), 0, platform.NoLease); err != nil {
		t.Fatal(err) // leaves a kept connection, on which libraries retry
	}
	s.SetFaults(platformd.Faults{LoseResponses: 1})
	_, err := c.CompareAndSwap(ctx, "k", []byte("v"), 0, platform.NoLease)
	if !errors.Is(err, platform.ErrOutcomeUnknown) || errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("lost answer: %v", err)
	}
	e, err := c.Get(ctx, "k")
	if err != nil || string(e.Value) != "v" || e.Revision != 2 {
		t.Fatalf("read back: %+v, %v", e, err)
	}
	if got := s.CallCounts().ByPath[httpkv.PathCompareAndSwap]; got != 2 || n.n[httpkv.KindWrite] != 2 || n.n[httpkv.KindRead] != 1 {
		t.Fatalf("%d swaps arrived, counted %v", got, n.n)
	}
}

// Guards against errors that say less or more than is known about the effect.
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
	check("write while cut off", swap(), platform.ErrOutcomeUnknown)
	_, err = c.Get(ctx, "k")
	check("read while cut off", err, platform.ErrUnavailable)
	s.SetFaults(platformd.Faults{UnansweredCallers: []string{"host-1"}})
	check("write while silent", swap(), platform.ErrOutcomeUnknown)
	s.Close()
	err = swap()
	check("closed", err, platform.ErrUnavailable)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		t.Errorf("refused connection: %v", err)
	}
}

// Guards against a waiting watch that misses a change or the end of a lease.
func TestWatchAndLease(t *testing.T) {
	_, c, n := start(t, platformd.Config{})
	ctx := context.Background()
	lease, err := c.Grant(ctx, 100*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	type result struct {
		es  []platform.Entry
		rev int64
		err error
	}
	watch := func(after int64) <-chan result {
		out := make(chan result, 1)
		go func() {
			es, rev, err := c.Watch(ctx, "w/", after)
			out <- result{es, rev, err}
		}()
		return out
	}
	waiting := watch(0)
	rev, err := c.CompareAndSwap(ctx, "w/k", []byte("v"), 0, lease)
	if err != nil {
		t.Fatal(err)
	}
	r := <-waiting
	if r.err != nil || len(r.es) != 1 || r.es[0].Key != "w/k" || r.rev != rev {
		t.Fatalf("change: %+v", r)
	}
	r = <-watch(rev)
	if r.err != nil || len(r.es) != 1 || !r.es[0].Deleted {
		t.Fatalf("expiry: %+v", r)
	}
	if err := c.KeepAlive(ctx, lease); !errors.Is(err, platform.ErrLeaseLost) {
		t.Fatalf("expired lease: %v", err)
	}
	if n.n[httpkv.KindWatch] != 2 {
		t.Fatalf("counted %v", n.n)
	}
	short, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
	defer cancel()
	if es, _, err := c.Watch(short, "w/", 99); err != nil || len(es) != 0 {
		t.Fatalf("end of context: %v, %v", es, err)
	}
}

// Guards against calls that time out one by one when all kept connections have
// gone silent.
func TestFrozenConnections(t *testing.T) {
	s, _, _ := start(t, platformd.Config{})
	c := httpkv.New(httpkv.Config{Address: s.Addr(), Timeout: 300 * time.Millisecond})
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range 4 { // waiting watches occupy connections until the write
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
		t.Fatalf("silent connection: %v", err)
	}
	if _, err := c.Get(context.Background(), "k"); err != nil {
		t.Fatalf("new connection: %v", err)
	}
}

// Guards against a client that exceeds its own budget, and against a server
// whose limit has an effect on the refused write.
func TestBudgets(t *testing.T) {
	s, _, _ := start(t, platformd.Config{WritesPerSecond: 10})
	c := httpkv.New(httpkv.Config{Address: s.Addr(), WritesPerSecond: 0.001, Burst: 1})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := c.CompareAndSwap(ctx, "a", nil, 0, platform.NoLease); err != nil {
		t.Fatal(err)
	}
	if _, err := c.CompareAndSwap(ctx, "b", nil, 0, platform.NoLease); !errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("above the client's budget: %v", err)
	}
	if n := s.CallCounts().ByKind[httpkv.KindWrite]; n != 1 {
		t.Fatalf("%d writes arrived", n)
	}
	free := httpkv.New(httpkv.Config{Address: s.Addr()})
	defer free.Close()
	refused := false
	for i := range 20 {
		_, err := free.CompareAndSwap(context.Background(), "c", []byte{byte(i)}, 0, platform.NoLease)
		refused = refused || errors.Is(err, platform.ErrUnavailable)
	}
	if !refused {
		t.Fatal("no write was refused by the server's limit")
	}
}
