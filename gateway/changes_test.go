package gateway

import (
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/gateway/routing"
)

// Guards against an older target list that stays in use: of two changes at the same time, such as
// one of a peer and a reload of the settings, the older one was applied last.
func TestConcurrentChangesEndWithTheNewest(t *testing.T) {
	const rounds, concurrent = 1000, 64
	metrics, err := telemetry.New()
	if err != nil {
		t.Fatal(err)
	}
	decode := func(key string, value []byte, _ time.Time) (directory.Target, error) {
		return directory.Target{ID: strings.TrimPrefix(key, "t/"), Service: "plain", Slots: 1, Draining: string(value) == "draining"}, nil
	}
	g := New(Config{Metrics: metrics, Log: slog.New(slog.DiscardHandler), Layout: directory.Layout{TargetPrefix: "t/", DecodeTarget: decode}})
	g.routing.StoreIfNewer(routing.Compile(routing.Config{Version: 1, Services: []routing.Service{{Name: "plain"}}}))
	stale := 0
	for round := range rounds {
		leaving := round % 2
		change := peers.Change{Key: "t/a", Value: []byte([]string{"ready", "draining"}[leaving]), Revision: int64(round + 1)}
		var wg sync.WaitGroup
		for range concurrent {
			wg.Go(g.onDirectoryChange)
		}
		g.HandleHeartbeat(&peers.Heartbeat{ListAgeMs: -1, Changes: []peers.Change{change}}, time.Now())
		wg.Wait()
		if g.schedulers.Stats()["plain"].Leaving != leaving {
			stale++
		}
	}
	if stale > 0 {
		t.Errorf("after %d of %d changes, an older list was in use", stale, rounds)
	}
}
