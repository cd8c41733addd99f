// Package host is the entry host process: it takes requests from callers,
// lets the pools decide, sends each request to one target and tells operators
// what happened.
package host

import (
	"context"
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
	// store is gate, kept apart for its narrow type.
	store platform.KV
	gate  *gate
	hosts platform.MachineList
	// weights is nil on a host without a platform, which steers no moves.
	weights platform.WeightStore
	tracker *moves.Tracker

	journal *journal.Node
	// fleet is nil on a host without peers.
	fleet      *fleet.Node
	digestTurn atomic.Uint64
	// claimsSuspended is the time, in Unix nanoseconds, until which patient
	// requests are not queued.
	claimsSuspended atomic.Int64
	owner           claim.Owner

	rules    atomic.Pointer[ruleSet]
	pools    atomic.Pointer[map[string]*poolRunner]
	ready    atomic.Bool
	draining atomic.Bool

	// targetsChanged wakes the loop that assigns targets to pools.
	targetsChanged chan struct{}
	drain          chan struct{}
	drainOnce      sync.Once

	callers        *fiber.App
	callerListener *callerconn.Tracker
	operators      *fiber.App
	// The addresses that the listeners are bound to.
	callerAddress, operatorAddress string
	tasks                          conc.WaitGroup
	ctx                            context.Context
	cancel                         context.CancelFunc
	// drainCtx ends when the host begins to drain.
	drainCtx  context.Context
	drainStop context.CancelFunc
	// active counts requests whose answer is not yet complete.
	active atomic.Int64
}

// Dependencies are the outside systems of a host. Hosts may be nil if every
// target is in the settings.
type Dependencies struct {
	Log     *slog.Logger
	Metrics *telemetry.Metrics
	Store   platform.KV
	Hosts   platform.MachineList
	Weights platform.WeightStore
}

// New returns a host that is not yet started.
func New(s settings.Settings, d Dependencies) *Host {
	h := &Host{
		settings: s, log: d.Log, metrics: d.Metrics, hosts: d.Hosts, weights: d.Weights,
		tracker:        moves.NewTracker(s.Host.Name),
		gate:           &gate{kv: d.Store},
		targetsChanged: make(chan struct{}, 1),
		drain:          make(chan struct{}),
	}
	h.store = h.gate
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.drainCtx, h.drainStop = context.WithCancel(context.Background())
	h.owner = newOwner(s.Host.Name, time.Now())
	h.pools.Store(&map[string]*poolRunner{})
	return h
}

// Start listens for callers and operators. It returns once both accept
// connections.
func (h *Host) Start() error {
	if err := h.startConfig(); err != nil {
		return err
	}
	if err := h.startFleet(); err != nil {
		return fmt.Errorf("listen.peers: %w", err)
	}
	if h.fleet == nil {
		h.tasks.Go(h.followStore)
	} else {
		h.tasks.Go(h.runEvidence)
	}
	if err := h.startJournal(); err != nil {
		return err
	}
	h.tasks.Go(h.runTargets)
	h.tasks.Go(h.runMoves)
	if err := h.startCallers(); err != nil {
		return fmt.Errorf("listen.callers: %s: %w", h.settings.Listen.Callers, err)
	}
	if err := h.startOperators(); err != nil {
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

// Stop ends the host gracefully: readiness drops, requests in progress finish,
// then listeners close. It returns the number of requests that were cut off
// because ctx ended first.
func (h *Host) Stop(ctx context.Context) int64 {
	h.ready.Store(false)
	h.draining.Store(true)
	h.drainStop()
	event.ShutdownStarted.Log(h.log, slog.Int64("in_progress", h.active.Load()))
	left := h.awaitIdle(ctx)
	if left > 0 {
		event.ShutdownForced.Log(h.log, slog.Int64("cut_off", left))
	} else {
		event.ShutdownCompleted.Log(h.log)
	}
	h.cancel()
	h.closeListeners()
	if h.fleet != nil {
		_ = h.fleet.Stop()
	}
	h.awaitTasks()
	return left
}

// stopTimeout bounds the wait for background work, which gives up leases.
const stopTimeout = 3 * time.Second

func (h *Host) awaitTasks() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.tasks.Wait()
	}()
	select {
	case <-done:
	case <-time.After(stopTimeout):
	}
}

// DrainRequested is closed when an operator asks for a graceful shutdown.
func (h *Host) DrainRequested() <-chan struct{} { return h.drain }

func (h *Host) requestDrain() {
	h.drainOnce.Do(func() { close(h.drain) })
}

// drainPoll is how often a draining host looks at its requests in progress.
const drainPoll = 20 * time.Millisecond

func (h *Host) awaitIdle(ctx context.Context) int64 {
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for h.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return h.active.Load()
		case <-tick.C:
		}
	}
	return 0
}

// refused counts and logs a refusal.
func (h *Host) refused(id, organisation string, tier request.Tier, ref *refusal.Refusal) {
	h.metrics.CountRefusal(tier, ref.Reason)
	event.RequestRefused.Log(h.log,
		slog.String("request", id),
		slog.String("organisation", organisation),
		slog.String("tier", tier.String()),
		slog.String("reason", ref.Reason.String()),
		slog.String("ran", ref.RunState.String()),
		slog.String("detail", ref.Detail))
}

// retried counts and logs a further try after one that sent no byte.
func (h *Host) retried(req *request.Request, why refusal.RetryReason, target string) {
	h.metrics.CountRetry(why)
	event.RequestRetried.Log(h.log,
		slog.String("request", req.ID),
		slog.String("reason", why.String()),
		slog.String("target", target))
}
