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

// runUntilOrder runs a directory until it has read the store's order, and returns it with the age of
// the order and the time since the read before.
func runUntilOrder(t *testing.T) (d *directory.Directory, age, sinceRead time.Duration) {
	var current routing.ActiveTable
	store := &releaseStore{}
	store.version.Store(1)
	layout := testLayout
	layout.DecodeTarget = decode
	ages := make(chan time.Duration, 1)
	d = directory.New(directory.Config{
		Name: "a", Store: store, ActiveTable: &current, Log: slog.New(slog.DiscardHandler), OnChange: func() {}, Layout: layout,
		OnRolloutOrder: func(_ string, _ platform.Entry, age time.Duration) { ages <- age },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	began := time.Now()
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	age = <-ages
	sinceRead = time.Since(began)
	synctest.Wait()
	cancel()
	<-done
	return d, age, sinceRead
}

// Guards against hosts that never get a rollout order, and send requests to a bad version without
// any limit, because the targets started for it filled the heartbeats.
func TestRolloutOrderIsSentBesideManyTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _, _ := runUntilOrder(t)
		h := &peers.Heartbeat{IntervalMs: 250}
		d.FillHeartbeat(h, time.Now())
		if !slices.ContainsFunc(h.Changes, func(c peers.Change) bool { return c.Key == orderKey }) {
			t.Errorf("the heartbeat has %d changes without the order", len(h.Changes))
		}
	})
}

// Guards against a rollout whose duration is counted from a late read of its order, so that it is
// decided after its time limit.
func TestRolloutOrderMayBeAsOldAsTheLastRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if _, age, sinceRead := runUntilOrder(t); age != sinceRead || age == 0 {
			t.Errorf("age %s, want %s", age, sinceRead)
		}
	})
}
