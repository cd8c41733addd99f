package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/peer"
	"sardinefront.dev/host"
	"sardinefront.dev/host/settings"
	"sardinefront.dev/platform"
	"sardinefront.dev/standin/platformd"
)

// hostSet is the entry hosts of one deployment with their platform.
type hostSet struct {
	platform *platformd.Server
	hosts    []*host.Host
	metrics  []*telemetry.Metrics

	mu   sync.Mutex
	live []string // caller addresses
}

// startHosts starts the platform and all hosts, pushes the rules and waits
// until every host has them in force.
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
	by := time.Now().Add(moveFor).UTC().Truncate(time.Second)
	if _, err := config.Push(ctx, s.platform.Store(), moveRules(d, by), "demo", "rules of the demo", 0); err != nil {
		return s, err
	}
	if err := storeMove(ctx, s.platform.Store(), d, by); err != nil {
		return s, err
	}
	for _, one := range all {
		if err := s.start(one, logs); err != nil {
			return s, err
		}
	}
	return s, s.awaitRules(ctx)
}

func (s *hostSet) start(one settings.Settings, logs io.Writer) error {
	metrics, err := telemetry.New()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewJSONHandler(logs, nil)).With(slog.String("process", one.Host.Name))
	h, err := host.Build(one, log, metrics)
	if err != nil {
		return err
	}
	if err := h.Start(); err != nil {
		return err
	}
	s.hosts = append(s.hosts, h)
	s.metrics = append(s.metrics, metrics)
	s.live = append(s.live, h.CallerAddress())
	return nil
}

func hostSettings(d *deployment, name string, i int, platformAddress string, keys peer.KeyFiles) (settings.Settings, error) {
	s := settings.Defaults()
	peers, err := freeUDPAddress()
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

// freeUDPAddress returns a loopback address that was free a moment ago. Hosts
// must be listed with their peer address before they start.
func freeUDPAddress() (string, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer c.Close()
	return c.LocalAddr().String(), nil
}

// awaitRules waits until every host has the rules and its targets.
func (s *hostSet) awaitRules(ctx context.Context) error {
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
			return fmt.Errorf("%d of %d hosts have rules and targets", ready, len(s.hosts))
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

// kill ends a host as a crash would. The platform's balancer stops using it.
func (s *hostSet) kill(i int) {
	h := s.hosts[i]
	s.mu.Lock()
	live := s.live[:0:0]
	for _, a := range s.live {
		if a != h.CallerAddress() {
			live = append(live, a)
		}
	}
	s.live = live
	s.mu.Unlock()
	h.Abort()
}

// address returns the host that the balancer picks for the n-th connection.
func (s *hostSet) address(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live[n%len(s.live)]
}

func (s *hostSet) close(ctx context.Context) int64 {
	var cut int64
	var wg conc.WaitGroup
	var mu sync.Mutex
	for _, h := range s.hosts {
		wg.Go(func() {
			n := h.Stop(ctx)
			mu.Lock()
			cut += n
			mu.Unlock()
		})
	}
	wg.Wait()
	s.platform.Close()
	return cut
}

func tempDir() (string, func(), error) {
	dir, err := os.MkdirTemp("", "sardinefront-demo-")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}
