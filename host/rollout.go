package host

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinefront.dev/core/event"
	"sardinefront.dev/moves"
	"sardinefront.dev/moves/steer"
	"sardinefront.dev/platform"
	"sardinefront.dev/rules"
	"sardinefront.dev/target"
)

// rollout is this host's part in the moves of one pool.
type rollout struct {
	h          *Host
	runner     *poolRunner
	model      string
	controller *moves.Controller
}

// startRollout starts the rollout controller of a pool of engines. Hosts that
// may not give orders to the pool's engines only track the moves of others.
func (h *Host) startRollout(p rules.Pool, runner *poolRunner) {
	r := &rollout{h: h, runner: runner, model: p.Name}
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
		Tracker:       h.tracker,
		Now:           time.Now,
		Rules:         r.rules,
		Targets:       runner.steerTargets,
		IsCandidate:   r.candidate,
		TargetsFenced: p.Fenced,
		OnReport:      r.report,
		CountOutcome:  h.metrics.CountMove,
		OnError: func(err error) {
			event.MoveStepRetried.Log(h.log, slog.String("pool", p.Name), slog.String("error", err.Error()))
		},
	})
	h.tasks.Go(r.run)
}

func (r *rollout) run() {
	r.readState()
	tick := time.NewTicker(controllerEvery)
	defer tick.Stop()
	for {
		select {
		case <-r.h.ctx.Done():
			// The lease is given up, so that a successor need not wait.
			r.controller.Close(context.Background())
			return
		case <-tick.C:
			r.controller.Tick(r.h.ctx)
		}
	}
}

// readState learns from the store where a move stands, so that a host that
// starts in the middle of one keeps to its shares. Later states come from peers.
func (r *rollout) readState() {
	for r.h.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(r.h.ctx, stateTimeout)
		e, err := r.h.store.Get(ctx, "moves/"+r.runner.name+"/state")
		cancel()
		if errors.Is(err, platform.ErrNotFound) {
			return
		}
		if err != nil {
			r.h.sleep(stateRetry)
			continue
		}
		if s, err := moves.DecodeState(e.Value); err == nil {
			r.h.tracker.ApplyState(r.runner.name, s, time.Now())
			r.h.applyShares(r.runner)
		}
		return
	}
}

// rules returns the pool's move rules in force that have not ended.
func (r *rollout) rules() []steer.Move {
	set := r.h.rules.Load()
	if set == nil {
		return nil
	}
	var found []steer.Move
	for _, m := range set.rules.Moves() {
		if m.Pool == r.runner.name && !m.Ended {
			found = append(found, steer.Move{
				Pool: m.Pool, Model: r.model, From: strconv.Itoa(m.From), To: strconv.Itoa(m.To), By: m.By, AtMost: m.AtMost,
			})
		}
	}
	return found
}

// candidate reports whether this host may steer the pool: the settings allow it
// to give orders there and it comes first in the order of hosts. A pool without
// a move, and without one that ended, needs no lease and no calls to the store.
func (r *rollout) candidate() bool {
	set := r.h.rules.Load()
	if set == nil {
		return false
	}
	p, ok := set.rules.Pool(r.runner.name)
	if !ok || (!p.AuthenticatesCommands && !r.h.settings.Commands.AllowsUnchecked(p.Name)) {
		return false
	}
	if len(r.rules()) == 0 && r.h.tracker.TrafficSplit(r.runner.name) == nil {
		return false
	}
	if r.h.fleet == nil {
		return true
	}
	return isCandidate(r.h.settings.Host.Name, r.h.fleet.Members(), poolOrder(r.runner.name))
}

// poolOrder selects the order of hosts for a pool's controller as partitions do
// for their writers.
func poolOrder(pool string) int { return int(xxhash.Sum64String(pool) % (1 << 16)) }

// Load implements moves.Loader.
func (r *rollout) Load(ctx context.Context, name string, o moves.LoadCommand) error {
	b, ok := r.runner.backend(name)
	if !ok {
		return platform.ErrNotFound
	}
	e, ok := b.(engineBackend)
	if !ok {
		return platform.ErrNotFound
	}
	return e.LoadModel(ctx, target.LoadCommand{Model: o.Model, Version: o.Version, FencingToken: o.FencingToken})
}

func (r *rollout) report(e event.Event, rep steer.Report) {
	e.Log(r.h.log,
		slog.String("pool", rep.Move.Pool),
		slog.String("move", rep.ID),
		slog.String("from", rep.Move.From),
		slog.String("to", rep.Move.To),
		slog.String("detail", rep.Detail))
}
