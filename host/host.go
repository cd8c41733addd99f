// Package host implements the entry host process. It accepts requests from callers, schedules
// them in pools, sends each request to one target and serves the operator interface.
package host

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/core/supervise"
	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/fleet"
	"sardinefront.dev/host/internal/callerconn"
	"sardinefront.dev/host/settings"
	"sardinefront.dev/journal"
	"sardinefront.dev/journal/claim"
	"sardinefront.dev/moves"
	"sardinefront.dev/platform"
)

// Host is one entry host. Use New, then Start, then Stop.
type Host struct {
	settings settings.Settings
	log      *slog.Logger
	metrics  *telemetry.Metrics
	// store is closableStore as an interface. Everything except Abort uses it.
	store         platform.KV
	closableStore *closableKV
	hostList      platform.EndpointList
	// weights is the platform's store of model weights. It is nil on a host without a
	// platform, which runs no rollout controllers.
	weights     platform.WeightStore
	moveTracker *moves.Tracker

	journal *journal.Node
	// fleet is nil on a host without peers.
	fleet        *fleet.Node
	digestOffset atomic.Uint64
	// claimsSuspendedUntilNs is the time until which no patient requests are queued, in
	// nanoseconds since the Unix epoch.
	claimsSuspendedUntilNs atomic.Int64
	owner                  claim.Owner

	rules    atomic.Pointer[activeRules]
	pools    atomic.Pointer[map[string]*poolRunner]
	ready    atomic.Bool
	draining atomic.Bool

	// targetUpdateRequested makes runTargets update the targets of the pools at once.
	targetUpdateRequested chan struct{}
	drainRequested        chan struct{}
	drainOnce             sync.Once

	callerServer   *fiber.App
	callerListener *callerconn.TrackingListener
	operatorServer *fiber.App
	// The addresses that the listeners are bound to.
	callerAddress, operatorAddress string
	tasks                          conc.WaitGroup
	ctx                            context.Context
	cancel                         context.CancelCauseFunc
	// drainCtx is cancelled when the host begins to drain.
	drainCtx       context.Context
	cancelDrainCtx context.CancelFunc
	// inProgress counts requests whose response is not yet complete, and background work that
	// a graceful shutdown waits for.
	inProgress atomic.Int64
	// admitting counts requests in their handler, which may not be counted in inProgress yet.
	admitting atomic.Int64
}

// Dependencies are the logger, the metrics and the clients of the platform that a Host uses.
// HostList is the platform's list of hosts and targets; it may be nil if every target is in the
// settings. If Weights is nil, the host runs no rollout controllers.
type Dependencies struct {
	Log      *slog.Logger
	Metrics  *telemetry.Metrics
	Store    platform.KV
	HostList platform.EndpointList
	Weights  platform.WeightStore
}

// New returns a host that is not yet started.
func New(s settings.Settings, d Dependencies) *Host {
	h := &Host{
		settings: s, log: d.Log, metrics: d.Metrics, hostList: d.HostList, weights: d.Weights,
		moveTracker:           moves.NewTracker(s.Host.Name),
		closableStore:         &closableKV{kv: d.Store},
		targetUpdateRequested: make(chan struct{}, 1),
		drainRequested:        make(chan struct{}),
	}
	h.store = h.closableStore
	h.ctx, h.cancel = context.WithCancelCause(context.Background())
	h.drainCtx, h.cancelDrainCtx = context.WithCancel(context.Background())
	h.owner = newOwner(s.Host.Name, time.Now())
	h.pools.Store(&map[string]*poolRunner{})
	return h
}

// Start joins the fleet and listens for callers and operators. It returns once both listeners
// accept connections.
func (h *Host) Start() error {
	if err := h.startRulesSeeding(); err != nil {
		return err
	}
	if err := h.startFleet(); err != nil {
		return fmt.Errorf("listen.peers: %s: %w", h.settings.Listen.Peers, err)
	}
	if h.fleet == nil {
		h.runLoop("rules", h.watchRules)
	} else {
		h.runLoop("move samples", h.runSampleSender)
	}
	if err := h.startJournal(); err != nil {
		return err
	}
	h.runLoop("targets", h.runTargets)
	h.runLoop("moves", h.runMoves)
	if err := h.startCallerServer(); err != nil {
		return fmt.Errorf("listen.callers: %s: %w", h.settings.Listen.Callers, err)
	}
	if err := h.startOperatorServer(); err != nil {
		return fmt.Errorf("listen.operators: %s: %w", h.settings.Listen.Operators, err)
	}
	h.ready.Store(true)
	event.Started.Log(h.log,
		slog.String("host", h.settings.Host.Name),
		slog.String("zone", h.settings.Host.Zone),
		slog.String("callers", h.callerAddress),
		slog.String("operators", h.operatorAddress))
	return nil
}

// runLoop runs f in the background until it returns, again after a panic.
func (h *Host) runLoop(name string, f func()) {
	h.tasks.Go(func() { supervise.Loop(h.ctx, h.log, name, func(context.Context) { f() }) })
}

// Stop shuts down gracefully: it fails readiness checks, waits for the requests in progress and
// then closes the listeners. It returns the number of requests that were cut off because ctx
// ended first.
func (h *Host) Stop(ctx context.Context) int64 {
	h.ready.Store(false)
	h.draining.Store(true)
	h.cancelDrainCtx()
	event.ShutdownStarted.Log(h.log, slog.Int64("in_progress", h.inProgress.Load()))
	cutOff := h.awaitIdle(ctx)
	if cutOff > 0 {
		event.ShutdownForced.Log(h.log, slog.Int64("cut_off", cutOff))
	} else {
		event.ShutdownCompleted.Log(h.log)
	}
	h.cancel(errStopped)
	h.closeListeners()
	if h.fleet != nil {
		_ = h.fleet.Stop()
	}
	h.awaitTasks()
	return cutOff
}

// errStopped ends the requests that are in progress when the time to drain is over.
var errStopped = errors.New("this host has stopped")

// taskStopTimeout bounds the wait for background tasks, which release their leases.
const taskStopTimeout = 3 * time.Second

func (h *Host) awaitTasks() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.tasks.Wait()
	}()
	select {
	case <-done:
	case <-time.After(taskStopTimeout):
	}
}

// DrainRequested returns a channel that is closed when an operator requests a graceful shutdown.
func (h *Host) DrainRequested() <-chan struct{} { return h.drainRequested }

func (h *Host) requestDrain() {
	h.drainOnce.Do(func() { close(h.drainRequested) })
}

// drainPollInterval is how often a draining host checks for requests in progress.
const drainPollInterval = 20 * time.Millisecond

// awaitIdle waits until no request is in progress or ctx ends. It returns the number of requests
// still in progress.
func (h *Host) awaitIdle(ctx context.Context) int64 {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for h.admitting.Load() > 0 || h.inProgress.Load() > 0 {
		select {
		case <-ctx.Done():
			return h.inProgress.Load()
		case <-tick.C:
		}
	}
	return 0
}

// recordRefusal counts and logs a refusal.
func (h *Host) recordRefusal(id, organisation string, tier request.Tier, ref *refusal.Refusal) {
	h.metrics.CountRefusal(tier, ref.Reason)
	event.RequestRefused.Log(h.log,
		slog.String("request", id),
		slog.String("organisation", organisation),
		slog.String("tier", tier.String()),
		slog.String("reason", ref.Reason.String()),
		slog.String("ran", ref.RunState.String()),
		slog.String("detail", ref.Detail))
}

// recordRetry counts and logs a retry after an attempt that sent no byte.
func (h *Host) recordRetry(req *request.Request, reason refusal.RetryReason, target string) {
	h.metrics.CountRetry(reason)
	event.RequestRetried.Log(h.log,
		slog.String("request", req.ID),
		slog.String("reason", reason.String()),
		slog.String("target", target))
}
