// Package gateway assembles the entry host of the platform. It serves callers according to
// the configuration and the target list from the store, and exchanges its state with the
// other hosts by heartbeats.
package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/supervise"
	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/core/wait"
	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/dispatch"
	"sardinefront.dev/gateway/ingress"
	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/gateway/promptparts"
	"sardinefront.dev/gateway/protocol"
	"sardinefront.dev/gateway/quota"
	"sardinefront.dev/gateway/retry"
	"sardinefront.dev/gateway/rollout"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/gateway/settings"
	"sardinefront.dev/gateway/upstream"
	"sardinefront.dev/sched/pace"
	"sardinefront.dev/sched/reserve"
)

// Metrics records the counters and gauges of the process.
type Metrics interface {
	ingress.Metrics
	upstream.DialCounter
	promptparts.Metrics
	dispatch.Metrics
	// RegisterGauge registers read as the source of a gauge.
	RegisterGauge(name string, read func() []telemetry.GaugeValue) error
}

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	Settings settings.Settings
	Store    directory.Store
	Layout   directory.Layout
	Codec    protocol.Codec
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
	Metrics   Metrics
	// Records stores the states of rollouts and the checkpoint.
	Records  RecordStore
	Rollouts RolloutLayout
	// CheckpointKey is the store key of the checkpoint: quota use and target speeds, which
	// hosts otherwise hold only in memory.
	CheckpointKey string
	// MetricsHandler serves the metrics endpoint. It is not used if the settings have no
	// address for it.
	MetricsHandler http.Handler
	Log            *slog.Logger
}

const (
	// dialTimeout bounds a connect to a target; connects take a few milliseconds.
	dialTimeout = 300 * time.Millisecond
	// maintenanceInterval is how often idle connections are closed and the host count is updated.
	maintenanceInterval = time.Second
	// balancerRemovalDelay is how long the load balancer may take to stop sending
	// connections: two readiness probes a second apart, plus connections in flight.
	balancerRemovalDelay = 2500 * time.Millisecond
	// shutdownMargin is left unused at the end of the grace period.
	shutdownMargin = 400 * time.Millisecond
	// lastResponseTime is the time for the responses to the requests that a stop ends.
	lastResponseTime = 150 * time.Millisecond
)

// Gateway is a running entry host.
type Gateway struct {
	cfg         Config
	routing     routing.ActiveTable
	quota       *quota.Meter
	retryBudget *retry.Budget
	schedulers  *dispatch.Schedulers
	upstream    *upstream.Pool
	dir         *directory.Directory
	mesh        *peers.Mesh
	ingress     *ingress.Server
	rollouts    *rollout.Tracker
	parts       *promptparts.Guard
	settings    atomic.Pointer[settings.Settings] // current settings, replaced by Reload
	speeds      speedTable
	// storeRestores counts the returns of the store from an older copy that this host has noticed.
	storeRestores atomic.Int64
	// usageReports is used only by the loop that sends heartbeats.
	usageReports usageReports
	targetIndex  targetIndex
	knownHosts   pace.Membership // used only by runMaintenance
	// directoryChange serialises onDirectoryChange, so that the newest state is applied last.
	directoryChange sync.Mutex
	// restoredSpeeds holds the gaps between events from the checkpoint, in microseconds by
	// target hash.
	restoredSpeeds atomic.Pointer[map[uint32]uint32]

	callers, ready, internal, metrics *http.Server
	conns                             *callerConns // of callers
	stopping                          atomic.Bool
	cancel                            context.CancelFunc
	wg                                conc.WaitGroup
}

// New returns a Gateway. Only Start opens sockets and starts goroutines.
func New(cfg Config) *Gateway {
	s := cfg.Settings
	g := &Gateway{
		cfg:         cfg,
		conns:       newCallerConns(),
		quota:       quota.New(s.QuotaTolerance()),
		upstream:    upstream.New(cfg.Codec, dialTimeout, cfg.Metrics),
		retryBudget: retry.New(s.RetryLimits()),
	}
	g.settings.Store(&s)
	g.schedulers = dispatch.NewSchedulers(s.Host.Zone, cfg.Log, g, cfg.Metrics)
	g.schedulers.SetRegions(s.Regions())
	g.upstream.SetObserver(g.schedulers.RecordResponse)
	g.dir = directory.New(directory.Config{
		Name: s.Host.Name, Store: cfg.Store, Layout: cfg.Layout, ActiveTable: &g.routing, Log: cfg.Log, OnChange: g.onDirectoryChange,
		OnRolloutOrder: g.handleRolloutOrder, OnStoreRestored: g.handleStoreRestored,
	})
	g.rollouts = rollout.New(s.Host.Name, rollout.Limits{MaxShare: s.Rollout.ExposeShare})
	g.parts = promptparts.New(g, cfg.Metrics, cfg.Log)
	g.ingress = ingress.New(ingress.Config{
		Codec: cfg.Codec, Routing: &g.routing, Quota: g.quota, RetryBudget: g.retryBudget, Schedulers: g.schedulers,
		Upstream: g.upstream, Rollouts: g.rollouts, Parts: g.parts, Metrics: cfg.Metrics, Log: cfg.Log,
		BodyMemoryBytes: s.BodyMemoryBytes(),
	})
	return g
}

// Start binds the listeners, starts the background tasks and begins to serve.
func (g *Gateway) Start() error {
	s := g.cfg.Settings
	mesh, err := peers.New(peers.Config{
		Name: s.Host.Name, Zone: s.Host.Zone, Address: s.PeerAddress(), Seeds: s.PeerSeeds(), Log: g.cfg.Log,
	}, g)
	if err != nil {
		return fmt.Errorf("open peer socket %s: %w", s.PeerAddress(), err)
	}
	g.mesh = mesh
	g.dir.SetFleet(mesh)
	g.quota.ExpectPeers(mesh.SeedCount(), time.Now())
	if err := g.registerGauges(); err != nil {
		return err
	}
	g.newServers()
	if err := g.listenAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.wg.Go(func() { mesh.Run(ctx) })
	g.wg.Go(func() { g.dir.Run(ctx) })
	g.runLoop(ctx, "maintenance", g.runMaintenance)
	g.runLoop(ctx, "rollouts", g.runRollouts)
	g.runLoop(ctx, "checkpoints", g.runCheckpoints)
	event.Started.Log(g.cfg.Log, slog.String("host", s.Host.Name), slog.String("callers", s.Listen.Callers))
	return nil
}

// runLoop runs a background loop until ctx ends, again after a panic.
func (g *Gateway) runLoop(ctx context.Context, name string, run func(context.Context)) {
	g.wg.Go(func() { supervise.Loop(ctx, g.cfg.Log, name, run) })
}

// serveReady handles the platform's readiness probe.
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

// onDirectoryChange applies a new configuration or target list to quotas, connections and
// schedulers.
func (g *Gateway) onDirectoryChange() {
	g.directoryChange.Lock()
	defer g.directoryChange.Unlock()
	g.schedulers.SetEvacuatedZones(g.dir.EvacuatedZones())
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

// SendHeartbeat implements dispatch.Peers: it sends a heartbeat at once to the peers that
// receive heartbeats at the full rate.
func (g *Gateway) SendHeartbeat() {
	if g.mesh != nil {
		g.mesh.TriggerFullRateHeartbeats()
	}
}

// SendHeartbeatToAll implements promptparts.Peers.
func (g *Gateway) SendHeartbeatToAll() {
	if g.mesh != nil {
		g.mesh.TriggerHeartbeats()
	}
}

// Hosts implements promptparts.Peers.
func (g *Gateway) Hosts() (self string, hosts []string) {
	self = g.cfg.Settings.Host.Name
	hosts = append(hosts, self)
	for _, p := range g.mesh.Alive(time.Now()) {
		hosts = append(hosts, p.Name)
	}
	return self, hosts
}

// OfferSlot implements dispatch.Peers.
func (g *Gateway) OfferSlot(host, target string) { g.mesh.SendSlotOffer(host, targetHash(target)) }

// HandleSlotOffer implements peers.Delegate.
func (g *Gateway) HandleSlotOffer(target uint32) {
	for _, name := range g.targetIndex.lookup([]uint32{target}) {
		g.schedulers.HandleSlotOffer(name)
	}
}

// FillHeartbeat implements peers.Delegate.
func (g *Gateway) FillHeartbeat(h *peers.Heartbeat, initial bool, now time.Time) {
	g.dir.FillHeartbeat(h, now)
	g.usageReports.fill(h, g.quota, initial, now)
	h.Floors = g.schedulers.Floors()
	if initial {
		h.EventGapsUs = speedsByHash(sampleSpeeds(recentSpeeds(g.schedulers.Speeds(), now), maxInitialSpeeds))
	} else {
		measured := g.schedulers.MeasuredSpeeds(now.Add(-reserve.SpeedTTL))
		h.EventGapsUs = g.speeds.toAnnounce(measured, time.Duration(h.IntervalMs)*time.Millisecond, now)
	}
	for _, name := range g.schedulers.Ejected() {
		h.Ejected = append(h.Ejected, targetHash(name))
	}
	h.Rollouts = g.rollouts.Reports(now)
	h.PromptParts = g.parts.Reports(now)
	h.LeavingAgesMs = g.leavingAges(time.Duration(h.IntervalMs)*time.Millisecond, initial, now)
}

// HandleHeartbeat implements peers.Delegate.
func (g *Gateway) HandleHeartbeat(h *peers.Heartbeat, now time.Time) {
	g.dir.HandleHeartbeat(h, now)
	g.schedulers.ApplyFloors(h.Address, h.Floors)
	if len(h.EventGapsUs) > 0 {
		g.speeds.recordPeerSpeeds(h.EventGapsUs, now)
		g.schedulers.RecordPeerSpeeds(g.targetIndex.resolveSpeeds(h.EventGapsUs))
	}
	if len(h.Ejected) > 0 {
		g.schedulers.RecordPeerEjections(g.plausibleEjections(h.Ejected))
	}
	if len(h.LeavingAgesMs) > 0 {
		g.recordLeavingAges(h.LeavingAgesMs, now)
	}
	ended, err := g.rollouts.MergeReports(h.Name, h.Rollouts, now)
	if err != nil {
		event.PeerRejected.Log(g.cfg.Log, slog.Any("error", err))
	}
	if ended {
		g.applyOutcomes()
	}
	g.parts.Merge(h.PromptParts, now)
	g.quota.RecordPeerUsage(usageReport(h), now)
}

// maxPeerEjectedShare is the share of all targets above which a peer's ejections are
// ignored: the peer itself is probably partitioned from the targets.
const maxPeerEjectedShare = 0.25

// plausibleEjections returns the targets that a peer has ejected, or none if they exceed
// maxPeerEjectedShare. Up to two ejections are always accepted.
func (g *Gateway) plausibleEjections(ejected []uint32) []string {
	if float64(len(ejected)) > max(2, maxPeerEjectedShare*float64(len(g.dir.Targets()))) {
		return nil
	}
	return g.targetIndex.lookup(ejected)
}

// runMaintenance closes expired connections, logs changes in the number of unresponsive
// peers and updates the host count until ctx ends.
func (g *Gateway) runMaintenance(ctx context.Context) {
	lastUnresponsive := 0
	wait.Every(ctx, maintenanceInterval, func(now time.Time) {
		g.upstream.CloseExpired(now)
		if unresponsive, peers := g.quota.UnresponsivePeers(now); unresponsive != lastUnresponsive {
			lastUnresponsive = unresponsive
			event.QuotaReservedForPeers.Log(g.cfg.Log, slog.Int("silent", unresponsive), slog.Int("peers", peers))
		}
		hosts := 1 + len(g.mesh.Alive(now))
		g.retryBudget.SetHosts(hosts)
		g.schedulers.SetHostCount(hosts)
		g.schedulers.SetKnownHosts(g.knownHosts.Observe(1+g.mesh.KnownCount(), now))
	})
}

// Reload applies changed settings: retry budget, quota tolerance, rollout limits, seeds and
// grace period. It reports whether settings changed that need a restart.
func (g *Gateway) Reload(s settings.Settings) (needsRestart bool) {
	old := g.settings.Swap(&s)
	needsRestart = old.Host != s.Host || !slices.Equal(old.Listen.InternalPorts, s.Listen.InternalPorts) ||
		old.Listen.Callers != s.Listen.Callers || old.Listen.Ready != s.Listen.Ready || old.Listen.Metrics != s.Listen.Metrics ||
		old.Store != s.Store
	g.retryBudget.SetLimits(s.RetryLimits())
	g.quota.SetTolerance(s.QuotaTolerance())
	g.rollouts.SetLimits(rollout.Limits{MaxShare: s.Rollout.ExposeShare})
	g.mesh.AddAddresses(s.PeerSeeds())
	g.schedulers.SetRegions(s.Regions())
	g.onDirectoryChange()
	return needsRestart
}

// Stop shuts down gracefully: it fails readiness probes, waits until the load balancer has
// removed the host, closes each connection once its caller may not use it any more, and waits for
// requests in progress. Those that are left are ended shortly before the end of the grace period.
// It returns an error if some are running even then.
func (g *Gateway) Stop() error {
	begun := time.Now()
	removed := begun.Add(balancerRemovalDelay)
	end := begun.Add(g.settings.Load().GracePeriod() - shutdownMargin)
	requestEnd := end.Add(-lastResponseTime)
	event.ShutdownStarted.Log(g.cfg.Log)
	g.stopping.Store(true)
	g.ingress.BeginStop(removed, requestEnd)
	g.mesh.MarkStopping()
	g.conns.drain(ingress.KeepAliveTimeout, removed, requestEnd)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := g.callers.Shutdown(ctx)
	g.cancel()
	_ = g.ready.Close() // only the request listener has to drain
	_ = g.internal.Close()
	_ = g.metrics.Close()
	if err != nil {
		event.ShutdownForced.Log(g.cfg.Log, slog.Any("error", err))
		return fmt.Errorf("requests in progress at the end of the grace period: %w", err)
	}
	event.ShutdownCompleted.Log(g.cfg.Log)
	return nil
}
