package peers_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"sardinefront.dev/core/freeport"
	"sardinefront.dev/gateway/peers"
)

// recordingDelegate is a Delegate that records what it receives.
type recordingDelegate struct {
	mu             sync.Mutex
	version        int64
	configVersions map[string]int64
	offeredTarget  uint32
}

func (r *recordingDelegate) HandleSlotOffer(target uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offeredTarget = target
}

func (r *recordingDelegate) FillHeartbeat(h *peers.Heartbeat, _ bool, _ time.Time) {
	h.ConfigVersion = r.version
}

func (r *recordingDelegate) HandleHeartbeat(h *peers.Heartbeat, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configVersions[h.Name] = h.ConfigVersion
}

func (r *recordingDelegate) receivedFrom(names ...string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range names {
		if r.configVersions[n] == 0 {
			return false
		}
	}
	return true
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.LoopbackAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// waitFor polls until ok returns true.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timeout after 10 s: %s", what)
}

// Guards against hosts that only contact their seeds. Each host has only the previous one as its
// seed, and all must receive heartbeats from all.
func TestHostsDiscoverEachOtherThroughOneSeed(t *testing.T) {
	const n = 4
	var delegates []*recordingDelegate
	var meshes []*peers.Mesh
	seed := ""
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for i := range n {
		delegate := &recordingDelegate{version: int64(i + 1), configVersions: map[string]int64{}}
		address := freeAddress(t)
		cfg := peers.Config{Name: fmt.Sprintf("host-%d", i), Zone: "z", Address: address, Log: slog.New(slog.DiscardHandler)}
		if seed != "" {
			cfg.Seeds = []string{seed}
		}
		m, err := peers.New(cfg, delegate)
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() { m.Run(ctx) })
		delegates, meshes, seed = append(delegates, delegate), append(meshes, m), address
	}
	waitFor(t, "all hosts have heartbeats from all", func() bool {
		return delegates[0].receivedFrom("host-1", "host-2", "host-3") && delegates[3].receivedFrom("host-0", "host-1", "host-2")
	})
	if got := len(meshes[0].Alive(time.Now())); got != n-1 {
		t.Errorf("%d live peers, want %d", got, n-1)
	}
}

// Guards against a fleet in which each host that starts makes all others send an initial heartbeat
// to all others. With 66 hosts that saturates a link of 10 Mbit/s for seconds.
func TestNewHostGetsOneInitialHeartbeatFromEachPeer(t *testing.T) {
	const n = 12
	var meshes []*peers.Mesh
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	seed := freeAddress(t)
	start := func(name, address string) {
		delegate := &recordingDelegate{version: 1, configVersions: map[string]int64{}}
		m, err := peers.New(peers.Config{Name: name, Zone: name, Address: address, Seeds: []string{seed}, Log: slog.New(slog.DiscardHandler)}, delegate)
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
		start(fmt.Sprintf("host-%d", i), freeAddress(t))
	}
	waitFor(t, "all hosts have heartbeats from all", func() bool {
		for _, m := range meshes {
			if len(m.Alive(time.Now())) != n-1 {
				return false
			}
		}
		return true
	})
	began, before := time.Now(), sent()
	start("late", freeAddress(t))
	waitFor(t, "the late host has heartbeats from all", func() bool { return len(meshes[n].Alive(time.Now())) == n })
	intervals := 1 + uint64(time.Since(began)/peers.HeartbeatInterval)
	// In addition to the regular heartbeats, the late host and each other one send each other an
	// initial heartbeat, or two if they are sent at the same time.
	if got, limit := sent()-before, intervals*n*(n+1)+4*n; got > limit {
		t.Errorf("%d datagrams in %d heartbeat intervals, want at most %d", got, intervals, limit)
	}
}

// Guards against a slot offer that is lost, or decoded as a heartbeat.
func TestSlotOfferReachesThePeer(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	receiver := &recordingDelegate{version: 1, configVersions: map[string]int64{}}
	address := freeAddress(t)
	for _, c := range []struct {
		name, address string
		state         *recordingDelegate
	}{{"to", address, receiver}, {"from", freeAddress(t), &recordingDelegate{version: 1, configVersions: map[string]int64{}}}} {
		m, err := peers.New(peers.Config{Name: c.name, Address: c.address, Log: slog.New(slog.DiscardHandler)}, c.state)
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() { m.Run(ctx) })
		if c.name == "from" {
			m.SendSlotOffer(address, 0xfedcba98)
		}
	}
	waitFor(t, "the slot offer arrives", func() bool {
		receiver.mu.Lock()
		defer receiver.mu.Unlock()
		return receiver.offeredTarget == 0xfedcba98
	})
}
