// Package directory keeps what a host knows of targets, orders and the
// configuration: read from the store by as few hosts as possible, passed on
// between hosts, and read by each host itself when nobody passes it on.
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
	// ID names the target; a restart may keep it.
	ID      string
	Service string
	Address string // IP:port
	Zone    string
	Version string
	// Slots is the number of requests that run at once, at least 1.
	Slots int
	// Leaving targets get no new work.
	Draining bool
	// ColdUntil is the end of the slow time after the target's start.
	WarmUpUntil time.Time
	// Started is the target's start in Unix milliseconds, 0 if unknown.
	StartedUnixMs int64
}

// Key names the incarnation.
func (t *Target) Key() string { return t.ID + "@" + strconv.FormatInt(t.StartedUnixMs, 10) }

// hash covers the fields that a change of the list is about.
func (t *Target) hash() uint64 {
	return xxhash.Sum64String(strings.Join([]string{
		t.ID, t.Service, t.Address, t.Zone, t.Version,
		strconv.Itoa(t.Slots), strconv.FormatBool(t.Draining), strconv.FormatInt(t.StartedUnixMs, 10),
	}, "\x00"))
}

// Decode reads an entry of the store. An error means that the entry names no
// target to use.
type Decode func(key string, value []byte, now time.Time) (Target, error)

const (
	// tombstoneLife is how long a removal is remembered, so that an older change
	// that arrives late does not undo it.
	tombstoneLife = 30 * time.Second
	// returnTime is how long a target whose entry vanished while the store was away
	// stays in use: live targets are listed again within about 2 s of its return.
	returnTime = 2200 * time.Millisecond
)

// entry is what the list holds of one key.
type entry struct {
	revision int64
	value    []byte
	target   *Target // nil if deleted or unreadable
	deleted  time.Time
	// until is when a doubtful removal takes effect; zero for none.
	until time.Time
}

// List is the list of targets. Its methods are safe for concurrent use.
type List struct {
	decode  Decode
	mu      sync.Mutex
	entries map[string]*entry
	digest  uint64
	current atomic.Pointer[[]Target]
}

// NewList returns an empty list.
func NewList(d Decode) *List {
	l := &List{decode: d, entries: map[string]*entry{}}
	l.current.Store(&[]Target{})
	return l
}

// Targets returns the targets in use in the order of their ids. The slice is not
// changed afterwards.
func (l *List) Targets() []Target { return *l.current.Load() }

// Digest returns a hash over the list.
func (l *List) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest
}

// Apply takes changes that are newer than what is known, and returns those that
// matter. Removals take effect later if doubtful is set: the store was away and
// entries may have lapsed meanwhile.
func (l *List) Apply(changes []platform.Entry, doubtful bool, now time.Time) []platform.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []platform.Entry
	for _, c := range changes {
		if l.apply(c, doubtful, now) {
			out = append(out, c)
		}
	}
	if len(out) > 0 {
		l.publish()
	}
	return out
}

// Replace takes a whole listing: keys that are absent have been removed by the
// given revision.
func (l *List) Replace(all []platform.Entry, asOf int64, doubtful bool, now time.Time) []platform.Entry {
	present := make(map[string]bool, len(all))
	for _, e := range all {
		present[e.Key] = true
	}
	l.mu.Lock()
	for key, e := range l.entries {
		if !present[key] && e.deleted.IsZero() && e.until.IsZero() && e.revision <= asOf {
			all = append(all, platform.Entry{Key: key, Revision: asOf, Deleted: true})
		}
	}
	l.mu.Unlock()
	return l.Apply(all, doubtful, now)
}

// apply reports whether the change alters the list.
func (l *List) apply(c platform.Entry, doubtful bool, now time.Time) bool {
	e := l.entries[c.Key]
	if e != nil && c.Revision <= e.revision {
		return false
	}
	if e == nil {
		e = &entry{}
		l.entries[c.Key] = e
	}
	old := e.target
	e.revision = c.Revision
	if c.Deleted {
		if doubtful && old != nil {
			if e.until.IsZero() {
				e.until = now.Add(returnTime)
			}
			return false
		}
		*e = entry{revision: c.Revision, deleted: now}
		return old != nil
	}
	e.value, e.deleted, e.until = c.Value, time.Time{}, time.Time{}
	t, err := l.decode(c.Key, c.Value, now)
	if err != nil {
		e.target = nil
		return old != nil
	}
	e.target = &t
	return old == nil || old.hash() != t.hash()
}

// Expire puts doubtful removals into effect and returns them.
func (l *List) Expire(now time.Time) []platform.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []platform.Entry
	for key, e := range l.entries {
		switch {
		case !e.until.IsZero() && !now.Before(e.until):
			*e = entry{revision: e.revision, deleted: now}
			out = append(out, platform.Entry{Key: key, Revision: e.revision, Deleted: true})
		case !e.deleted.IsZero() && now.Sub(e.deleted) > tombstoneLife:
			delete(l.entries, key)
		}
	}
	if len(out) > 0 {
		l.publish()
	}
	return out
}

// Entries returns what the list holds and which entries are gone, for a host that cannot
// reach the store.
func (l *List) Entries() []platform.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]platform.Entry, 0, len(l.entries))
	for key, e := range l.entries {
		switch {
		case e.target != nil:
			out = append(out, platform.Entry{Key: key, Value: e.value, Revision: e.revision})
		case !e.deleted.IsZero():
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
	l.current.Store(&all)
}
