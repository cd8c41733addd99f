package host

import (
	"context"
	"log/slog"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/platform"
	"sardinefront.dev/target"
)

// backend is a target as this host talks to it.
type backend interface {
	target.Target
}

// engineBackend is a backend that knows streams and control commands.
type engineBackend interface {
	backend
	Resume(ctx context.Context, id string, offset int64) (*target.Answer, error)
	Cancel(ctx context.Context, id string) error
	Load(ctx context.Context, order target.Order) error
	Report(ctx context.Context) (target.LoadReport, error)
	CacheEvents(ctx context.Context, after int64) ([]target.CacheEvent, error)
}

// runTargets keeps the targets of each pool in step with the platform's list.
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

// updateTargets reads the list once and hands each pool its targets. If the
// list cannot be read, the last one stays in use.
func (h *Host) updateTargets() {
	listed, err := h.listTargets()
	if err != nil {
		event.TargetListStale.Log(h.log, slog.String("error", err.Error()))
		return
	}
	for name, runner := range *h.pools.Load() {
		infos := listed[name]
		runner.targetInfos.Store(&infos)
		// The shares come first, so that no version receives more than its own
		// even at the start.
		h.applyVersionShares(runner)
		runner.setTargets(infos, h.settings)
	}
}

func (h *Host) listTargets() (map[string][]platform.HostInfo, error) {
	byPool := make(map[string][]platform.HostInfo)
	for _, t := range h.settings.Targets {
		byPool[t.Pool] = append(byPool[t.Pool], platform.HostInfo{
			Name: t.Name, Role: platform.RoleTarget, Address: t.Address, Zone: t.Zone, Pool: t.Pool, Version: t.Version,
		})
	}
	if h.hosts == nil {
		return byPool, nil
	}
	ctx, cancel := context.WithTimeout(h.ctx, h.settings.Platform.HostListInterval)
	defer cancel()
	infos, err := h.hosts.Hosts(ctx)
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
