package host

import (
	"context"
	"log/slog"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/platform"
	"sardinefront.dev/target"
)

// backend is the client of a target.
type backend interface {
	target.Target
}

// engineBackend is the client of an engine. It can resume and cancel streams and send control
// commands.
type engineBackend interface {
	backend
	Resume(ctx context.Context, id string, offset int64) (*target.Response, error)
	Cancel(ctx context.Context, id string) error
	LoadModel(ctx context.Context, command target.LoadCommand) error
	LoadReport(ctx context.Context) (target.LoadReport, error)
	CacheEvents(ctx context.Context, after int64) ([]target.CacheEvent, error)
}

// runTargets updates the targets of each pool at every HostListInterval and on request.
func (h *Host) runTargets() {
	tick := time.NewTicker(h.settings.Platform.HostListInterval)
	defer tick.Stop()
	for {
		h.updateTargets()
		h.updateHostPositions()
		select {
		case <-h.ctx.Done():
			return
		case <-tick.C:
		case <-h.targetUpdateRequested:
		}
	}
}

// updateTargets reads the target list and sets the targets of each pool. If the list cannot be
// read, the last one stays in use.
func (h *Host) updateTargets() {
	listed, err := h.listTargets()
	if err != nil {
		event.TargetListStale.Log(h.log, slog.String("error", err.Error()))
		return
	}
	for name, runner := range *h.pools.Load() {
		infos := listed[name]
		runner.targetInfos.Store(&infos)
		// The version shares are set before the targets, so that a version never receives more
		// than its share, not even at the start.
		h.applyVersionShares(runner)
		runner.setTargets(infos, h.settings)
	}
}

// listTargets returns the targets of the settings and of the platform's host list, by pool.
func (h *Host) listTargets() (map[string][]platform.Endpoint, error) {
	byPool := make(map[string][]platform.Endpoint)
	for _, t := range h.settings.Targets {
		byPool[t.Pool] = append(byPool[t.Pool], platform.Endpoint{
			Name: t.Name, Role: platform.RoleTarget, Address: t.Address, Zone: t.Zone, Pool: t.Pool, Version: t.Version,
		})
	}
	if h.hostList == nil {
		return byPool, nil
	}
	ctx, cancel := context.WithTimeout(h.ctx, h.settings.Platform.HostListInterval)
	defer cancel()
	infos, err := h.hostList.ListEndpoints(ctx)
	if err != nil {
		return nil, err
	}
	for _, info := range infos {
		if info.Role == platform.RoleTarget {
			byPool[info.Pool] = append(byPool[info.Pool], info)
		}
	}
	return byPool, nil
}
