package config

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerZone is how many hosts of an availability zone watch the store.
const WatchersPerZone = 2

// Watchers returns the members of a zone that watch the store. names are the zone's
// live members; if there are fewer than WatchersPerZone, all of them watch. The
// choice uses rendezvous hashing, so a member that joins or leaves replaces at most
// one watcher.
func Watchers(zone string, names []string) []string {
	var best [WatchersPerZone]string
	var weight [WatchersPerZone]uint64
	for _, n := range names {
		w := xxhash.Sum64String(zone + "\x00" + n)
		for i := range best {
			if best[i] == "" || w > weight[i] || (w == weight[i] && n < best[i]) {
				best[i], n = n, best[i]
				weight[i], w = w, weight[i]
			}
			if n == "" {
				break
			}
		}
	}
	return best[:min(len(names), WatchersPerZone)]
}

// Advert announces a host's version to its peers. It is attached to every message of
// the membership protocol.
type Advert struct {
	_       struct{} `cbor:",toarray"`
	Version Version
	// StoreAgeSeconds is the time since the last contact of any host with the store,
	// as far as the sender knows, or StoreAgeUnknown.
	StoreAgeSeconds uint32
}

// StoreAgeUnknown is the StoreAgeSeconds of a host that has neither reached the store
// nor received an age from another host.
const StoreAgeUnknown = 1<<32 - 1

// storeAgeMarginSeconds is added to an advertised age: one second for rounding up and
// one for the network delay. Without it, hosts that exchange the age back and forth
// would keep it low while the store is down.
const storeAgeMarginSeconds = 2

// Pull is a request for a newer rules file to the peer To.
type Pull struct {
	To   string
	Have Version
}

// ReplicaConfig holds the settings of a Replica. Zero values select the defaults.
type ReplicaConfig struct {
	// PullTimeout is the time after which a pull is retried; default 2 s.
	PullTimeout time.Duration
	// StaleAfter is the time after which Status.Stale is set if a newer file was
	// announced and not fetched; default 5 s.
	StaleAfter time.Duration
	// StoreUnreachableAfter is the time without contact with the store after which
	// Status.StoreUnreachable is set; default 60 s.
	StoreUnreachableAfter time.Duration
	// MaxDeltaBaseBytes limits the total size of the previous texts that are kept
	// to compute deltas; default 2 MiB.
	MaxDeltaBaseBytes int
}

func (c ReplicaConfig) withDefaults() ReplicaConfig {
	c.PullTimeout = cmp.Or(c.PullTimeout, 2*time.Second)
	c.StaleAfter = cmp.Or(c.StaleAfter, 5*time.Second)
	c.StoreUnreachableAfter = cmp.Or(c.StoreUnreachableAfter, 60*time.Second)
	c.MaxDeltaBaseBytes = cmp.Or(c.MaxDeltaBaseBytes, 2<<20)
	return c
}

// maxSources limits the peers recorded as sources of a newer file.
const maxSources = 4

// pullRetryDelay is the wait after a failed pull. Without it, a peer that fails at
// once would be called in a tight loop.
const pullRetryDelay = 300 * time.Millisecond

// deltaBase is a previous text against which deltas can be computed.
type deltaBase struct {
	version Version
	text    []byte
}

// source is a peer that has announced a newer version.
type source struct {
	peer    string
	version Version
}

// Replica is the copy of the rules file on one host and the state machine that keeps
// it current. It does no I/O. It is not safe for concurrent use. Create it with
// NewReplica.
type Replica struct {
	cfg       ReplicaConfig
	startedAt time.Time

	latest         RulesFile
	version        Version
	adoptedAt      time.Time   // of latest
	deltaBases     []deltaBase // oldest first
	deltaBaseBytes int

	sources         []source  // peers with a newer file, in order of their announcements
	newerKnownSince time.Time // first announcement of a newer file since the last adoption
	pullingFrom     string    // peer of the pull in progress
	pullStartedAt   time.Time
	nextPullAt      time.Time
	pullWholeFile   bool // because the last delta did not match

	lastStoreContact time.Time // of any host, as far as reported to this one
	storeNumber      int64     // as in Status.StoreNumber
	storeRegressions uint64
}

// NewReplica returns a replica without a rules file.
func NewReplica(c ReplicaConfig, now time.Time) *Replica {
	return &Replica{cfg: c.withDefaults(), startedAt: now}
}

// Latest returns the newest rules file received. Its Number is 0 if there is none.
func (r *Replica) Latest() RulesFile { return r.latest }

// Version returns the version of Latest.
func (r *Replica) Version() Version { return r.version }

// Advert returns the announcement to attach to messages.
func (r *Replica) Advert(now time.Time) Advert {
	a := Advert{Version: r.version, StoreAgeSeconds: StoreAgeUnknown}
	if !r.lastStoreContact.IsZero() {
		a.StoreAgeSeconds = uint32(min(max(0, now.Sub(r.lastStoreContact)/time.Second)+storeAgeMarginSeconds, StoreAgeUnknown-1))
	}
	return a
}

// HandleStoreValue processes the rules file read from the store and reports whether
// it was adopted as Latest. An older file than Latest is rejected and reported by
// Status.
func (r *Replica) HandleStoreValue(v RulesFile, now time.Time) bool {
	r.lastStoreContact = now
	version := v.Version()
	if r.version.Newer(version) {
		if r.storeNumber != v.Number {
			r.storeRegressions++
		}
		r.storeNumber = v.Number
		return false
	}
	r.storeNumber = 0
	return r.adopt(v, version, now)
}

// HandleStoreEmpty processes a read that found no rules file in the store.
func (r *Replica) HandleStoreEmpty(now time.Time) {
	r.lastStoreContact = now
	if r.version.Number > 0 && r.storeNumber != -1 {
		r.storeNumber = -1
		r.storeRegressions++
	}
}

// adopt makes v the latest file if it is newer. No other method changes the latest
// file.
func (r *Replica) adopt(v RulesFile, version Version, now time.Time) bool {
	if !version.Newer(r.version) {
		return false
	}
	if r.latest.Number > 0 {
		r.deltaBases = append(r.deltaBases, deltaBase{r.version, r.latest.Text})
		r.deltaBaseBytes += len(r.latest.Text)
	}
	for len(r.deltaBases) > 0 && r.deltaBaseBytes > r.cfg.MaxDeltaBaseBytes {
		r.deltaBaseBytes -= len(r.deltaBases[0].text)
		r.deltaBases[0] = deltaBase{}
		r.deltaBases = r.deltaBases[1:]
	}
	r.latest, r.version, r.adoptedAt = v, version, now
	r.pullWholeFile = false
	r.pruneSources(now)
	return true
}

// pruneSources removes the sources that hold no newer file.
func (r *Replica) pruneSources(now time.Time) {
	r.sources = slices.DeleteFunc(r.sources, func(s source) bool { return !s.version.Newer(r.version) })
	r.newerKnownSince = now
}

// HandleAdvert processes a peer's announcement and returns the pull to make, if any.
func (r *Replica) HandleAdvert(from string, a Advert, now time.Time) (Pull, bool) {
	if a.StoreAgeSeconds != StoreAgeUnknown {
		if at := now.Add(-time.Duration(a.StoreAgeSeconds) * time.Second); at.After(r.lastStoreContact) {
			r.lastStoreContact = at
		}
	}
	if !a.Version.Newer(r.version) {
		r.removeSource(from)
		return Pull{}, false
	}
	if len(r.sources) == 0 {
		r.newerKnownSince = now
	}
	r.addSource(source{from, a.Version})
	return r.nextPull(now)
}

func (r *Replica) addSource(s source) {
	r.removeSource(s.peer)
	r.sources = append(r.sources, s)
	if len(r.sources) > maxSources {
		r.sources = append(r.sources[:0], r.sources[1:]...)
	}
}

func (r *Replica) removeSource(from string) {
	r.sources = slices.DeleteFunc(r.sources, func(s source) bool { return s.peer == from })
}

// nextPull starts a pull unless one is in progress. Among the sources of the newest
// version, it selects the one added last.
func (r *Replica) nextPull(now time.Time) (Pull, bool) {
	if r.pullingFrom != "" || len(r.sources) == 0 || now.Before(r.nextPullAt) {
		return Pull{}, false
	}
	best := r.sources[0]
	for _, s := range r.sources[1:] {
		if !best.version.Newer(s.version) {
			best = s
		}
	}
	r.pullingFrom, r.pullStartedAt = best.peer, now
	p := Pull{To: best.peer, Have: r.version}
	if r.pullWholeFile {
		p.Have = Version{}
	}
	return p, true
}

// Tick ends a pull that has timed out and returns the next pull to make, if any.
func (r *Replica) Tick(now time.Time) (Pull, bool) {
	if r.pullingFrom != "" && now.Sub(r.pullStartedAt) >= r.cfg.PullTimeout {
		r.HandlePullFailure(r.pullingFrom, now)
	}
	return r.nextPull(now)
}

// HandlePullFailure processes a pull without a usable response. After a delay, Tick
// starts a pull from another source, or from the same one if it is the only one.
func (r *Replica) HandlePullFailure(from string, now time.Time) {
	if r.pullingFrom != from {
		return
	}
	r.pullingFrom = ""
	r.nextPullAt = now.Add(pullRetryDelay)
	if len(r.sources) > 1 {
		r.removeSource(from)
	}
}

// Status is the state of the configuration on one host.
type Status struct {
	Number   int64
	Author   string
	Comment  string
	PushedAt time.Time // by the operator's clock
	Hash     uint64
	// AdoptedAt is when this host received the file; zero if there is none.
	AdoptedAt time.Time
	// NewestNumber is the highest number held by this host or announced by a peer.
	NewestNumber int64
	// Stale means that a newer file was announced longer than StaleAfter ago and
	// was not fetched.
	Stale bool
	// StoreUnreachable means that this host has not reached the store for longer
	// than StoreUnreachableAfter, and has received no report that another host has.
	// LastStoreContact is the time of the last reported contact, or zero.
	StoreUnreachable bool
	LastStoreContact time.Time
	// StoreNumber is the number of the file in the store if the file is older than
	// this host's, and -1 if the store holds none. It is 0 if neither was found.
	StoreNumber int64
	// StoreRegressions counts how often the store was found with an older file or
	// none.
	StoreRegressions uint64
}

// Status returns the state of the configuration at now.
func (r *Replica) Status(now time.Time) Status {
	contact := r.lastStoreContact
	if contact.IsZero() {
		contact = r.startedAt
	}
	status := Status{
		Number: r.latest.Number, Author: r.latest.Author, Comment: r.latest.Comment,
		Hash: r.version.Hash, AdoptedAt: r.adoptedAt, NewestNumber: r.latest.Number,
		LastStoreContact: r.lastStoreContact, StoreNumber: r.storeNumber,
		StoreRegressions: r.storeRegressions,
		StoreUnreachable: now.Sub(contact) > r.cfg.StoreUnreachableAfter,
	}
	if r.latest.Number > 0 {
		status.PushedAt = r.latest.PushedAt()
	}
	for _, s := range r.sources {
		status.NewestNumber = max(status.NewestNumber, s.version.Number)
		status.Stale = status.Stale || now.Sub(r.newerKnownSince) > r.cfg.StaleAfter
	}
	return status
}
