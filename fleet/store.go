package fleet

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/internal/core"
	"sardinefront.dev/platform"
)

// The waits between reads of a store that fails. A fleet of 18 watchers then
// makes at most 18 calls per second against it.
const (
	storeRetry    = time.Second
	storeRetryMax = 8 * time.Second
)

// storeState is what the store loop knows. Only that loop uses it.
type storeState struct {
	revision int64
	failing  bool
	retry    time.Duration
	refused  int64 // the older number reported last
}

// followStore reads the store once and then watches it while this host is one
// of its zone's watchers.
func (n *Node) followStore() {
	next := time.Now()
	for n.ctx.Err() == nil {
		watching := n.isWatcher()
		if watching || !time.Now().Before(next) {
			next = time.Now().Add(n.readPeriod())
			n.readStore()
		}
		wait := time.Second
		switch {
		case n.store.failing:
			wait = n.store.retry
		case watching:
			n.watchStore()
			wait = 0
		}
		n.sleep(wait)
	}
}

// readPeriod spreads the reads of the hosts that do not watch. It is shorter
// until a first rules file is held.
func (n *Node) readPeriod() time.Duration {
	if n.LatestRules().Number == 0 {
		return n.cfg.WatchTimeout
	}
	return n.cfg.StoreReadInterval + time.Duration(n.cfg.Incarnation%97)*n.cfg.StoreReadInterval/97
}

func (n *Node) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.ctx.Done():
	}
}

func (n *Node) isWatcher() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.WatchesStore()
}

func (n *Node) readStore() {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.WatchTimeout)
	defer cancel()
	e, err := n.cfg.KV.Get(ctx, config.RulesKey)
	if errors.Is(err, platform.ErrNotFound) {
		n.storeAnswered()
		n.store.revision = 0
		n.takeStored(config.RulesFile{})
		return
	}
	if err != nil {
		n.storeFailed(err)
		return
	}
	n.storeAnswered()
	// A store that was set back restarts its revisions lower, so the watch
	// always goes on from the revision read here.
	n.store.revision = e.Revision
	n.takeEntry(e)
}

// watchStore waits for the next change.
func (n *Node) watchStore() {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.WatchTimeout)
	defer cancel()
	entries, _, err := n.cfg.KV.Watch(ctx, config.RulesKey, n.store.revision)
	if err != nil {
		if ctx.Err() == nil {
			n.storeFailed(err)
		}
		return
	}
	for _, e := range entries {
		if e.Key != config.RulesKey {
			continue
		}
		n.store.revision = e.Revision
		if !e.Deleted {
			n.takeEntry(e)
		}
	}
}

func (n *Node) takeEntry(e platform.Entry) {
	v, err := config.DecodeRulesFile(e.Value)
	if err != nil {
		event.ConfigRejected.Log(n.cfg.Logger, slog.Any("error", err))
		return
	}
	n.takeStored(v)
}

// takeStored passes the store's file to the core and reports an older one once.
func (n *Node) takeStored(v config.RulesFile) {
	n.do(func(c *core.Core, now time.Time) core.Actions { return c.HandleStoreValue(v, now) })
	held := n.LatestRules().Number
	if v.Number >= held {
		n.store.refused = held
		return
	}
	if n.store.refused == v.Number && n.store.refused != 0 {
		return
	}
	n.store.refused = v.Number
	event.ConfigRejected.Log(n.cfg.Logger, slog.Int64("number", v.Number), slog.Int64("held", held),
		slog.String("error", "the store holds an older rules file than this host"))
}

func (n *Node) storeAnswered() {
	if n.store.failing {
		event.StoreReachable.Log(n.cfg.Logger)
	}
	n.store.failing, n.store.retry = false, 0
}

func (n *Node) storeFailed(err error) {
	if n.ctx.Err() != nil {
		return
	}
	if !n.store.failing {
		event.StoreUnreachable.Log(n.cfg.Logger, slog.Any("error", err))
	}
	n.store.failing = true
	n.store.retry = min(max(storeRetry, 2*n.store.retry), storeRetryMax)
}
