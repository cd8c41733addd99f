// Package gateway is the entry host on the platform: it serves callers with the
// configuration and targets that the store names, and shares what it knows with
// the other hosts.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/dispatch"
	"sardinefront.dev/gateway/ingress"
	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/gateway/protocol"
	"sardinefront.dev/gateway/quota"
	"sardinefront.dev/gateway/retry"
	"sardinefront.dev/gateway/rollout"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/gateway/settings"
	"sardinefront.dev/gateway/upstream"
)

// Metrics takes the counts and gauges of the process.
type Metrics interface {
	ingress.Metrics
	upstream.Counter
	// Observe makes a function the source of a gauge.
	Observe(name string, read func() []telemetry.Sample) error
}

// Config connects a Gateway to its surroundings.
type Config struct {
	Settings settings.Settings
	Store    directory.Store
	Layout   directory.Layout
	Codec    protocol.Codec
	// ReadyPath is the path of the readiness question.
	ReadyPath string
	Metrics   Metrics
	// Records keeps the states of rollouts and the checkpoint.
	Records  RecordStore
	Rollouts RolloutLayout
	// CheckpointKey is the key of what hosts know only in memory.
	CheckpointKey string
	// MetricsPage serves the metrics; nil serves none.
	MetricsHandler http.Handler
	Log            *slog.Logger
}

const (
	// dialTimeout bounds a connect to a target; connects take a few milliseconds.
	dialTimeout = 300 * time.Millisecond
	// headerTimeout bounds the arrival of a request's head where the configuration
	// does not say.
	headerTimeout = 5 * time.Second
	// idleTimeout closes callers' connections that have been idle for longer than
	// any configuration lets them.
	idleTimeout = 2 * time.Minute
	// headerBytes bounds a request's head.
	headerBytes = 64 << 10
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = time.Second
	// unlistTime is how long the balancer may take to notice a stop: two questions
	// a second apart, and connections on their way.
	unlistTime = 2500 * time.Millisecond
	// stopMargin is kept before the end of the grace time.
	stopMargin = 400 * time.Millisecond
)

// Gateway is a running entry host.
type Gateway struct {
	cfg      Config
	current  routing.ActiveTable
	quota    *quota.Meter
	budget   *retry.Budget
	services *dispatch.Services
	upstream *upstream.Pool
	dir      *directory.Directory
	mesh     *peers.Mesh
	ingress  *ingress.Server
	rollouts *rollout.Tracker
	settings atomic.Pointer[settings.Settings] // in force, after Reload
	speeds   speedTable
	names    shortNames
	restored atomic.Pointer[map[uint32]uint32] // speeds from the checkpoint

	callers, ready, internal, metrics *http.Server
	stopping                          atomic.Bool
	cancel                            context.CancelFunc
	wg                                conc.WaitGroup
}

// New builds a gateway. Nothing runs before Start.
func New(cfg Config) *Gateway {
	s := cfg.Settings
	g := &Gateway{
		cfg:      cfg,
		quota:    quota.New(s.QuotaTolerance()),
		upstream: upstream.New(cfg.Codec, dialTimeout, cfg.Metrics),
		budget:   retry.New(s.RetryLimits()),
	}
	g.settings.Store(&s)
	g.services = dispatch.NewServices(s.Host.Zone, cfg.Log, g)
	g.dir = directory.New(directory.Config{
		Name: s.Host.Name, Store: cfg.Store, Layout: cfg.Layout, Current: &g.current, Log: cfg.Log, OnChange: g.update,
		OnRolloutOrder: g.ordered,
	})
	g.rollouts = rollout.New(s.Host.Name, rollout.Limits{MaxShare: s.Rollout.ExposeShare})
	g.ingress = ingress.New(ingress.Config{
		Codec: cfg.Codec, Current: &g.current, Quota: g.quota, Budget: g.budget, Services: g.services,
		Upstream: g.upstream, Rollouts: g.rollouts, Metrics: cfg.Metrics, Log: cfg.Log,
	})
	return g
}

// Start binds the addresses and begins to serve.
func (g *Gateway) Start() error {
	s := g.cfg.Settings
	mesh, err := peers.New(peers.Config{
		Name: s.Host.Name, Zone: s.Host.Zone, Address: s.PeerAddress(), Seeds: s.PeerSeeds(), Log: g.cfg.Log,
	}, g)
	if err != nil {
		return fmt.Errorf("peer socket: %w", err)
	}
	g.mesh = mesh
	g.dir.SetFleet(mesh)
	g.quota.ExpectPeers(mesh.SeedCount(), time.Now())
	if err := g.observe(); err != nil {
		return err
	}
	g.callers = &http.Server{
		Handler: g.ingress, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: slog.NewLogLogger(g.cfg.Log.Handler(), slog.LevelDebug),
	}
	g.ready = &http.Server{Handler: http.HandlerFunc(g.serveReady)}
	g.metrics = &http.Server{Handler: g.cfg.MetricsHandler}
	g.internal = &http.Server{Handler: peers.SnapshotHandler(g.dir)}
	if err := g.listenAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.wg.Go(func() { mesh.Run(ctx) })
	g.wg.Go(func() { g.dir.Run(ctx) })
	g.wg.Go(func() { g.sweep(ctx) })
	g.wg.Go(func() { g.steer(ctx) })
	g.wg.Go(func() { g.keepCheckpoint(ctx) })
	event.Started.Log(g.cfg.Log, slog.String("host", s.Host.Name), slog.String("callers", s.Listen.Callers))
	return nil
}

func (g *Gateway) listenAll() error {
	s := g.cfg.Settings
	servers := []struct {
		server  *http.Server
		address string
	}{{g.callers, s.Listen.Callers}, {g.ready, s.Listen.Ready}, {g.internal, s.PeerAddress()}, {g.metrics, s.Listen.Metrics}}
	for _, l := range servers {
		if l.address == "" {
			continue
		}
		if err := g.listen(l.server, l.address); err != nil {
			return err
		}
	}
	return nil
}

func (g *Gateway) listen(server *http.Server, address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	g.wg.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			g.cfg.Log.Error("server ended", "address", address, "error", err)
		}
	})
	return nil
}

// serveReady answers the platform's question.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.cfg.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if g.stopping.Load() || !g.dir.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// update follows a change of the configuration or of the list of targets.
func (g *Gateway) update() {
	table := g.current.Load()
	if table == nil {
		return
	}
	limits := make(map[string]quota.Limit, len(table.Organisations))
	for _, o := range table.Organisations {
		limits[o.Name] = quota.Limit{Rate: o.Rate, Burst: o.Burst}
	}
	g.quota.SetLimits(limits, time.Now())
	targets := g.dir.Targets()
	keys := make(map[string]bool, len(targets))
	for i := range targets {
		keys[targets[i].Key()] = true
	}
	g.upstream.Retain(keys)
	g.names.set(keys)
	g.services.Update(table, targets)
	g.seedRestored()
}

// Tell implements dispatch.Peers: it sends a heartbeat at once to the peers that get all
// of them.
func (g *Gateway) Tell() {
	if g.mesh != nil {
		g.mesh.TriggerFullRateHeartbeats()
	}
}

// Offer implements dispatch.Peers.
func (g *Gateway) Offer(host, target string) { g.mesh.SendSlotOffer(host, shortName(target)) }

// Offered implements peers.State.
func (g *Gateway) HandleSlotOffer(target uint32) {
	for _, name := range g.names.lookup([]uint32{target}) {
		g.services.Freed(name)
	}
}

// Fill implements peers.State.
func (g *Gateway) FillHeartbeat(h *peers.Heartbeat, greeting bool, now time.Time) {
	g.dir.FillHeartbeat(h, now)
	h.OwnUsage = g.quota.OwnUsage()
	h.Floors = g.services.Floors()
	speeds := g.services.Speeds()
	h.EventGapsUs = g.speeds.news(speeds, time.Duration(h.IntervalMs)*time.Millisecond, now)
	if greeting {
		h.EventGapsUs = shortSpeeds(recent(speeds, now))
	}
	for _, name := range g.services.Ejected() {
		h.Ejected = append(h.Ejected, shortName(name))
	}
	h.Rollouts = g.rollouts.Reports(now)
	h.FleetUsage = g.quota.FleetUsage(now)
}

// Heard implements peers.State.
func (g *Gateway) HandleHeartbeat(h *peers.Heartbeat, now time.Time) {
	g.dir.HandleHeartbeat(h, now)
	g.services.Heard(h.Address, h.Floors)
	if len(h.EventGapsUs) > 0 {
		g.speeds.heard(h.EventGapsUs, now)
		g.services.Seed(g.names.resolve(h.EventGapsUs))
	}
	if len(h.Ejected) > 0 {
		g.services.Doubt(g.trusted(h.Ejected))
	}
	if err := g.rollouts.MergeReports(h.Name, h.Rollouts, now); err != nil {
		event.PeerRejected.Log(g.cfg.Log, slog.Any("error", err))
	}
	g.quota.RecordPeerUsage(h.Name, h.Incarnation, h.OwnUsage, h.FleetUsage, time.Duration(h.IntervalMs)*time.Millisecond, time.Duration(h.UptimeMs)*time.Millisecond, now)
}

// mostEjected is the part of all targets from which a peer that has ejected them is
// taken to be cut off itself.
const mostEjected = 0.25

// trusted returns the targets that a peer has ejected, none if they are too many.
func (g *Gateway) trusted(ejected []uint32) []string {
	if float64(len(ejected)) > max(2, mostEjected*float64(len(g.dir.Targets()))) {
		return nil
	}
	return g.names.lookup(ejected)
}

func (g *Gateway) sweep(ctx context.Context) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	charged := 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			g.upstream.Sweep(now)
			if silent, peers := g.quota.UnresponsivePeers(now); silent != charged {
				charged = silent
				event.PeersCharged.Log(g.cfg.Log, slog.Int("silent", silent), slog.Int("peers", peers))
			}
			hosts := 1 + len(g.mesh.Alive(now))
			g.budget.SetHosts(hosts)
			g.services.SetHosts(hosts)
		}
	}
}

// Reload takes changed settings: budgets, tolerances and the grace time. It reports
// whether others changed, which count from the next start only.
func (g *Gateway) Reload(s settings.Settings) (needsRestart bool) {
	old := g.settings.Swap(&s)
	needsRestart = old.Host != s.Host || !slices.Equal(old.Listen.InternalPorts, s.Listen.InternalPorts) ||
		old.Listen.Callers != s.Listen.Callers || old.Listen.Ready != s.Listen.Ready || old.Listen.Metrics != s.Listen.Metrics ||
		old.Store != s.Store
	g.budget.SetLimits(s.RetryLimits())
	g.quota.SetTolerance(s.QuotaTolerance())
	g.rollouts.SetLimits(rollout.Limits{MaxShare: s.Rollout.ExposeShare})
	g.mesh.AddAddresses(s.PeerSeeds())
	g.update()
	return needsRestart
}

// Stop shuts down gracefully: the balancer is told first, then idle connections
// are closed, and requests in progress end within the grace time. It returns an
// error if some did not.
func (g *Gateway) Stop() error {
	end := time.Now().Add(g.settings.Load().Grace() - stopMargin)
	event.ShutdownBegun.Log(g.cfg.Log)
	g.stopping.Store(true)
	g.ingress.Stop()
	g.mesh.MarkStopping()
	time.Sleep(min(unlistTime, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := g.callers.Shutdown(ctx)
	g.cancel()
	_ = g.ready.Close() // nothing waits on it any more
	_ = g.internal.Close()
	_ = g.metrics.Close()
	if err != nil {
		event.ShutdownCut.Log(g.cfg.Log, slog.Any("error", err))
		return fmt.Errorf("requests in progress at the end of the grace time: %w", err)
	}
	event.ShutdownDone.Log(g.cfg.Log)
	return nil
}
