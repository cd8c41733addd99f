package directory_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/platform"
)

// outageStore lists one target until removed is set. Its calls fail while failing is set.
type outageStore struct {
	countingStore
	failing, removed atomic.Bool
}

func (s *outageStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if s.failing.Load() {
		return platform.Entry{}, errors.New("connection refused")
	}
	return s.countingStore.Get(ctx, key)
}

func (s *outageStore) Snapshot(ctx context.Context, prefix string) ([]platform.Entry, int64, error) {
	switch {
	case s.failing.Load():
		return nil, 0, errors.New("connection refused")
	case prefix == testLayout.TargetPrefix && s.removed.Load():
		return nil, 5, nil
	case prefix == testLayout.TargetPrefix:
		return []platform.Entry{put("i-1", "ready 1", 1)}, 1, nil
	}
	return s.countingStore.Snapshot(ctx, prefix)
}

func (s *outageStore) Changes(_ context.Context, _ string, after int64, _ time.Duration) ([]platform.Entry, int64, error) {
	switch {
	case s.failing.Load():
		return nil, 0, errors.New("connection refused")
	case s.removed.Load():
		return []platform.Entry{removed("i-1", 5)}, 5, nil
	}
	return nil, after, nil
}

// outageFixture is a directory whose reads failed during an outage of the store that ended long
// ago. Since then a peer has read the store for it.
type outageFixture struct {
	*directory.Directory
	store   *outageStore
	current routing.ActiveTable
}

// hearPeer handles heartbeats of the peer that reads the store, for the given time.
func (f *outageFixture) hearPeer(d time.Duration, configVersion int64) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		h := &peers.Heartbeat{}
		f.FillHeartbeat(h, time.Now())
		h.Name, h.Address, h.ListAgeMs, h.StoreResponseAgeMs, h.ConfigVersion = "busy", "busy", 0, 0, configVersion
		f.HandleHeartbeat(h, time.Now())
	}
}

// afterOutage runs check on an outageFixture.
func afterOutage(t *testing.T, check func(f *outageFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &outageFixture{store: &outageStore{}}
		f.store.version.Store(1)
		layout := testLayout
		layout.DecodeTarget = decode
		f.Directory = directory.New(directory.Config{
			Name: "a", Store: f.store, ActiveTable: &f.current, Log: slog.New(slog.DiscardHandler), OnChange: func() {}, Layout: layout,
		})
		f.SetFleet(&fakePeers{version: 3})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		synctest.Wait()
		f.store.failing.Store(true)
		time.Sleep(4 * time.Second)
		f.store.failing.Store(false)
		f.hearPeer(6*time.Second, 1)
		check(f)
		cancel()
		<-done
	})
}

// Guards against a removal that is delayed, longer than a target may get requests, because this
// host's last read failed in an outage that other hosts have seen end.
func TestOutageThatEndedDelaysNoRemoval(t *testing.T) {
	afterOutage(t, func(f *outageFixture) {
		f.store.removed.Store(true)
		time.Sleep(1500 * time.Millisecond) // until this host reads the store itself
		if n := len(f.Targets()); n != 0 {
			t.Errorf("%d targets are listed after the removal", n)
		}
	})
}

// Guards against a host that does not ask the store for a configuration, which its peer does not
// send, because its last read failed in an outage that other hosts have seen end.
func TestOutageThatEndedKeepsNoConfigurationBack(t *testing.T) {
	afterOutage(t, func(f *outageFixture) {
		f.store.version.Store(3)
		f.hearPeer(500*time.Millisecond, 3)
		if v := f.current.Version(); v != 3 {
			t.Errorf("version %d 500 ms after a peer has announced version 3", v)
		}
	})
}

// stuckStore fails each read of changes, after a delay, and lists a second target from the given
// time on.
type stuckStore struct {
	outageStore
	delay    time.Duration
	err      error
	listFrom time.Time
}

func (s *stuckStore) Changes(_ context.Context, _ string, after int64, _ time.Duration) ([]platform.Entry, int64, error) {
	time.Sleep(s.delay)
	return nil, after, s.err
}

func (s *stuckStore) Snapshot(ctx context.Context, prefix string) ([]platform.Entry, int64, error) {
	entries, asOf, err := s.outageStore.Snapshot(ctx, prefix)
	if prefix == testLayout.TargetPrefix && time.Now().After(s.listFrom) {
		entries, asOf = append(entries, put("i-2", "ready 1", 6)), 6
	}
	return entries, asOf, err
}

// Guards against a host that requests the same changes again and again, until the store may have
// discarded them, although they are too many for one response or for the time limit of a read.
func TestChangesThatCannotBeReadAreListed(t *testing.T) {
	for name, s := range map[string]*stuckStore{
		"too large": {err: fmt.Errorf("%w: %w", platform.ErrUnavailable, platform.ErrTooLarge)},
		"too slow":  {err: fmt.Errorf("%w: %w", platform.ErrUnavailable, context.DeadlineExceeded), delay: 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s.listFrom = time.Now().Add(time.Millisecond)
				layout := testLayout
				layout.DecodeTarget = decode
				var current routing.ActiveTable
				d := directory.New(directory.Config{
					Name: "a", Store: s, ActiveTable: &current, Log: slog.New(slog.DiscardHandler), OnChange: func() {}, Layout: layout,
				})
				d.SetFleet(&fakePeers{})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					d.Run(ctx)
				}()
				time.Sleep(2 * time.Second)
				if n := len(d.Targets()); n != 2 {
					t.Errorf("%d targets of 2 after 2 s", n)
				}
				cancel()
				<-done
			})
		})
	}
}

// compactedStore has a rollout order until orderRemoved is set, and has discarded all changes.
type compactedStore struct {
	outageStore
	orderRemoved atomic.Bool
}

func (s *compactedStore) Changes(_ context.Context, _ string, after int64, _ time.Duration) ([]platform.Entry, int64, error) {
	return nil, after, platform.ErrCompacted
}

func (s *compactedStore) Snapshot(ctx context.Context, prefix string) ([]platform.Entry, int64, error) {
	entries, asOf, err := s.outageStore.Snapshot(ctx, prefix)
	if prefix == testLayout.OperatorPrefix && !s.orderRemoved.Load() {
		entries = append(entries, platform.Entry{Key: testLayout.RolloutPrefix + "s", Value: []byte("order"), Revision: 3})
	}
	return entries, asOf + 5, err
}

// Guards against a rollout that goes on at a host because its order was removed among changes that
// the host could not read, and against a removal that is reported at each listing.
func TestOrderMissingInAListingIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &compactedStore{}
		var reported []platform.Entry
		var current routing.ActiveTable
		d := directory.New(directory.Config{
			Name: "a", Store: s, ActiveTable: &current, Log: slog.New(slog.DiscardHandler), OnChange: func() {}, Layout: testLayout,
			OnRolloutOrder: func(_ string, e platform.Entry, _ time.Duration) { reported = append(reported, e) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.Run(ctx)
		}()
		time.Sleep(2 * time.Second)
		s.orderRemoved.Store(true)
		time.Sleep(4 * time.Second)
		cancel()
		<-done
		if len(reported) != 2 || reported[0].Deleted || !reported[1].Deleted || reported[1].Revision <= 3 {
			t.Errorf("orders and removals reported: %+v", reported)
		}
	})
}
