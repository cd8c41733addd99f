// Package quarantine finds the parts of prompts that crash targets. Each crash is attributed to
// the parts of the requests whose response had not begun at the target. A part with a chain of
// crashes and no response in between is quarantined: requests with it are not sent any more,
// except for rare trials, which show whether it still crashes targets. Hosts exchange their
// evidence as Reports, which may be lost, repeated and reordered. The package does no I/O and
// reads no clock.
package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

const (
	// minSuspicion is the number of crashes for which a part is reported as suspected.
	minSuspicion = 2
	// minChain is the number of crashes in a row, each by a request that was sent after the
	// crash before it, for which a part is quarantined. Crashes at the same time, as in the
	// loss of an availability zone, count once.
	minChain = 3
	// A chain of minConcurrentChain suffices for a part with at least minCrashes crashes.
	minCrashes         = 5
	minConcurrentChain = 2
	// servedWindow is how long a service counts as up after one of its responses began.
	servedWindow = 2 * time.Second
	// evidenceTTL is how long a crash counts for a part that is not quarantined.
	evidenceTTL = 10 * time.Minute
	// quarantineTTL is how long a quarantine lasts after the last crash. It is longer than
	// maxTrialInterval, so that a part is forgotten only when trials have ended as well.
	quarantineTTL = 6 * time.Hour
	// The first trial of a quarantined part takes place minTrialInterval after its last crash.
	// Each crash in a trial multiplies the interval by trialIntervalFactor, up to
	// maxTrialInterval.
	minTrialInterval    = time.Minute
	maxTrialInterval    = time.Hour
	trialIntervalFactor = 4
	// trialTurn is how long one host of the fleet may make the trial before another may.
	trialTurn = 10 * time.Second
	// trialTimeout is the time after which a trial without a result is repeated.
	trialTimeout = time.Minute
	// maxRecords bounds the parts with evidence, maxCrashes the crashes of one part, and
	// maxSuccesses the parts of each of two generations of recent successes.
	maxRecords   = 1024
	maxCrashes   = 32
	maxSuccesses = 8192
)

// Part identifies a part of a prompt at a service.
type Part struct {
	Service, ID string
}

// NewPart returns the Part with an id and a service of any length. Callers choose the id, so a
// long one, or one that is not valid text, is replaced by a hash.
func NewPart(service, id string) Part {
	return Part{Service: boundName(service, maxServiceBytes), ID: boundName(id, maxIDBytes)}
}

// clone returns a copy that does not keep the header alive from which the id was cut.
func (p Part) clone() Part { return Part{Service: p.Service, ID: strings.Clone(p.ID)} }

func boundName(name string, maxBytes int) string {
	if name != "" && len(name) <= maxBytes && utf8.ValidString(name) {
		return name
	}
	return fmt.Sprintf("xxh64-%016x", xxhash.Sum64String(name))
}

// span is the time from the send of a request to the crash of its target.
type span struct {
	sent, crashed time.Time
}

// record is the evidence for one part.
type record struct {
	crashes map[uint32]span // since the last success, by the hash of the target's key
	success time.Time       // of the newest known response, zero if there is none
	// ownSuccess is the time of the newest response at this host.
	ownSuccess  time.Time
	quarantined time.Time // zero unless the part is quarantined
	trial       time.Time // start of this host's last trial
	cleared     time.Time // when evidence was last found to be outdated by a success
}

// Change is a change in the state of a part.
type Change struct {
	Part
	Kind Kind
	// Crashes is the number of crashes, Chain the length of the longest chain of them.
	Crashes, Chain int
	// Age is the time since the first crash.
	Age time.Duration
	// Peer is set if a peer's report caused the change.
	Peer bool
}

// Kind is the kind of a Change.
type Kind uint8

// The kinds of changes.
const (
	Suspected Kind = iota
	Quarantined
	Released
)

// String returns the label of the kind in logs and metrics.
func (k Kind) String() string { return [...]string{"suspected", "quarantined", "released"}[k] }

// Table holds the evidence for all parts. It is not safe for concurrent use.
type Table struct {
	records map[Part]*record
	// successes and olderSuccesses are the times of the newest response with each part. When
	// successes is full, it replaces olderSuccesses.
	successes, olderSuccesses map[Part]time.Time
	// services holds when responses of a service began and when its targets crashed.
	services map[string]serviceTimes
	changes  []Change
}

// serviceTimes are the newest times of a service at this host.
type serviceTimes struct {
	served, crashed time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{records: map[Part]*record{}, successes: map[Part]time.Time{}, services: map[string]serviceTimes{}}
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	out := t.changes
	t.changes = nil
	return out
}

// RecordSuccess records that a response to a request with these parts has begun. It reports
// whether there was evidence against one of them, which peers may have too.
func (t *Table) RecordSuccess(parts []Part, now time.Time) (cleared bool) {
	for _, p := range parts {
		t.rememberSuccess(p, now)
		if r := t.records[p]; r != nil {
			cleared = cleared || len(r.crashes) > 0
			r.ownSuccess = now
			t.clear(p, r, now, false, now)
		}
	}
	return cleared
}

func (t *Table) rememberSuccess(p Part, now time.Time) {
	if len(t.successes) >= maxSuccesses {
		t.successes, t.olderSuccesses = map[Part]time.Time{}, t.successes
	}
	if _, ok := t.successes[p]; !ok {
		p = p.clone()
	}
	t.successes[p] = now
}

// clear removes the crashes up to a success.
func (t *Table) clear(p Part, r *record, success time.Time, peer bool, now time.Time) {
	if !success.After(r.success) {
		return
	}
	r.success = success
	for target, s := range r.crashes {
		if !s.crashed.After(success) {
			delete(r.crashes, target)
			r.cleared = now
		}
	}
	t.update(p, r, peer, now)
}

// update sets the state of a part according to its evidence.
func (t *Table) update(p Part, r *record, peer bool, now time.Time) {
	switch quarantined, evident := !r.quarantined.IsZero(), sufficient(r.crashes); {
	case evident && !quarantined:
		r.quarantined = now
		t.note(p, r, Quarantined, now.Sub(r.firstCrash()), peer)
	case quarantined && !evident:
		t.note(p, r, Released, now.Sub(r.quarantined), peer)
		r.quarantined = time.Time{}
	}
}

// RecordServed records that a response of the service has begun, whatever its parts.
func (t *Table) RecordServed(service string, now time.Time) {
	times := t.services[service]
	times.served = now
	t.services[service] = times
}

// outage records a crash at now and reports whether the service is down as a whole as far as this
// host knows: no response has begun since the crash before, nor within servedWindow. Crashes are
// then not attributed to parts of prompts.
func (t *Table) outage(service string, now time.Time) bool {
	times := t.services[service]
	previous := times.crashed
	times.crashed = now
	t.services[service] = times
	if times.served.IsZero() {
		return true
	}
	return !times.served.After(previous) && now.Sub(times.served) > servedWindow
}

// RecordCrash records that a target crashed at now, before it had begun the response to a request
// with these parts that was sent at the given time.
func (t *Table) RecordCrash(parts []Part, target uint32, sent, now time.Time) {
	t.expire(now)
	if len(parts) == 0 || t.outage(parts[0].Service, now) {
		return
	}
	for _, p := range parts {
		t.addCrash(p, target, span{sent, now}, false, now)
	}
}

// addCrash adds a crash to the record of a part. The earliest times of several reports of one
// crash are kept, since a report can be delayed but never early.
func (t *Table) addCrash(p Part, target uint32, s span, peer bool, now time.Time) {
	r := t.recordOf(p, s.crashed)
	if r == nil || now.Sub(s.crashed) >= quarantineTTL {
		return
	}
	if !s.crashed.After(r.success) {
		r.cleared = now // lets Reports repeat this host's own success, which the peer may lack
		return
	}
	old, known := r.crashes[target]
	if known {
		s.sent, s.crashed = earliest(s.sent, old.sent), earliest(s.crashed, old.crashed)
	} else if len(r.crashes) >= maxCrashes {
		return
	}
	r.crashes[target] = s
	if !known && len(r.crashes) == minSuspicion {
		t.note(p, r, Suspected, now.Sub(r.firstCrash()), peer)
	}
	t.update(p, r, peer, now)
}

// recordOf returns the record of a part, a new one if there is none. If the table is full, the new
// one replaces the oldest record of a part that is not suspected, or is nil if that is newer than
// crashed.
func (t *Table) recordOf(p Part, crashed time.Time) *record {
	r := t.records[p]
	if r == nil && (len(t.records) < maxRecords || t.evictBefore(crashed)) {
		p = p.clone()
		r = &record{crashes: map[uint32]span{}, ownSuccess: t.lastSuccess(p)}
		r.success = r.ownSuccess
		t.records[p] = r
	}
	return r
}

// evictBefore removes the record with the oldest activity among the parts that are not suspected.
// It reports false if there is none from before the given time.
func (t *Table) evictBefore(limit time.Time) bool {
	var oldest Part
	found := false
	for p, r := range t.records {
		if len(r.crashes) >= minSuspicion || !r.quarantined.IsZero() {
			continue
		}
		if at := r.lastActivity(); at.Before(limit) {
			oldest, limit, found = p, at, true
		}
	}
	if found {
		delete(t.records, oldest)
	}
	return found
}

func (t *Table) lastSuccess(p Part) time.Time {
	if at, ok := t.successes[p]; ok {
		return at
	}
	return t.olderSuccesses[p]
}

// sufficient reports whether the crashes suffice for a quarantine.
func sufficient(crashes map[uint32]span) bool {
	n := chain(crashes)
	return n >= minChain || n >= minConcurrentChain && len(crashes) >= minCrashes
}

// chain returns the largest number of crashes whose spans don't overlap.
func chain(crashes map[uint32]span) int {
	n := 0
	var last time.Time
	for _, s := range sorted(crashes) {
		if n == 0 || !s.sent.Before(last) {
			n++
			last = s.crashed
		}
	}
	return n
}

// sorted returns the spans by the time of the crash.
func sorted(crashes map[uint32]span) []span {
	out := make([]span, 0, len(crashes))
	for _, s := range crashes {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b span) int {
		return cmp.Or(a.crashed.Compare(b.crashed), b.sent.Compare(a.sent))
	})
	return out
}

func (r *record) firstCrash() time.Time {
	var first time.Time
	for _, s := range r.crashes {
		if first.IsZero() || s.crashed.Before(first) {
			first = s.crashed
		}
	}
	return first
}

func (r *record) lastCrash() time.Time {
	var last time.Time
	for _, s := range r.crashes {
		if s.crashed.After(last) {
			last = s.crashed
		}
	}
	return last
}

func (t *Table) note(p Part, r *record, k Kind, age time.Duration, peer bool) {
	t.changes = append(t.changes, Change{Part: p, Kind: k, Crashes: len(r.crashes), Chain: chain(r.crashes), Age: age, Peer: peer})
}

// expire removes outdated evidence.
func (t *Table) expire(now time.Time) {
	for p, r := range t.records {
		if now.Sub(r.lastActivity()) < r.ttl() {
			continue
		}
		if !r.quarantined.IsZero() {
			t.note(p, r, Released, now.Sub(r.quarantined), false)
		}
		delete(t.records, p)
	}
}

// ttl returns how long the record is kept after its last activity.
func (r *record) ttl() time.Duration {
	switch {
	case !r.quarantined.IsZero():
		return quarantineTTL
	case len(r.crashes) > 0:
		return evidenceTTL
	}
	return clearanceTTL
}

// lastActivity returns the time of the last crash, or when evidence was last cleared.
func (r *record) lastActivity() time.Time {
	if last := r.lastCrash(); last.After(r.cleared) {
		return last
	}
	return r.cleared
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
