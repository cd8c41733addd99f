package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"sardinefront.dev/core/freeport"
	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/peer"
	"sardinefront.dev/host"
	"sardinefront.dev/host/settings"
	"sardinefront.dev/platform"
	"sardinefront.dev/standin/platformd"
)

// hostSet holds the entry hosts of one deployment and their platform.
type hostSet struct {
	platform *platformd.Server
	hosts    []*host.Host
	metrics  []*telemetry.Metrics

	mu sync.Mutex
	// liveAddresses are the caller addresses of the hosts that the load balancer uses.
	liveAddresses []string
}

// startHosts starts the platform and all hosts, pushes the rules and waits until they are
// active on every host.
func startHosts(ctx context.Context, d *deployment, targets *targetSet, dir string, logs io.Writer) (*hostSet, error) {
	s := &hostSet{platform: platformd.New(platformd.Config{})}
	if err := s.platform.Start("127.0.0.1:0"); err != nil {
		return s, err
	}
	names := make([]string, d.hosts)
	for i := range names {
		names[i] = fmt.Sprintf("%s-host-%d", d.servicePool, i)
	}
	keys, err := peer.WriteDevKeys(filepath.Join(dir, d.servicePool), time.Hour, names...)
	if err != nil {
		return s, err
	}
	list := append([]platform.Endpoint(nil), targets.list...)
	all := make([]settings.Settings, d.hosts)
	for i, name := range names {
		all[i], err = hostSettings(d, name, i, s.platform.Addr(), keys[name])
		if err != nil {
			return s, err
		}
		list = append(list, platform.Endpoint{Name: name, Role: platform.RoleHost, Address: all[i].Listen.Peers, Zone: all[i].Host.Zone})
	}
	s.platform.SetEndpoints(list)
	by := time.Now().Add(moveDuration).UTC().Truncate(time.Second)
	if _, err := config.Push(ctx, s.platform.Store(), moveRules(d, by), "demo", "rules of the demo", 0); err != nil {
		return s, err
	}
	if err := storeMoveState(ctx, s.platform.Store(), d, by); err != nil {
		return s, err
	}
	for _, cfg := range all {
		if err := s.start(cfg, logs); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady(ctx)
}

func (s *hostSet) start(cfg settings.Settings, logs io.Writer) error {
	metrics, err := telemetry.New()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewJSONHandler(logs, nil)).With(slog.String("process", cfg.Host.Name))
	h, err := host.Build(cfg, log, metrics)
	if err != nil {
		return err
	}
	if err := h.Start(); err != nil {
		return err
	}
	s.hosts = append(s.hosts, h)
	s.metrics = append(s.metrics, metrics)
	s.liveAddresses = append(s.liveAddresses, h.CallerAddress())
	return nil
}

func hostSettings(d *deployment, name string, i int, platformAddress string, keys peer.KeyFiles) (settings.Settings, error) {
	s := settings.Defaults()
	// Hosts must be listed with their peer address before they start.
	peers, err := freeport.LoopbackAddress()
	if err != nil {
		return s, err
	}
	s.Host = settings.Host{Name: name, Zone: d.zones[i%len(d.zones)]}
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: peers}
	s.Platform.Address = platformAddress
	s.KeyFiles = settings.KeyFiles{CA: keys.CA, Cert: keys.Cert, Key: keys.Key}
	s.Journal.Partitions = len(d.zones)
	s.Commands.UncheckedPools = []string{d.enginePool}
	return s, nil
}

// awaitReady waits until every host has received the rules and its targets.
func (s *hostSet) awaitReady(ctx context.Context) error {
	for {
		ready := 0
		for _, h := range s.hosts {
			if st := h.Status(); st.Revision > 0 && hasTargets(st) {
				ready++
			}
		}
		if ready == len(s.hosts) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("hosts did not become ready: %d of %d have rules and targets", ready, len(s.hosts))
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func hasTargets(st host.Status) bool {
	for _, p := range st.Pools {
		if p.Targets == 0 {
			return false
		}
	}
	return len(st.Pools) > 0
}

// kill stops host i as a crash would. The load balancer stops using it.
func (s *hostSet) kill(i int) {
	h := s.hosts[i]
	s.mu.Lock()
	addresses := s.liveAddresses[:0:0]
	for _, a := range s.liveAddresses {
		if a != h.CallerAddress() {
			addresses = append(addresses, a)
		}
	}
	s.liveAddresses = addresses
	s.mu.Unlock()
	h.Abort()
}

// pickAddress returns the address of the host that the load balancer picks for the n-th call.
func (s *hostSet) pickAddress(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.liveAddresses[n%len(s.liveAddresses)]
}

// close stops all hosts and the platform. It returns the number of requests still in progress.
func (s *hostSet) close(ctx context.Context) int64 {
	var aborted int64
	var wg conc.WaitGroup
	var mu sync.Mutex
	for _, h := range s.hosts {
		wg.Go(func() {
			n := h.Stop(ctx)
			mu.Lock()
			aborted += n
			mu.Unlock()
		})
	}
	wg.Wait()
	s.platform.Close()
	return aborted
}

func tempDir() (string, func(), error) {
	dir, err := os.MkdirTemp("", "sardinefront-demo-")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}
