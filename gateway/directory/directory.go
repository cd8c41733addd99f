package directory

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/supervise"
	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/platform"
)

const (
	// storeReadDelay is the time for a peer to send a configuration before it is read from the
	// store, so that the number of store requests does not grow with the number of hosts.
	storeReadDelay = 250 * time.Millisecond
	// snapshotFetchInterval is the minimum time between fetches of a peer's list after a
	// mismatch.
	snapshotFetchInterval = time.Second
	// changeRepeats is the number of heartbeats to the same peer that repeat a change.
	changeRepeats = 2
	// maxChangeRepeatTime bounds the time for which a change is repeated.
	maxChangeRepeatTime = 4 * time.Second
	// maxUnreadTime bounds the assumed age of a rollout order that was just read. Usually the
	// store is read more often.
	maxUnreadTime = time.Second
	// maxChangeBytes bounds the size of the changes in one heartbeat. Hosts that miss a change
	// notice it by the digest of the list.
	maxChangeBytes = 1000
	// pollInterval is how often the directory checks whether a read or a fetch is due.
	pollInterval = 50 * time.Millisecond
)

// Store is the part of the platform's store that the directory uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	Snapshot(ctx context.Context, prefix string) ([]platform.Entry, int64, error)
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platform.Entry, int64, error)
	// Era returns the highest era that the store has sent, 0 for none. It rises when the store comes
	// back from an older copy of its content.
	Era() int64
}

// Layout contains the keys of the store and the decoders of their values.
type Layout struct {
	ConfigKey     string
	TargetPrefix  string
	RolloutPrefix string
	// EvacuationPrefix plus the name of an availability zone is the key of its evacuation. Empty
	// if there are none.
	EvacuationPrefix string
	// OperatorPrefix is the prefix of ConfigKey, RolloutPrefix and EvacuationPrefix. All are read
	// in one call.
	OperatorPrefix string
	DecodeTarget   Decode
	DecodeConfig   func(value []byte) (routing.Config, error)
}

// Fleet is the part of the peer mesh that the directory uses.
type Fleet interface {
	Alive(now time.Time) []peers.Peer
	// TriggerFullRateHeartbeats sends heartbeats now to the peers at the full rate, which
	// include those in the zone. Peers at longer intervals have a host at the full rate that
	// reads the store for them.
	TriggerFullRateHeartbeats()
	// FetchSnapshot fetches a peer's state, for a host that can't reach the store. Version is
	// that of this host's configuration, 0 for none.
	FetchSnapshot(ctx context.Context, address string, version int64) (*peers.Snapshot, error)
	// FetchConfig fetches a peer's configuration. The result is empty if it is not newer than
	// version.
	FetchConfig(ctx context.Context, address string, version int64) ([]byte, error)
}

// Config contains the settings and dependencies of a Directory.
type Config struct {
	Name        string
	Store       Store
	Layout      Layout
	ActiveTable *routing.ActiveTable
	Log         *slog.Logger
	// OnChange is called after each change of the configuration, the target list or the evacuated
	// zones. Like OnRolloutOrder, it may be called while changes are applied, so neither may call
	// HandleHeartbeat or Snapshot.
	OnChange func()
	// OnRolloutOrder is called for each new rollout order and for the removal of an order. The
	// order was written at most age ago.
	OnRolloutOrder func(service string, e platform.Entry, age time.Duration)
	// OnStoreRestored is called when the store has come back from an older copy, before the rollout
	// orders of the copy. It must not call the directory.
	OnStoreRestored func()
}

// Directory follows the store and the peers. Its methods are safe for concurrent use.
type Directory struct {
	cfg   Config
	list  *List
	fleet Fleet

	// applying serialises the changes of the list and the orders with the check of their era. It is
	// locked before mu.
	applying sync.Mutex

	mu sync.Mutex
	// readRevision is the revision of the store up to which this host itself has read.
	readRevision int64
	// readAt is the start time of this host's last successful read.
	readAt time.Time
	// freshAt is the latest time at which the list was confirmed to be current.
	freshAt  time.Time
	failedAt time.Time // when the last failed read ended
	isReader bool      // this host reads the store because no other one did in time
	// listNext makes the next read a complete listing, which comes in pages of limited size.
	listNext   bool
	nextReadAt time.Time
	// mismatchSince is the time since which a peer with a newer list has a different one;
	// mismatchPeer is the address of that peer.
	mismatchSince time.Time
	mismatchPeer  string
	// snapshotFetchedAt is when this host last fetched a peer's state after a mismatch.
	snapshotFetchedAt time.Time
	// wantedVersion is the newest configuration version that a peer has announced.
	// wantedPeers are the addresses of the peers that have it, and failedPeers those of them
	// from which a fetch has failed. The failed ones are tried last.
	wantedVersion int64
	wantedPeers   []string
	failedPeers   []string
	recentChanges []recentChange
	config        []byte
	// configVersion is the version of config. It is updated after the active table.
	configVersion int64
	orders        map[string]orderState // of rollouts and evacuations, by key
	evacuations   evacuations
	era           eraState
	availability  availability
}

// source is where this host got a change from.
type source uint8

const (
	fromPeer source = iota
	// Only changes fromStore are sent to the peers. If changes from peers were sent too, each
	// would cost a message for each pair of hosts.
	fromStore
)

// recentChange is a change that heartbeats repeat.
type recentChange struct {
	change platform.Entry
	at     time.Time
}

// New returns a directory without targets and configuration.
func New(cfg Config) *Directory {
	d := &Directory{cfg: cfg, list: NewList(cfg.Layout.DecodeTarget), orders: map[string]orderState{}}
	d.list.OnUnreadable(func(key string, revision int64, err error) {
		event.TargetEntryUnreadable.Log(cfg.Log, slog.String("key", key), slog.Int64("revision", revision), slog.Any("error", err))
	})
	d.list.OnDelayedRemoval(func(key string, revision int64) {
		event.RemovalDelayed.Log(cfg.Log, slog.String("key", key), slog.Int64("revision", revision))
	})
	return d
}

// SetFleet sets the peer mesh. It must be called before Run.
func (d *Directory) SetFleet(f Fleet) { d.fleet = f }

// Targets returns the targets in use.
func (d *Directory) Targets() []Target { return d.list.Targets() }

// Ready reports whether this host has a configuration and a target list.
func (d *Directory) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg.ActiveTable.Load() != nil && !d.freshAt.IsZero()
}

// ListAge returns the time since the list was last confirmed to be current, 0 if there is none.
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
	wg.Go(func() { supervise.Loop(ctx, d.cfg.Log, "store reads", d.pollStoreLoop) })
	wg.Go(func() { supervise.Loop(ctx, d.cfg.Log, "configuration fetches", d.fetchConfigLoop) })
	wg.Wait()
}

func (d *Directory) pollStoreLoop(ctx context.Context) {
	runEvery(ctx, pollInterval, func() { d.pollStore(ctx) })
}

// runEvery calls step immediately and then once in each period until ctx ends.
func runEvery(ctx context.Context, period time.Duration, step func()) {
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

// applyChanges applies changes of the configuration, the target list and operator orders.
func (d *Directory) applyChanges(changes []platform.Entry, from source, unconfirmed bool, now time.Time) {
	l := d.cfg.Layout
	var targets []platform.Entry
	for _, c := range changes {
		switch {
		case c.Key == l.ConfigKey && !c.Deleted:
			if d.applyConfig(c.Value) && from == fromStore {
				d.triggerHeartbeats()
			}
		case strings.HasPrefix(c.Key, l.TargetPrefix):
			targets = append(targets, c)
		case l.isEvacuation(c.Key):
			d.applyEvacuation(c, from, now)
		case strings.HasPrefix(c.Key, l.RolloutPrefix):
			d.applyRolloutOrder(c, from, now)
		}
	}
	d.listChanged(d.list.Apply(targets, unconfirmed, now), from, now)
}

// applyConfig activates a configuration if it is newer, and reports whether it is.
func (d *Directory) applyConfig(value []byte) bool {
	c, err := d.cfg.Layout.DecodeConfig(value)
	if err != nil {
		event.ConfigRejected.Log(d.cfg.Log, slog.Any("error", err))
		return false
	}
	if !d.cfg.ActiveTable.StoreIfNewer(routing.Compile(c)) {
		return false
	}
	d.mu.Lock()
	if c.Version > d.configVersion { // a concurrent call may have applied a newer one
		d.config, d.configVersion = slices.Clone(value), c.Version
	}
	d.mu.Unlock()
	event.ConfigApplied.Log(d.cfg.Log, slog.Int64("version", c.Version), slog.Int("routes", len(c.Routes)))
	d.cfg.OnChange()
	return true
}

// listChanged logs changes of the list and runs the callback. It sends the changes to the peers
// if they come from the store.
func (d *Directory) listChanged(changes []platform.Entry, from source, now time.Time) {
	if len(changes) == 0 {
		return
	}
	if from == fromStore {
		d.mu.Lock()
		for _, c := range changes {
			d.recentChanges = append(d.recentChanges, recentChange{c, now})
		}
		d.mu.Unlock()
	}
	for _, c := range changes {
		event.TargetListChanged.Log(d.cfg.Log, slog.String("key", c.Key), slog.Int64("revision", c.Revision), slog.Bool("removed", c.Deleted))
	}
	d.cfg.OnChange()
	if from == fromStore {
		d.triggerHeartbeats()
	}
}

func (d *Directory) triggerHeartbeats() {
	if d.fleet != nil {
		d.fleet.TriggerFullRateHeartbeats()
	}
}
