package peers_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"sardinefront.dev/gateway/peers"
)

// recorder is a State that remembers what it heard.
type recorder struct {
	mu      sync.Mutex
	version int64
	heard   map[string]int64
	offered uint32
}

func (r *recorder) HandleSlotOffer(target uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offered = target
}

func (r *recorder) FillHeartbeat(h *peers.Heartbeat, _ bool, _ time.Time) {
	h.ConfigVersion = r.version
}

func (r *recorder) HandleHeartbeat(h *peers.Heartbeat, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[h.Name] = h.ConfigVersion
}

func (r *recorder) knows(names ...string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range names {
		if r.heard[n] == 0 {
			return false
		}
	}
	return true
}

func freePort(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// waitFor polls until the condition holds.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s: not within 10 s", what)
}

// Guards against hosts that only know their seeds: the last host knows only the
// one before it, and all must hear of all.
func TestHostsFindEachOtherThroughOneSeed(t *testing.T) {
	const n = 4
	var states []*recorder
	var meshes []*peers.Mesh
	seed := ""
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for i := range n {
		s := &recorder{version: int64(i + 1), heard: map[string]int64{}}
		address := freePort(t)
		cfg := peers.Config{Name: fmt.Sprintf("host-%d", i), Zone: "z", Address: address, Log: slog.New(slog.DiscardHandler)}
		if seed != "" {
			cfg.Seeds = []string{seed}
		}
		m, err := peers.New(cfg, s)
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() { m.Run(ctx) })
		states, meshes, seed = append(states, s), append(meshes, m), address
	}
	waitFor(t, "all hosts hear of all", func() bool {
		return states[0].knows("host-1", "host-2", "host-3") && states[3].knows("host-0", "host-1", "host-2")
	})
	if got := len(meshes[0].Alive(time.Now())); got != n-1 {
		t.Errorf("%d live peers, want %d", got, n-1)
	}
}

// Guards against a fleet in which each host that starts makes all others send to all
// others: at 66 hosts that fills a link of 10 Mbit/s for seconds.
func TestNewHostIsGreetedOnce(t *testing.T) {
	const n = 12
	var meshes []*peers.Mesh
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	seed := freePort(t)
	start := func(name, address string) {
		s := &recorder{version: 1, heard: map[string]int64{}}
		m, err := peers.New(peers.Config{Name: name, Zone: name, Address: address, Seeds: []string{seed}, Log: slog.New(slog.DiscardHandler)}, s)
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() { m.Run(ctx) })
		meshes = append(meshes, m)
	}
	sent := func() (total uint64) {
		for _, m := range meshes {
			datagrams, _ := m.Traffic()
			total += datagrams
		}
		return total
	}
	start("seed", seed)
	for i := range n - 1 {
		start(fmt.Sprintf("host-%d", i), freePort(t))
	}
	waitFor(t, "all hosts hear of all", func() bool {
		for _, m := range meshes {
			if len(m.Alive(time.Now())) != n-1 {
				return false
			}
		}
		return true
	})
	began, before := time.Now(), sent()
	start("late", freePort(t))
	waitFor(t, "the late host hears of all", func() bool { return len(meshes[n].Alive(time.Now())) == n })
	rounds := 1 + uint64(time.Since(began)/peers.HeartbeatInterval)
	// Beside the regular heartbeats, the late host and each other one greet each other,
	// twice if a greeting crosses another.
	if got, most := sent()-before, rounds*n*(n+1)+4*n; got > most {
		t.Errorf("%d datagrams in %d rounds, want at most %d", got, rounds, most)
	}
}

// Guards against an offer that is taken for a heartbeat, or does not arrive.
func TestOfferReachesThePeer(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	to := &recorder{version: 1, heard: map[string]int64{}}
	address := freePort(t)
	for _, c := range []struct {
		name, address string
		state         *recorder
	}{{"to", address, to}, {"from", freePort(t), &recorder{version: 1, heard: map[string]int64{}}}} {
		m, err := peers.New(peers.Config{Name: c.name, Address: c.address, Log: slog.New(slog.DiscardHandler)}, c.state)
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() { m.Run(ctx) })
		if c.name == "from" {
			m.SendSlotOffer(address, 0xfedcba98)
		}
	}
	waitFor(t, "the offer arrives", func() bool {
		to.mu.Lock()
		defer to.mu.Unlock()
		return to.offered == 0xfedcba98
	})
}
