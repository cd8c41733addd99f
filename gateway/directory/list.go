// Package directory keeps a host's copy of the targets, the rollout orders and the
// configuration. As few hosts as possible read them from the store and send changes to the
// others. A host reads the store itself if no other one does.
package directory

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinefront.dev/platform"
)

// Target is one back end.
type Target struct {
	// ID identifies the target. It may stay the same after a restart.
	ID      string
	Service string
	Address string // IP:port
	Zone    string
	Version string
	// Slots is the maximum number of concurrent requests, at least 1.
	Slots int
	// Draining targets get no new requests.
	Draining bool
	// WarmUpUntil is when the target has warmed up after its start. It is slow until then.
	WarmUpUntil time.Time
	// Cold is true if the entry says that the target has not warmed up.
	Cold bool
	// StartedUnixMs is the time of the target's start in Unix milliseconds, 0 if unknown.
	StartedUnixMs int64
}

// Key identifies the incarnation of the target: its ID and start time.
func (t *Target) Key() string { return t.ID + "@" + strconv.FormatInt(t.StartedUnixMs, 10) }

// hash covers the fields in which a difference counts as a change of the list.
func (t *Target) hash() uint64 {
	return xxhash.Sum64String(strings.Join([]string{
		t.ID, t.Service, t.Address, t.Zone, t.Version,
		strconv.Itoa(t.Slots), strconv.FormatBool(t.Draining), strconv.FormatInt(t.StartedUnixMs, 10),
	}, "\x00"))
}

// minWarmUpChange is the least change of the end of a warm-up that counts. Smaller ones are due to
// delays of the entry.
const minWarmUpChange = 500 * time.Millisecond

// warmUpChanged reports whether the target has become cold, stays cold for longer, or has warmed up
// earlier than it said. That is a change, but not part of the hash: hosts learn at different times
// that targets have warmed up, and would take the difference for a list that they lack.
func (t *Target) warmUpChanged(old *Target) bool {
	extension := t.WarmUpUntil.Sub(old.WarmUpUntil)
	if t.Cold {
		return !old.Cold || extension >= minWarmUpChange
	}
	return old.Cold && -extension >= minWarmUpChange
}

// Decode decodes an entry of the store. It returns an error if the entry is not a usable
// target.
type Decode func(key string, value []byte, now time.Time) (Target, error)

// tombstoneTTL is how long a removal is remembered, so that an older change that arrives late does
// not undo it.
const tombstoneTTL = 30 * time.Second

// entry is the state of one key of the store.
type entry struct {
	// revision is that of the newest change. It is 0 for an entry that is held over; see HoldOver.
	revision int64
	// valueRevision is the revision at which value was written. It is older than revision if the
	// removal of the entry is delayed.
	valueRevision int64
	value         []byte
	target        *Target   // nil if removed or unreadable
	deleted       time.Time // zero if not removed
	// unreadable is set if the value could not be decoded. It is then not kept, and other
	// hosts get the entry as a removal.
	unreadable bool
}

// removalDelayed reports whether the entry was removed while removals were unconfirmed. Its target
// stays in use until the removal is confirmed.
func (e *entry) removalDelayed() bool { return e.target != nil && e.valueRevision < e.revision }

// List is the target list. Its methods are safe for concurrent use.
type List struct {
	decode           Decode
	onUnreadable     func(key string, revision int64, err error)
	onDelayedRemoval func(key string, revision int64)

	mu      sync.Mutex
	entries map[string]*entry
	// delayed are the keys of the entries whose removal is delayed.
	delayed map[string]struct{}
	// holding is set while entries are held over.
	holding bool
	digest  uint64
	targets atomic.Pointer[[]Target]
}

// NewList returns an empty list.
func NewList(d Decode) *List {
	l := &List{
		decode:           d,
		onUnreadable:     func(string, int64, error) {},
		onDelayedRemoval: func(string, int64) {},
		entries:          map[string]*entry{},
		delayed:          map[string]struct{}{},
	}
	l.targets.Store(&[]Target{})
	return l
}

// OnUnreadable sets a function that is called when an entry becomes unreadable, but not for its
// further versions that are unreadable too. It must be called before the list is used.
func (l *List) OnUnreadable(f func(key string, revision int64, err error)) { l.onUnreadable = f }

// OnDelayedRemoval sets a function that is called when the removal of an entry is delayed. It must be
// called before the list is used.
func (l *List) OnDelayedRemoval(f func(key string, revision int64)) { l.onDelayedRemoval = f }

// Targets returns the targets in use, sorted by ID. The slice must not be modified.
func (l *List) Targets() []Target { return *l.targets.Load() }

// Digest returns a hash of the list. It does not depend on the order of changes.
func (l *List) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest
}

// Apply applies the changes that are newer than the list, and returns those that alter it.
// Removals are delayed until ConfirmRemovals if unconfirmed is set: entries of live targets may have
// expired during an outage of the store.
func (l *List) Apply(changes []platform.Entry, unconfirmed bool, now time.Time) []platform.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []platform.Entry
	for _, c := range changes {
		if !l.apply(c, unconfirmed, now) {
			continue
		}
		if l.entries[c.Key].unreadable {
			c = platform.Entry{Key: c.Key, Revision: c.Revision, Deleted: true}
		}
		out = append(out, c)
	}
	if len(out) > 0 {
		l.publish()
	}
	return out
}

// Replace applies a complete listing as of a revision of the store. Keys missing in it have
// been removed, unless they are held over. The result is as for Apply.
func (l *List) Replace(all []platform.Entry, asOf int64, unconfirmed bool, now time.Time) []platform.Entry {
	present := make(map[string]bool, len(all))
	for _, e := range all {
		present[e.Key] = true
	}
	l.mu.Lock()
	for key, e := range l.entries {
		if !present[key] && e.deleted.IsZero() && e.revision <= asOf && e.revision > 0 {
			all = append(all, platform.Entry{Key: key, Revision: asOf, Deleted: true})
		}
	}
	l.mu.Unlock()
	return l.Apply(all, unconfirmed, now)
}

// apply applies one change and reports whether it alters the list. The caller holds the lock.
func (l *List) apply(c platform.Entry, unconfirmed bool, now time.Time) bool {
	e := l.entries[c.Key]
	if e != nil && !l.isNews(e, c) {
		return false
	}
	if e == nil {
		e = &entry{}
		l.entries[c.Key] = e
	}
	if l.holding && l.withdrawsDraining(e, c, now) {
		return false
	}
	if c.Deleted {
		return l.remove(e, c, unconfirmed || l.holding, now)
	}
	return l.put(e, c, now)
}

// isNews reports whether a change says more than an entry: it is newer, or it is the removal that was
// delayed and may be confirmed by now.
func (l *List) isNews(e *entry, c platform.Entry) bool {
	return c.Revision > e.revision || c.Revision == e.revision && c.Deleted && e.removalDelayed()
}

// remove applies a removal and reports whether it alters the list. The caller holds the lock.
func (l *List) remove(e *entry, c platform.Entry, unconfirmed bool, now time.Time) bool {
	inUse := e.target != nil
	if !unconfirmed || !inUse {
		l.set(c.Key, e, entry{revision: c.Revision, deleted: now})
		return inUse
	}
	if !e.removalDelayed() {
		l.onDelayedRemoval(c.Key, c.Revision)
	}
	e.revision = c.Revision
	l.delayed[c.Key] = struct{}{}
	return false
}

// put applies an entry and reports whether it alters the list. The caller holds the lock.
func (l *List) put(e *entry, c platform.Entry, now time.Time) bool {
	old := e.target
	t, err := l.decode(c.Key, c.Value, now)
	if err != nil {
		if !e.unreadable {
			l.onUnreadable(c.Key, c.Revision, err)
		}
		l.set(c.Key, e, entry{revision: c.Revision, unreadable: true})
		return old != nil
	}
	l.set(c.Key, e, entry{revision: c.Revision, valueRevision: c.Revision, value: c.Value, target: &t})
	return old == nil || old.hash() != t.hash() || t.warmUpChanged(old)
}

// set replaces the state of a key, and with it a removal that was delayed. The caller holds the lock.
func (l *List) set(key string, e *entry, state entry) {
	*e = state
	delete(l.delayed, key)
}

// HasDelayedRemovals reports whether the removal of any entry is delayed.
func (l *List) HasDelayedRemovals() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.delayed) > 0
}

// ConfirmRemovals carries out the delayed removals and returns them.
func (l *List) ConfirmRemovals(now time.Time) []platform.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []platform.Entry
	for key := range l.delayed {
		e := l.entries[key]
		removal := platform.Entry{Key: key, Revision: e.revision, Deleted: true}
		l.remove(e, removal, false, now)
		out = append(out, removal)
	}
	if len(out) > 0 {
		l.publish()
	}
	return out
}

// ExpireTombstones forgets removals after tombstoneTTL.
func (l *List) ExpireTombstones(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, e := range l.entries {
		if !e.deleted.IsZero() && now.Sub(e.deleted) > tombstoneTTL {
			delete(l.entries, key)
		}
	}
}

// Entries returns all entries and tombstones, for a host that can't reach the store.
func (l *List) Entries() []platform.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]platform.Entry, 0, len(l.entries))
	for key, e := range l.entries {
		switch {
		case e.revision == 0: // a host that has no such entry must not keep it for good
		case e.target != nil:
			out = append(out, platform.Entry{Key: key, Value: e.value, Revision: e.valueRevision})
		case !e.deleted.IsZero() || e.unreadable:
			out = append(out, platform.Entry{Key: key, Revision: e.revision, Deleted: true})
		}
	}
	return out
}

func (l *List) publish() {
	all := make([]Target, 0, len(l.entries))
	l.digest = 0
	for _, e := range l.entries {
		if e.target != nil {
			all = append(all, *e.target)
			l.digest ^= e.target.hash()
		}
	}
	slices.SortFunc(all, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	l.targets.Store(&all)
}
