package directory

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"sardinefront.dev/core/event"
	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/platform"
)

const (
	// readEvery is how old the list may get before the first host reads it again.
	// A target that leaves must get no new work 2 s after it is listed as leaving.
	readEvery = 600 * time.Millisecond
	// rankStep is added for each host that comes before this one, so that one host
	// reads and the others hear from it; maxRank bounds the sum.
	rankStep = 260 * time.Millisecond
	maxRank  = 3
	// mismatchTime is how long a peer's list may differ before this host reads for
	// itself: a change on its way takes one or two heartbeats.
	mismatchTime = 400 * time.Millisecond
	// peerHeadStart is how long a peer may take to pass on a configuration before the
	// store is asked, so that its calls don't grow with the number of hosts.
	peerHeadStart = 250 * time.Millisecond
	// fetchPause is kept between fetches of the list from peers.
	fetchPause = time.Second
	// passOnBeats is how many heartbeats to the same peer repeat a change.
	passOnBeats = 2
	// passOnMost bounds the time for which it is repeated.
	passOnMost = 4 * time.Second
	// maxPassOn bounds the bytes of changes in one heartbeat. Hosts that miss a
	// change notice it by the digest.
	maxPassOn = 1000
	// historyKept is the age of this host's revision from which a watch may be
	// answered that the history is gone.
	historyKept = 15 * time.Second
	// retryRead is the pause after a failed read.
	retryRead = 300 * time.Millisecond
	// pollStep is how often the directory looks whether something is due.
	pollStep = 50 * time.Millisecond
	// doubtAfter is the time without a successful read from which entries may have
	// lapsed while the store was away.
	doubtAfter = 2500 * time.Millisecond
)

// Store is what the directory needs of the platform's store.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	Snapshot(ctx context.Context, prefix string) ([]platform.Entry, int64, error)
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platform.Entry, int64, error)
}

// Layout names the keys of the store and reads their values.
type Layout struct {
	ConfigKey     string
	TargetPrefix  string
	RolloutPrefix string
	DecodeTarget  Decode
	DecodeConfig  func(value []byte) (routing.Config, error)
}

// Fleet is what the directory needs of the peers.
type Fleet interface {
	Alive(now time.Time) []peers.Peer
	// KickNear tells the hosts of the zone at once; other zones have readers of their own.
	TriggerFullRateHeartbeats()
	// Fetch gets what a peer holds, for a host that cannot reach the store.
	// Version is the configuration that this host has, 0 for none.
	FetchSnapshot(ctx context.Context, address string, version int64) (*peers.Snapshot, error)
	// FetchConfig gets a peer's configuration, empty if it is no newer than the version.
	FetchConfig(ctx context.Context, address string, version int64) ([]byte, error)
}

// Config connects a directory.
type Config struct {
	Name        string
	Store       Store
	Layout      Layout
	ActiveTable *routing.ActiveTable
	Log         *slog.Logger
	// Changed is called after the configuration or the list has changed.
	OnChange func()
	// Ordered is called with each rollout order, which a removal ends.
	OnRolloutOrder func(service string, e platform.Entry)
}

// Directory follows the store.
type Directory struct {
	cfg   Config
	list  *List
	fleet Fleet

	mu sync.Mutex
	// asOf is the revision up to which this host itself has read.
	asOf int64
	// readAt is when the last successful read of this host began.
	readAt time.Time
	// freshAt is when the list was last known to be current.
	freshAt time.Time
	failed  bool // the last read failed
	reading bool // this host reads because no other does in time
	nextTry time.Time
	// mismatch is since when a peer with a fresher list differs, and fresher that peer.
	mismatch time.Time
	fresher  string
	// fetchedAt is when this host last asked a peer for a list that differs.
	fetchedAt time.Time
	// wanted is a newer configuration version, wantedFrom the peers that have it and
	// failedFrom those of them that did not answer, which are asked last.
	wanted     int64
	wantedFrom []string
	failedFrom []string
	recent     []passedOn
	config     []byte
	// configVersion is that of config, which follows the one in force.
	configVersion int64
	orders        map[string]int64 // revision of the newest order by key
}

// source says where this host learned something.
type source uint8

const (
	fromPeer source = iota
	// fromStore is what this host tells its peers: if each passed on what it hears, a
	// change would cost a message for each pair of hosts.
	fromStore
)

// passedOn is a change that heartbeats repeat.
type passedOn struct {
	change platform.Entry
	at     time.Time
}

// New returns a directory that knows nothing yet.
func New(cfg Config) *Directory {
	return &Directory{cfg: cfg, list: NewList(cfg.Layout.DecodeTarget), orders: map[string]int64{}}
}

// SetFleet connects the peers. Call it before Run.
func (d *Directory) SetFleet(f Fleet) { d.fleet = f }

// Targets returns the targets in use.
func (d *Directory) Targets() []Target { return d.list.Targets() }

// Ready reports whether a configuration and a list are known.
func (d *Directory) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg.ActiveTable.Load() != nil && !d.freshAt.IsZero()
}

// Age returns the time since the list was last known to be current, 0 before the
// first one.
func (d *Directory) ListAge(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.freshAt.IsZero() {
		return 0
	}
	return now.Sub(d.freshAt)
}

// Run follows the store and the peers until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { every(ctx, pollStep, func() { d.followStore(ctx) }) })
	wg.Go(func() { d.followConfig(ctx) })
	wg.Wait()
}

// every calls step at once and then in intervals of the period until ctx ends.
func every(ctx context.Context, period time.Duration, step func()) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		step()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// followStore drops entries whose time is over and reads the store if that is due.
func (d *Directory) followStore(ctx context.Context) {
	now := time.Now()
	if gone := d.list.Expire(now); len(gone) > 0 {
		d.changed(gone, fromPeer, now) // each host notices it by itself
	}
	if d.due(now) {
		d.read(ctx, now)
	}
}

// due reports whether this host must read the store itself.
func (d *Directory) due(now time.Time) bool {
	rank := d.rank(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.nextTry) {
		return false
	}
	if !d.mismatch.IsZero() && now.Sub(d.mismatch) > mismatchTime {
		return true
	}
	return now.Sub(d.freshAt) >= readEvery+time.Duration(min(rank, maxRank))*rankStep
}

// rank counts the live peers that come before this host, among those that tell it of
// every change at once.
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

// read reads the changes since this host's last read, or everything.
func (d *Directory) read(ctx context.Context, now time.Time) {
	d.mu.Lock()
	after, readAt := d.asOf, d.readAt
	began := !d.reading
	d.reading = true
	doubtful := d.failed || !d.freshAt.IsZero() && now.Sub(d.freshAt) > doubtAfter
	d.mu.Unlock()
	if began {
		event.BecameStoreReader.Log(d.cfg.Log, slog.Duration("lastRead", now.Sub(readAt)))
	}
	var err error
	if after > 0 && now.Sub(readAt) < historyKept {
		err = d.readChanges(ctx, after, doubtful, now)
	} else {
		err = platform.ErrCompacted
	}
	if errors.Is(err, platform.ErrCompacted) {
		err = d.readAll(ctx, doubtful, now)
	}
	d.finishRead(ctx, err, now)
}

func (d *Directory) readChanges(ctx context.Context, after int64, doubtful bool, now time.Time) error {
	changes, asOf, err := d.cfg.Store.Changes(ctx, "", after, 0)
	if err != nil {
		return err
	}
	d.take(changes, fromStore, doubtful, now)
	d.mu.Lock()
	d.asOf = asOf
	d.mu.Unlock()
	return nil
}

func (d *Directory) readAll(ctx context.Context, doubtful bool, now time.Time) error {
	l := d.cfg.Layout
	d.mu.Lock()
	first := d.freshAt.IsZero()
	d.mu.Unlock()
	targets, asOf, err := d.cfg.Store.Snapshot(ctx, l.TargetPrefix)
	if err != nil {
		return err
	}
	c, err := d.cfg.Store.Get(ctx, l.ConfigKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if err == nil {
		d.take([]platform.Entry{c}, fromStore, false, now)
	}
	orders, _, err := d.cfg.Store.Snapshot(ctx, l.RolloutPrefix)
	if err != nil {
		return err
	}
	d.take(orders, fromStore, false, now)
	news := fromStore
	if first {
		news = fromPeer // the whole list is not news
	}
	d.changed(d.list.Replace(targets, asOf, doubtful, now), news, now)
	d.mu.Lock()
	d.asOf = asOf
	d.mu.Unlock()
	return nil
}

func (d *Directory) finishRead(ctx context.Context, err error, began time.Time) {
	d.mu.Lock()
	was := d.failed
	d.failed = err != nil
	if err == nil {
		d.readAt, d.freshAt, d.mismatch = began, began, time.Time{}
	} else {
		d.nextTry = time.Now().Add(retryRead)
	}
	never, fresher := d.freshAt.IsZero(), ""
	if err != nil && !d.mismatch.IsZero() && began.Sub(d.fetchedAt) >= fetchPause {
		fresher, d.fetchedAt = d.fresher, began
	}
	d.mu.Unlock()
	switch {
	case err != nil && !was:
		event.StoreUnreachable.Log(d.cfg.Log, slog.Any("error", err))
	case err == nil && was:
		event.StoreReachable.Log(d.cfg.Log)
	}
	switch {
	case err != nil && never:
		d.fetchFromPeer(ctx)
	case fresher != "":
		d.fetchBulk(ctx, fresher)
	}
}

// take sorts changes by what they are about.
func (d *Directory) take(changes []platform.Entry, from source, doubtful bool, now time.Time) {
	l := d.cfg.Layout
	var targets []platform.Entry
	for _, c := range changes {
		switch {
		case c.Key == l.ConfigKey && !c.Deleted:
			if d.adopt(c.Value) && from == fromStore {
				d.kick()
			}
		case strings.HasPrefix(c.Key, l.TargetPrefix):
			targets = append(targets, c)
		case strings.HasPrefix(c.Key, l.RolloutPrefix):
			d.order(c, from, now)
		}
	}
	d.changed(d.list.Apply(targets, doubtful, now), from, now)
}

func (d *Directory) order(c platform.Entry, from source, now time.Time) {
	d.mu.Lock()
	known := d.orders[c.Key] >= c.Revision
	if !known {
		d.orders[c.Key] = c.Revision
		if from == fromStore {
			d.recent = append(d.recent, passedOn{c, now})
		}
	}
	d.mu.Unlock()
	if known || d.cfg.OnRolloutOrder == nil {
		return
	}
	d.cfg.OnRolloutOrder(strings.TrimPrefix(c.Key, d.cfg.Layout.RolloutPrefix), c)
	if from == fromStore {
		d.kick()
	}
}

// adopt puts a configuration in force if it is newer, and reports whether it was.
func (d *Directory) adopt(value []byte) bool {
	c, err := d.cfg.Layout.DecodeConfig(value)
	if err != nil {
		event.ConfigRejected.Log(d.cfg.Log, slog.Any("error", err))
		return false
	}
	if !d.cfg.ActiveTable.StoreIfNewer(routing.Compile(c)) {
		return false
	}
	d.mu.Lock()
	if c.Version > d.configVersion { // two loops may adopt at the same time
		d.config, d.configVersion = slices.Clone(value), c.Version
	}
	d.mu.Unlock()
	event.ConfigApplied.Log(d.cfg.Log, slog.Int64("version", c.Version), slog.Int("routes", len(c.Routes)))
	d.cfg.OnChange()
	return true
}

// changed follows a change of the list, and tells the peers if the store told this host.
func (d *Directory) changed(changes []platform.Entry, from source, now time.Time) {
	if len(changes) == 0 {
		return
	}
	if from == fromStore {
		d.mu.Lock()
		for _, c := range changes {
			d.recent = append(d.recent, passedOn{c, now})
		}
		d.mu.Unlock()
	}
	for _, c := range changes {
		event.TargetListChanged.Log(d.cfg.Log, slog.String("key", c.Key), slog.Int64("revision", c.Revision), slog.Bool("removed", c.Deleted))
	}
	d.cfg.OnChange()
	if from == fromStore {
		d.kick()
	}
}

func (d *Directory) kick() {
	if d.fleet != nil {
		d.fleet.TriggerFullRateHeartbeats()
	}
}
