package fleet

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/wait"
	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/internal/core"
	"sardinefront.dev/platform"
)

// The backoff between reads of a failing store. With 18 watchers in the fleet, a
// failing store receives at most 18 calls per second.
const (
	minStoreBackoff = time.Second
	maxStoreBackoff = 8 * time.Second
)

// storeState is the state of followStore. Only its goroutine uses it.
type storeState struct {
	revision       int64
	unreachable    bool
	backoff        time.Duration
	reportedNumber int64 // last number logged as older than this host's rules file
	// unreadableRevision is the revision of the last rules file that was logged as unreadable.
	unreadableRevision int64
}

// followStore reads the store once and then watches it while this host is one
// of its zone's watchers.
func (n *Node) followStore() {
	next := time.Now()
	for n.ctx.Err() == nil {
		watching := n.isWatcher()
		if watching || !time.Now().Before(next) {
			next = time.Now().Add(n.storeReadInterval())
			n.readStore()
		}
		delay := time.Second
		switch {
		case n.store.unreachable:
			delay = n.store.backoff
		case watching:
			n.watchStore()
			delay = 0
		}
		wait.Sleep(n.ctx, delay)
	}
}

// storeReadInterval returns the time between reads by a host that does not watch
// the store. It varies by host to spread the load, and is shorter until the host
// has received its first rules file.
func (n *Node) storeReadInterval() time.Duration {
	if n.LatestRules().Number == 0 {
		return n.cfg.WatchTimeout
	}
	return n.cfg.StoreReadInterval + time.Duration(n.cfg.Incarnation%97)*n.cfg.StoreReadInterval/97
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
		n.recordStoreSuccess()
		n.store.revision = 0
		n.handleStoreValue(config.RulesFile{})
		return
	}
	if err != nil {
		n.recordStoreFailure(err)
		return
	}
	n.recordStoreSuccess()
	// A store that was rolled back restarts at lower revisions, so the watch
	// always continues from the revision read here.
	n.store.revision = e.Revision
	n.handleStoreEntry(e)
}

// watchStore waits for the next change, at most WatchTimeout.
func (n *Node) watchStore() {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.WatchTimeout)
	defer cancel()
	entries, _, err := n.cfg.KV.Watch(ctx, config.RulesKey, n.store.revision)
	if err != nil {
		if ctx.Err() == nil {
			n.recordStoreFailure(err)
		}
		return
	}
	for _, e := range entries {
		if e.Key != config.RulesKey {
			continue
		}
		n.store.revision = e.Revision
		if !e.Deleted {
			n.handleStoreEntry(e)
		}
	}
}

func (n *Node) handleStoreEntry(e platform.Entry) {
	v, err := config.DecodeRulesFile(e.Value)
	if err != nil {
		if n.store.unreadableRevision != e.Revision {
			n.store.unreadableRevision = e.Revision
			event.ConfigRejected.Log(n.cfg.Logger, slog.Any("error", err))
		}
		return
	}
	n.handleStoreValue(v)
}

// handleStoreValue passes the store's rules file to the core. A file that is older
// than this host's is logged once.
func (n *Node) handleStoreValue(v config.RulesFile) {
	n.step(func(c *core.Core, now time.Time) core.Actions { return c.HandleStoreValue(v, now) })
	held := n.LatestRules().Number
	if v.Number >= held {
		n.store.reportedNumber = held
		return
	}
	if n.store.reportedNumber == v.Number && n.store.reportedNumber != 0 {
		return
	}
	n.store.reportedNumber = v.Number
	event.ConfigRejected.Log(n.cfg.Logger, slog.Int64("number", v.Number), slog.Int64("held", held),
		slog.String("error", "the store holds an older rules file than this host"))
}

func (n *Node) recordStoreSuccess() {
	if n.store.unreachable {
		event.StoreReachable.Log(n.cfg.Logger)
	}
	n.store.unreachable, n.store.backoff = false, 0
}

func (n *Node) recordStoreFailure(err error) {
	if n.ctx.Err() != nil {
		return
	}
	if !n.store.unreachable {
		event.StoreUnreachable.Log(n.cfg.Logger, slog.Any("error", err))
	}
	n.store.unreachable = true
	n.store.backoff = min(max(minStoreBackoff, 2*n.store.backoff), maxStoreBackoff)
}
