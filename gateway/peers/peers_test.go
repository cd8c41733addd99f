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
}

func (r *recorder) Fill(h *peers.Heartbeat, _ time.Time) { h.ConfigVersion = r.version }

func (r *recorder) Heard(h *peers.Heartbeat, _ time.Time) {
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
