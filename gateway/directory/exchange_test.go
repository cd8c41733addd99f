package directory_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/platform"
)

const orderKey = "o/r/llm"

// releaseStore returns a rollout order and the many targets that are started for it in one read.
type releaseStore struct {
	countingStore
	served atomic.Bool
}

func (s *releaseStore) Changes(_ context.Context, _ string, after int64, _ time.Duration) ([]platform.Entry, int64, error) {
	if s.served.Swap(true) {
		return nil, after, nil
	}
	changes := []platform.Entry{{Key: orderKey, Value: []byte("v2"), Revision: after + 1}}
	for i := range int64(30) {
		changes = append(changes, platform.Entry{Key: fmt.Sprintf("t/%d", i), Value: []byte("ready " + strings.Repeat("v", 100)), Revision: after + 2 + i})
	}
	return changes, after + 32, nil
}

// Guards against hosts that never get a rollout order, and send requests to a bad version without
// any limit, because the targets started for it filled the heartbeats.
func TestRolloutOrderIsSentBesideManyTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var current routing.ActiveTable
		store := &releaseStore{}
		store.version.Store(1)
		layout := testLayout
		layout.DecodeTarget = decode
		var ordered atomic.Bool
		d := directory.New(directory.Config{
			Name: "a", Store: store, ActiveTable: &current, Log: slog.New(slog.DiscardHandler), OnChange: func() {}, Layout: layout,
			OnRolloutOrder: func(string, platform.Entry) { ordered.Store(true) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.Run(ctx)
		}()
		for i := 0; i < 100 && !store.served.Load(); i++ {
			time.Sleep(50 * time.Millisecond)
			synctest.Wait()
		}
		h := &peers.Heartbeat{IntervalMs: 250}
		d.FillHeartbeat(h, time.Now())
		if !ordered.Load() || !slices.ContainsFunc(h.Changes, func(c peers.Change) bool { return c.Key == orderKey }) {
			t.Errorf("order read: %v; the heartbeat has %d changes without it", ordered.Load(), len(h.Changes))
		}
		cancel()
		<-done
	})
}
