package directory

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/platform"
)

const (
	// maxListAge is the age of the list at which the first host by name reads it again. A
	// draining target must get no new requests 2 s after it is listed as draining.
	maxListAge = 600 * time.Millisecond
	// rankDelay is added to maxListAge for each host that precedes this one by name, so that
	// one host reads the store and sends the changes to the others. At most maxRankDelays are
	// added.
	rankDelay     = 260 * time.Millisecond
	maxRankDelays = 3
	// mismatchTimeout is how long a peer's list may differ before this host reads the store
	// itself. A change takes one or two heartbeats to arrive.
	mismatchTimeout = 400 * time.Millisecond
	// historyRetention is the time since this host's last read after which the store may have
	// discarded some of the changes since that read.
	historyRetention = 15 * time.Second
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 300 * time.Millisecond
)

// pollStore reads the store if a read is due.
func (d *Directory) pollStore(ctx context.Context) {
	now := time.Now()
	d.list.ExpireTombstones(now)
	if due, fromPeer := d.relistDue(now); due {
		d.relist(ctx, fromPeer, now)
	} else if d.readDue(now) {
		d.readStore(ctx, now)
	}
}

// readDue reports whether this host must read the store itself.
func (d *Directory) readDue(now time.Time) bool {
	rank := d.rank(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.nextReadAt) {
		return false
	}
	if !d.mismatchSince.IsZero() && now.Sub(d.mismatchSince) > mismatchTimeout || d.removalsDue(now) {
		return true
	}
	return now.Sub(d.freshAt) >= maxListAge+time.Duration(min(rank, maxRankDelays))*rankDelay
}

// rank returns the number of live peers that precede this host by name, among those that send
// it heartbeats at the full rate.
func (d *Directory) rank(now time.Time) int {
	if d.fleet == nil {
		return 0
	}
	n := 0
	for _, p := range d.fleet.Alive(now) {
		if p.Name < d.cfg.Name && p.HeartbeatInterval <= peers.HeartbeatInterval {
			n++
		}
	}
	return n
}

// readStore reads the changes since this host's last read, or everything if the store no
// longer has them.
func (d *Directory) readStore(ctx context.Context, now time.Time) {
	d.mu.Lock()
	after, readAt, listNext := d.readRevision, d.readAt, d.listNext
	becameReader := !d.isReader
	d.isReader = true
	d.mu.Unlock()
	if becameReader {
		event.BecameStoreReader.Log(d.cfg.Log, sinceLastRead(readAt, now))
	}
	var err error
	if after > 0 && now.Sub(readAt) < historyRetention && !listNext {
		err = d.readChanges(ctx, after, now)
	} else {
		err = platform.ErrCompacted
	}
	d.mu.Lock()
	// The same changes would take as long again.
	d.listNext = !listNext && errors.Is(err, context.DeadlineExceeded)
	d.mu.Unlock()
	if errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrTooLarge) {
		err = d.readAll(ctx, now)
	}
	d.finishRead(ctx, err, now)
}

// storeFailing reports whether this host's last read has failed and no host has read the store
// since. The caller holds the lock.
func (d *Directory) storeFailing() bool { return d.readFailed() && !d.freshAt.After(d.failedAt) }

// readFailed reports whether this host's last read has failed. The caller holds the lock.
func (d *Directory) readFailed() bool { return d.failedAt.After(d.readAt) }

// sinceLastRead returns the log attribute for the time since the last read, if there was one.
func sinceLastRead(readAt, now time.Time) slog.Attr {
	if readAt.IsZero() {
		return slog.String("lastRead", "never")
	}
	return slog.Duration("lastRead", now.Sub(readAt))
}

// readChanges reads and applies the changes after a revision.
func (d *Directory) readChanges(ctx context.Context, after int64, began time.Time) error {
	changes, asOf, err := d.cfg.Store.Changes(ctx, "", after, 0)
	if err != nil {
		return err
	}
	now := time.Now()
	unconfirmed := d.recordOwnResponse(now)
	d.applying.Lock()
	defer d.applying.Unlock()
	if !d.isCurrentEra(d.cfg.Store.Era()) {
		return platform.ErrCompacted
	}
	d.applyChanges(changes, fromStore, unconfirmed, now)
	d.confirmRemovals(began, now)
	d.mu.Lock()
	d.readRevision = asOf
	d.mu.Unlock()
	return nil
}

// storeListing is the whole content of the store. Targets and operator entries are read one after the
// other and may be of different revisions.
type storeListing struct {
	era                       int64
	targets, operator         []platform.Entry
	targetsAsOf, operatorAsOf int64
}

// listStore reads the whole content of the store, which must stay in one era meanwhile.
func (d *Directory) listStore(ctx context.Context) (all storeListing, err error) {
	store := d.cfg.Store
	all.era = store.Era()
	all.targets, all.targetsAsOf, err = store.Snapshot(ctx, d.cfg.Layout.TargetPrefix)
	if err != nil {
		return all, err
	}
	if all.era == 0 {
		all.era = store.Era() // the first response tells the era
	}
	all.operator, all.operatorAsOf, err = store.Snapshot(ctx, d.cfg.Layout.OperatorPrefix)
	if err != nil {
		return all, err
	}
	if store.Era() != all.era {
		return all, errStoreRestored
	}
	return all, nil
}

// readAll reads the whole content of the store and applies it.
func (d *Directory) readAll(ctx context.Context, began time.Time) error {
	d.mu.Lock()
	first := d.freshAt.IsZero()
	d.mu.Unlock()
	all, err := d.listStore(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	unconfirmed := d.recordOwnResponse(now)
	d.applying.Lock()
	defer d.applying.Unlock()
	if err := d.beginListing(all.era, now); err != nil {
		return err
	}
	operator := d.withoutEarlierOrders(all.operator)
	d.applyChanges(append(operator, d.missingOrders(operator, all.operatorAsOf)...), fromStore, false, now)
	from := fromStore
	if first {
		from = fromPeer // the initial list is not sent to peers
	}
	d.listChanged(d.list.Replace(all.targets, all.targetsAsOf, unconfirmed, now), from, now)
	d.finishListing(min(all.targetsAsOf, all.operatorAsOf), from, now)
	d.confirmRemovals(began, now)
	d.mu.Lock()
	d.readRevision = all.targetsAsOf
	d.mu.Unlock()
	return nil
}

// finishRead records the result of a read. If the read failed, the host gets what it lacks from a peer.
func (d *Directory) finishRead(ctx context.Context, err error, began time.Time) {
	d.mu.Lock()
	failedBefore := d.readFailed()
	if err == nil {
		d.readAt, d.freshAt, d.mismatchSince = began, began, time.Time{}
	} else {
		d.failedAt = time.Now()
		d.nextReadAt = d.failedAt.Add(readRetryDelay)
	}
	neverRead, mismatchPeer := d.freshAt.IsZero(), ""
	if err != nil && !d.mismatchSince.IsZero() && began.Sub(d.snapshotFetchedAt) >= snapshotFetchInterval {
		mismatchPeer, d.snapshotFetchedAt = d.mismatchPeer, began
	}
	d.mu.Unlock()
	switch {
	case err != nil && !failedBefore:
		event.StoreUnreachable.Log(d.cfg.Log, slog.Any("error", err))
	case err == nil && failedBefore:
		event.StoreReachable.Log(d.cfg.Log)
	}
	switch {
	case err != nil && neverRead:
		d.fetchSnapshotFromAny(ctx)
	case mismatchPeer != "":
		d.fetchSnapshot(ctx, mismatchPeer)
	}
}
