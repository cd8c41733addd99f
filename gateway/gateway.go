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
	upstream.DialCounter
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
	maxHeaderBytes = 64 << 10
	// sweepEvery is how often idle connections are looked at.
	maintenanceInterval = time.Second
	// unlistTime is how long the balancer may take to notice a stop: two questions
	// a second apart, and connections on their way.
	balancerRemovalDelay = 2500 * time.Millisecond
	// stopMargin is kept before the end of the grace time.
	shutdownMargin = 400 * time.Millisecond
)

// Gateway is a running entry host.
type Gateway struct {
	cfg            Config
	routing        routing.Current
	quota          *quota.Meter
	retryBudget    *retry.Budget
	schedulers     *dispatch.Schedulers
	upstream       *upstream.Pool
	dir            *directory.Directory
	mesh           *peers.Mesh
	ingress        *ingress.Server
	rollouts       *rollout.Tracker
	settings       atomic.Pointer[settings.Settings] // in force, after Reload
	speeds         speedTable
	targetIndex    targetIndex
	restoredSpeeds atomic.Pointer[map[uint32]uint32] // speeds from the checkpoint

	callers, ready, internal, metrics *http.Server
	stopping                          atomic.Bool
	cancel                            context.CancelFunc
	wg                                conc.WaitGroup
}

// New builds a gateway. Nothing runs before Start.
func New(cfg Config) *Gateway {
	s := cfg.Settings
	g := &Gateway{
		cfg:         cfg,
		quota:       quota.New(s.QuotaTolerance()),
		upstream:    upstream.New(cfg.Codec, dialTimeout, cfg.Metrics),
		retryBudget: retry.New(s.RetryLimits()),
	}
	g.settings.Store(&s)
	g.schedulers = dispatch.NewSchedulers(s.Host.Zone, cfg.Log, g)
	g.dir = directory.New(directory.Config{
		Name: s.Host.Name, Store: cfg.Store, Layout: cfg.Layout, Current: &g.routing, Log: cfg.Log, Changed: g.onDirectoryChange,
		Ordered: g.handleRolloutOrder,
	})
	g.rollouts = rollout.New(s.Host.Name, rollout.Limits{Share: s.Rollout.ExposeShare})
	g.ingress = ingress.New(ingress.Config{
		Codec: cfg.Codec, Routing: &g.routing, Quota: g.quota, RetryBudget: g.retryBudget, Schedulers: g.schedulers,
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
	g.quota.Expect(mesh.Expected(), time.Now())
	if err := g.registerGauges(); err != nil {
		return err
	}
	g.callers = &http.Server{
		Handler: g.ingress, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(g.cfg.Log.Handler(), slog.LevelDebug),
	}
	g.ready = &http.Server{Handler: http.HandlerFunc(g.serveReady)}
	g.metrics = &http.Server{Handler: g.cfg.MetricsHandler}
	g.internal = &http.Server{Handler: peers.BulkHandler(g.dir)}
	if err := g.listenAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.wg.Go(func() { mesh.Run(ctx) })
	g.wg.Go(func() { g.dir.Run(ctx) })
	g.wg.Go(func() { g.runMaintenance(ctx) })
	g.wg.Go(func() { g.runRollouts(ctx) })
	g.wg.Go(func() { g.runCheckpoints(ctx) })
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
func (g *Gateway) onDirectoryChange() {
	table := g.routing.Load()
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
	g.targetIndex.set(keys)
	g.schedulers.Update(table, targets)
	g.applyRestoredSpeeds()
}

// Tell implements dispatch.Peers: it sends a heartbeat at once to the peers that get all
// of them.
func (g *Gateway) SendHeartbeat() {
	if g.mesh != nil {
		g.mesh.KickNear()
	}
}

// Offer implements dispatch.Peers.
func (g *Gateway) OfferSlot(host, target string) { g.mesh.Offer(host, targetHash(target)) }

// Offered implements peers.State.
func (g *Gateway) Offered(target uint32) {
	for _, name := range g.targetIndex.lookup([]uint32{target}) {
		g.schedulers.SlotFreed(name)
	}
}

// Fill implements peers.State.
func (g *Gateway) Fill(h *peers.Heartbeat, greeting bool, now time.Time) {
	g.dir.Fill(h, now)
	h.Use = g.quota.Use()
	h.Floors = g.schedulers.Floors()
	speeds := g.schedulers.Speeds()
	h.Speeds = g.speeds.toAnnounce(speeds, time.Duration(h.EveryMs)*time.Millisecond, now)
	if greeting {
		h.Speeds = speedsByHash(recentSpeeds(speeds, now))
	}
	for _, name := range g.schedulers.Ejected() {
		h.Ejected = append(h.Ejected, targetHash(name))
	}
	h.Rollouts = g.rollouts.Report(now)
	h.Spent = g.quota.Spent(now)
}

// Heard implements peers.State.
func (g *Gateway) Heard(h *peers.Heartbeat, now time.Time) {
	g.dir.Heard(h, now)
	g.schedulers.ApplyFloors(h.Address, h.Floors)
	if len(h.Speeds) > 0 {
		g.speeds.recordPeerSpeeds(h.Speeds, now)
		g.schedulers.RecordPeerSpeeds(g.targetIndex.resolveSpeeds(h.Speeds))
	}
	if len(h.Ejected) > 0 {
		g.schedulers.RecordPeerEjections(g.plausibleEjections(h.Ejected))
	}
	if err := g.rollouts.Heard(h.Name, h.Rollouts, now); err != nil {
		event.PeerRejected.Log(g.cfg.Log, slog.Any("error", err))
	}
	g.quota.Report(h.Name, h.Incarnation, h.Use, h.Spent, time.Duration(h.EveryMs)*time.Millisecond, time.Duration(h.UpMs)*time.Millisecond, now)
}

// mostEjected is the part of all targets from which a peer that has ejected them is
// taken to be cut off itself.
const maxPeerEjectedShare = 0.25

// trusted returns the targets that a peer has ejected, none if they are too many.
func (g *Gateway) plausibleEjections(ejected []uint32) []string {
	if float64(len(ejected)) > max(2, maxPeerEjectedShare*float64(len(g.dir.Targets()))) {
		return nil
	}
	return g.targetIndex.lookup(ejected)
}

func (g *Gateway) runMaintenance(ctx context.Context) {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	charged := 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			g.upstream.CloseExpired(now)
			if silent, peers := g.quota.Silent(now); silent != charged {
				charged = silent
				event.PeersCharged.Log(g.cfg.Log, slog.Int("silent", silent), slog.Int("peers", peers))
			}
			hosts := 1 + len(g.mesh.Alive(now))
			g.retryBudget.SetHosts(hosts)
			g.schedulers.SetHostCount(hosts)
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
	g.retryBudget.SetLimits(s.RetryLimits())
	g.quota.SetTolerance(s.QuotaTolerance())
	g.rollouts.SetLimits(rollout.Limits{Share: s.Rollout.ExposeShare})
	g.mesh.Learn(s.PeerSeeds())
	g.onDirectoryChange()
	return needsRestart
}

// Stop shuts down gracefully: the balancer is told first, then idle connections
// are closed, and requests in progress end within the grace time. It returns an
// error if some did not.
func (g *Gateway) Stop() error {
	end := time.Now().Add(g.settings.Load().GracePeriod() - shutdownMargin)
	event.ShutdownBegun.Log(g.cfg.Log)
	g.stopping.Store(true)
	g.ingress.StopKeepAlives()
	g.mesh.Stop()
	time.Sleep(min(balancerRemovalDelay, time.Until(end)))
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
