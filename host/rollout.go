package host

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/wait"
	"sardinefront.dev/moves"
	"sardinefront.dev/moves/control"
	"sardinefront.dev/platform"
	"sardinefront.dev/rules"
	"sardinefront.dev/target"
)

// rollout runs the rollout controller of one pool on this host.
type rollout struct {
	host       *Host
	runner     *poolRunner
	model      string
	controller *moves.Controller
}

// startRollout starts the rollout controller of an engine pool. A controller on a host that may
// not send control commands to the pool never becomes active. Hosts without a store of model
// weights start no controller and only track moves.
func (h *Host) startRollout(p rules.Pool, runner *poolRunner) {
	r := &rollout{host: h, runner: runner, model: p.Name}
	if h.weights == nil {
		return
	}
	r.controller = moves.NewController(moves.Config{
		Pool:          p.Name,
		Model:         p.Name,
		Host:          h.owner.Host + "/" + strconv.FormatUint(h.owner.Incarnation, 10),
		KV:            h.store,
		Weights:       h.weights,
		Loader:        r,
		Tracker:       h.moveTracker,
		Now:           time.Now,
		Rules:         r.moveRules,
		Targets:       runner.moveTargets,
		IsCandidate:   r.isCandidate,
		TargetsFenced: p.Fenced,
		OnReport:      r.logReport,
		CountOutcome:  h.metrics.CountMove,
		OnError: func(err error) {
			event.MoveStepRetried.Log(h.log, slog.String("pool", p.Name), slog.String("error", err.Error()))
		},
	})
	h.tasks.Go(r.run)
}

func (r *rollout) run() {
	r.loadMoveState()
	wait.Every(r.host.ctx, controllerInterval, func(time.Time) { r.controller.Tick(r.host.ctx) })
	// Releases the lease, so that another controller can acquire it at once.
	r.controller.Close(context.Background())
}

// loadMoveState reads the state of the pool's move from the store, so that a host that starts
// during a move applies its version shares. Later states come from peers.
func (r *rollout) loadMoveState() {
	for r.host.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(r.host.ctx, moveStateTimeout)
		e, err := r.host.store.Get(ctx, "moves/"+r.runner.name+"/state")
		cancel()
		if errors.Is(err, platform.ErrNotFound) {
			return
		}
		if err != nil {
			wait.Sleep(r.host.ctx, moveStateRetryInterval)
			continue
		}
		if s, err := moves.DecodeState(e.Value); err == nil {
			r.host.moveTracker.ApplyState(r.runner.name, s, time.Now())
			r.host.applyVersionShares(r.runner)
		}
		return
	}
}

// moveRules returns the pool's move rules that have not ended.
func (r *rollout) moveRules() []control.Move {
	set := r.host.rules.Load()
	if set == nil {
		return nil
	}
	var found []control.Move
	for _, m := range set.rules.Moves() {
		if m.Pool == r.runner.name && !m.Ended {
			found = append(found, control.Move{
				Pool: m.Pool, Model: r.model, From: strconv.Itoa(m.From), To: strconv.Itoa(m.To), By: m.By, AtMost: m.AtMost,
			})
		}
	}
	return found
}

// isCandidate reports whether this host may run the pool's moves: it may send control commands
// to the engines and it is among the first in the order of hosts. A pool that never had a move
// has no candidate, which saves the lease and the calls to the store.
func (r *rollout) isCandidate() bool {
	set := r.host.rules.Load()
	if set == nil {
		return false
	}
	p, ok := set.rules.Pool(r.runner.name)
	if !ok || (!p.AuthenticatesCommands && !r.host.settings.Commands.AllowsUnchecked(p.Name)) {
		return false
	}
	if len(r.moveRules()) == 0 && r.host.moveTracker.TrafficSplit(r.runner.name) == nil {
		return false
	}
	if r.host.fleet == nil {
		return true
	}
	return isCandidate(r.host.settings.Host.Name, r.host.fleet.Members(), poolRankKey(r.runner.name))
}

// poolRankKey returns the key for rankHosts that orders the hosts for a pool's controller.
func poolRankKey(pool string) int { return int(xxhash.Sum64String(pool) % (1 << 16)) }

// Load implements moves.Loader.
func (r *rollout) Load(ctx context.Context, name string, command moves.LoadCommand) error {
	b, ok := r.runner.backend(name)
	if !ok {
		return platform.ErrNotFound
	}
	e, ok := b.(engineBackend)
	if !ok {
		return platform.ErrNotFound
	}
	return e.LoadModel(ctx, target.LoadCommand{Model: command.Model, Version: command.Version, FencingToken: command.FencingToken})
}

func (r *rollout) logReport(e event.Event, report control.Report) {
	e.Log(r.host.log,
		slog.String("pool", report.Move.Pool),
		slog.String("move", report.ID),
		slog.String("from", report.Move.From),
		slog.String("to", report.Move.To),
		slog.String("detail", report.Detail))
}
