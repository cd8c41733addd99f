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
		Tracker:       h.moveTracker,
		Now:           time.Now,
		Rules:         r.moveRules,
		Targets:       runner.moveTargets,
		IsCandidate:   r.isCandidate,
		TargetsFenced: p.Fenced,
		OnReport:      r.logReport,
		CountOutcome:  h.metrics.Move,
		OnError: func(err error) {
			event.MoveRetried.Log(h.log, slog.String("pool", p.Name), slog.String("error", err.Error()))
		},
	})
	h.tasks.Go(r.run)
}

func (r *rollout) run() {
	r.loadMoveState()
	tick := time.NewTicker(controllerInterval)
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
func (r *rollout) loadMoveState() {
	for r.h.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(r.h.ctx, moveStateTimeout)
		e, err := r.h.store.Get(ctx, "moves/"+r.runner.name+"/state")
		cancel()
		if errors.Is(err, platform.ErrNotFound) {
			return
		}
		if err != nil {
			r.h.sleep(moveStateRetryInterval)
			continue
		}
		if s, err := moves.DecodeState(e.Value); err == nil {
			r.h.moveTracker.ApplyState(r.runner.name, s, time.Now())
			r.h.applyVersionShares(r.runner)
		}
		return
	}
}

// rules returns the pool's move rules in force that have not ended.
func (r *rollout) moveRules() []steer.Move {
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
func (r *rollout) isCandidate() bool {
	set := r.h.rules.Load()
	if set == nil {
		return false
	}
	p, ok := set.rules.Pool(r.runner.name)
	if !ok || (!p.Checked && !r.h.settings.Commands.AllowsUnchecked(p.Name)) {
		return false
	}
	if len(r.moveRules()) == 0 && r.h.moveTracker.TrafficSplit(r.runner.name) == nil {
		return false
	}
	if r.h.fleet == nil {
		return true
	}
	return isCandidate(r.h.settings.Host.Name, r.h.fleet.Members(), poolRankKey(r.runner.name))
}

// poolOrder selects the order of hosts for a pool's controller as partitions do
// for their writers.
func poolRankKey(pool string) int { return int(xxhash.Sum64String(pool) % (1 << 16)) }

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
	return e.Load(ctx, target.Order{Model: o.Model, Version: o.Version, Fence: o.FencingToken})
}

func (r *rollout) logReport(e event.Event, report steer.Report) {
	e.Log(r.h.log,
		slog.String("pool", report.Move.Pool),
		slog.String("move", report.ID),
		slog.String("from", report.Move.From),
		slog.String("to", report.Move.To),
		slog.String("detail", report.Detail))
}
