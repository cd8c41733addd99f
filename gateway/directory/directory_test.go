package directory_test

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/platform"
)

// unresponsiveStore blocks every call until its timeout.
type unresponsiveStore struct{}

func (unresponsiveStore) Get(ctx context.Context, _ string) (platform.Entry, error) {
	time.Sleep(2 * time.Second)
	return platform.Entry{}, platform.ErrOutcomeUnknown
}

func (unresponsiveStore) Era() int64 { return 0 }

func (unresponsiveStore) Snapshot(ctx context.Context, _ string) ([]platform.Entry, int64, error) {
	time.Sleep(time.Second)
	return nil, 0, platform.ErrOutcomeUnknown
}

func (unresponsiveStore) Changes(ctx context.Context, _ string, after int64, _ time.Duration) ([]platform.Entry, int64, error) {
	time.Sleep(time.Second)
	return nil, after, platform.ErrOutcomeUnknown
}

// fakePeers simulates the peer "busy", which times out, and others that have the configuration.
type fakePeers struct {
	version int // of the peers' configuration; 0 means 2
	// snapshot is the state of the peers, nil for their configuration alone.
	snapshot func(version int64) *peers.Snapshot
	mu       sync.Mutex
	fetched  []string
}

func (f *fakePeers) Alive(time.Time) []peers.Peer {
	if f.snapshot == nil {
		return nil
	}
	return []peers.Peer{{Name: "good", Address: "good"}}
}

func (f *fakePeers) TriggerFullRateHeartbeats() {}

func (f *fakePeers) FetchSnapshot(_ context.Context, address string, version int64) (*peers.Snapshot, error) {
	if f.snapshot != nil {
		return f.snapshot(version), nil
	}
	config, err := f.FetchConfig(context.Background(), address, 0)
	return &peers.Snapshot{Config: config, ListAgeMs: 0}, err
}

func (f *fakePeers) FetchConfig(_ context.Context, address string, _ int64) ([]byte, error) {
	f.mu.Lock()
	f.fetched = append(f.fetched, address)
	f.mu.Unlock()
	if address == "busy" {
		time.Sleep(500 * time.Millisecond)
		return nil, errors.New("timeout")
	}
	return []byte(strconv.Itoa(cmp.Or(f.version, 2))), nil
}

func (f *fakePeers) fetchedFrom(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.fetched, address)
}

// Guards against a host that waits for an unresponsive store, or tries the same overloaded peer
// again and again, while other peers have a newer configuration. The peer is chosen at random, so
// many runs are needed to cover the worst order.
func TestConfigurationComesFromAnyPeerWhileTheStoreIsUnresponsive(t *testing.T) {
	for range 200 {
		checkConfigurationComesFromAnyPeer(t)
	}
}

func checkConfigurationComesFromAnyPeer(t *testing.T) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var current routing.ActiveTable
		f := &fakePeers{}
		d := directory.New(directory.Config{
			Name: "a", Store: unresponsiveStore{}, ActiveTable: &current, Log: slog.New(slog.DiscardHandler), OnChange: func() {},
			Layout: testLayout,
		})
		d.SetFleet(f)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.Run(ctx)
		}()
		time.Sleep(1500 * time.Millisecond) // the first read has failed
		began := time.Now()
		for current.Version() != 2 && time.Since(began) < 3*time.Second {
			for _, address := range []string{"busy", "good"} {
				d.HandleHeartbeat(&peers.Heartbeat{Name: address, Address: address, ConfigVersion: 2, ListAgeMs: -1}, time.Now())
			}
			time.Sleep(100 * time.Millisecond)
		}
		if elapsed := time.Since(began); current.Version() != 2 || elapsed > 700*time.Millisecond {
			t.Errorf("version %d after %s, fetched from the good peer: %t", current.Version(), elapsed, f.fetchedFrom("good"))
		}
		cancel()
		<-done
	})
}

// countingStore responds immediately and counts all calls and the reads of the configuration.
type countingStore struct {
	version, calls, reads atomic.Int32
}

func (s *countingStore) Get(context.Context, string) (platform.Entry, error) {
	s.calls.Add(1)
	s.reads.Add(1)
	return platform.Entry{Key: "o/config", Value: []byte(strconv.Itoa(int(s.version.Load()))), Revision: 2}, nil
}

func (s *countingStore) Era() int64 { return 0 }

func (s *countingStore) Snapshot(ctx context.Context, prefix string) ([]platform.Entry, int64, error) {
	if !strings.HasPrefix("o/config", prefix) {
		s.calls.Add(1)
		return nil, 1, nil
	}
	e, err := s.Get(ctx, "o/config")
	return []platform.Entry{e}, 1, err
}

func (s *countingStore) Changes(_ context.Context, _ string, after int64, _ time.Duration) ([]platform.Entry, int64, error) {
	s.calls.Add(1)
	return nil, after, nil
}

// Guards against a start of many hosts that costs more calls of the store than one for the
// targets and one for the operator's keys each.
func TestFirstReadTakesTwoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var current routing.ActiveTable
		store := &countingStore{}
		store.version.Store(1)
		d := directory.New(directory.Config{
			Name: "a", Store: store, ActiveTable: &current, Log: slog.New(slog.DiscardHandler), OnChange: func() {}, Layout: testLayout,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.Run(ctx)
		}()
		synctest.Wait()
		if n := store.calls.Load(); n != 2 || current.Version() != 1 {
			t.Errorf("%d calls, configuration %d", n, current.Version())
		}
		cancel()
		<-done
	})
}

var testLayout = directory.Layout{
	ConfigKey: "o/config", TargetPrefix: "t/", RolloutPrefix: "o/r/", EvacuationPrefix: "o/e/", OperatorPrefix: "o/",
	DecodeConfig: func(b []byte) (routing.Config, error) {
		v, err := strconv.ParseInt(string(b), 10, 64)
		return routing.Config{Version: v}, err
	},
}

// Guards against hosts that each read every new configuration from the store, and against a host
// that waits for a peer that does not respond.
func TestConfigurationIsReadFromPeersFirst(t *testing.T) {
	for _, c := range []struct {
		peer    string
		reads   int32
		timeout time.Duration
	}{{"good", 0, 100 * time.Millisecond}, {"busy", 1, 350 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			var current routing.ActiveTable
			store := &countingStore{}
			store.version.Store(1)
			d := directory.New(directory.Config{
				Name: "a", Store: store, ActiveTable: &current, Log: slog.New(slog.DiscardHandler), OnChange: func() {},
				Layout: testLayout,
			})
			d.SetFleet(&fakePeers{version: 3})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				d.Run(ctx)
			}()
			synctest.Wait() // until the first read is done
			before := store.reads.Load()
			store.version.Store(3)
			d.HandleHeartbeat(&peers.Heartbeat{Name: c.peer, Address: c.peer, ConfigVersion: 3, ListAgeMs: -1}, time.Now())
			time.Sleep(c.timeout)
			if current.Version() != 3 {
				t.Errorf("%s peer: version %d after %s", c.peer, current.Version(), c.timeout)
			}
			if n := store.reads.Load() - before; n != c.reads {
				t.Errorf("%s peer: %d reads of the store, want %d", c.peer, n, c.reads)
			}
			cancel()
			<-done
		})
	}
}

// Guards against a first read that is logged as one after the longest possible time.
func TestFirstReadIsLoggedAsSuch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var current routing.ActiveTable
		var log bytes.Buffer
		store := &countingStore{}
		store.version.Store(1)
		d := directory.New(directory.Config{
			Name: "a", Store: store, ActiveTable: &current, Log: slog.New(slog.NewJSONHandler(&log, nil)), OnChange: func() {}, Layout: testLayout,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.Run(ctx)
		}()
		synctest.Wait()
		cancel()
		<-done
		if !strings.Contains(log.String(), `"msg":"became store reader","event":607,"lastRead":"never"`) {
			t.Errorf("log %s", log.String())
		}
	})
}
