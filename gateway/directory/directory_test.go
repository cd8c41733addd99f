package directory_test

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/platform"
)

// silentStore answers nothing until the caller gives up.
type silentStore struct{}

func (silentStore) Get(ctx context.Context, _ string) (platform.Entry, error) {
	time.Sleep(2 * time.Second)
	return platform.Entry{}, platform.ErrNoAnswer
}

func (silentStore) Snapshot(ctx context.Context, _ string) ([]platform.Entry, int64, error) {
	time.Sleep(time.Second)
	return nil, 0, platform.ErrNoAnswer
}

func (silentStore) Changes(ctx context.Context, _ string, after int64, _ time.Duration) ([]platform.Entry, int64, error) {
	time.Sleep(time.Second)
	return nil, after, platform.ErrNoAnswer
}

// fleet is a peer that is busy and one that has the configuration.
type fleet struct {
	mu      sync.Mutex
	fetched []string
}

func (f *fleet) Alive(time.Time) []peers.Peer { return nil }
func (f *fleet) KickNear()                    {}

func (f *fleet) Fetch(_ context.Context, address string, _ int64) (*peers.Bulk, error) {
	f.mu.Lock()
	f.fetched = append(f.fetched, address)
	f.mu.Unlock()
	if address == "busy" {
		time.Sleep(500 * time.Millisecond)
		return nil, errors.New("timeout")
	}
	return &peers.Bulk{Config: []byte("2"), ListAge: 0}, nil
}

func (f *fleet) asked(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.fetched, address)
}

// Guards against a host that the store does not answer and that waits for it, or asks one
// busy peer again and again, while other peers have a newer configuration. The peer is
// chosen at random, so many runs are needed to see the worst order.
func TestConfigurationComesFromAnyPeerWhileTheStoreIsSilent(t *testing.T) {
	for range 200 {
		configurationComesFromAnyPeer(t)
	}
}

func configurationComesFromAnyPeer(t *testing.T) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var current routing.Current
		f := &fleet{}
		d := directory.New(directory.Config{
			Name: "a", Store: silentStore{}, Current: &current, Log: slog.New(slog.DiscardHandler), Changed: func() {},
			Layout: directory.Layout{ConfigKey: "config", TargetPrefix: "t/", RolloutPrefix: "r/", Config: func(b []byte) (routing.Config, error) {
				v, err := strconv.ParseInt(string(b), 10, 64)
				return routing.Config{Version: v}, err
			}},
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
				d.Heard(&peers.Heartbeat{Name: address, Address: address, ConfigVersion: 2, ListAge: -1}, time.Now())
			}
			time.Sleep(100 * time.Millisecond)
		}
		if took := time.Since(began); current.Version() != 2 || took > 700*time.Millisecond {
			t.Errorf("version %d after %s, asked the good peer: %t", current.Version(), took, f.asked("good"))
		}
		cancel()
		<-done
	})
}
