package config

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerZone is how many hosts of an availability zone watch the store.
const WatchersPerZone = 2

// Watchers returns the members of a zone that watch the store: those with the
// highest rendezvous weight, so that a member that comes or goes changes
// little. names are the live members; fewer than WatchersPerZone all watch.
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

// Advert is what a host tells others on every probe: what it holds and how long
// ago it knows the store to have answered anyone.
type Advert struct {
	_       struct{} `cbor:",toarray"`
	Version Version
	// StoreAge is in seconds; NoStore means never.
	StoreAgeSeconds uint32
}

// NoStore is the StoreAge of a host that knows of no answer from the store.
const StoreAgeUnknown = 1<<32 - 1

// storeAgeMargin, in seconds, makes the age passed on exceed the true one: one
// for rounding up, one for the time on the way. Otherwise hosts that pass the
// age back and forth would keep it young while the store is down.
const storeAgeMargin = 2

// Pull asks a peer for a newer rules file.
type Pull struct {
	To   string
	Have Version
}

// SpreadConfig holds the settings of a Spread. Zero values select the defaults.
type ReplicaConfig struct {
	PullTimeout           time.Duration // until another peer is asked; 2 s
	StaleAfter            time.Duration // a newer file known for longer is reported; 5 s
	StoreUnreachableAfter time.Duration // no news of the store for longer is reported; 60 s
	MaxDeltaBaseBytes     int           // earlier texts kept to compute deltas; 2 MB
}

func (c ReplicaConfig) withDefaults() ReplicaConfig {
	c.PullTimeout = cmp.Or(c.PullTimeout, 2*time.Second)
	c.StaleAfter = cmp.Or(c.StaleAfter, 5*time.Second)
	c.StoreUnreachableAfter = cmp.Or(c.StoreUnreachableAfter, 60*time.Second)
	c.MaxDeltaBaseBytes = cmp.Or(c.MaxDeltaBaseBytes, 2<<20)
	return c
}

// maxOffers bounds the peers remembered as holders of a newer file.
const maxOffers = 4

// retryAfter is the wait after a failed pull. Without it, a peer that refuses
// at once would be asked in a tight loop.
const retryAfter = 300 * time.Millisecond

type pastValue struct {
	stamp Version
	text  []byte
}

type offer struct {
	from  string
	stamp Version
}

// Spread is the configuration state of one host as a pure state machine. It is
// not safe for concurrent use. Use NewSpread.
type Replica struct {
	cfg   ReplicaConfig
	start time.Time

	held    RulesFile
	stamp   Version
	since   time.Time   // adoption of held
	past    []pastValue // oldest first
	pastLen int

	offers    []offer // holders of a newer file, the latest last
	offeredAt time.Time
	asked     string // peer of the pull in progress
	askedAt   time.Time
	retryAt   time.Time
	whole     bool // the last delta did not fit: ask for the whole file

	store       time.Time // the latest known answer of the store to anyone
	storeNumber int64     // an older number that the store holds; 0: none
	refused     uint64
}

// NewSpread returns the state of a host that holds nothing.
func NewReplica(c ReplicaConfig, now time.Time) *Replica {
	return &Replica{cfg: c.withDefaults(), start: now}
}

// Held returns the rules file this host holds; its Number is 0 if it has none.
func (s *Replica) Latest() RulesFile { return s.held }

// Stamp returns the stamp of Held.
func (s *Replica) Version() Version { return s.stamp }

// Advert returns what to tell peers.
func (s *Replica) Advert(now time.Time) Advert {
	a := Advert{Version: s.stamp, StoreAgeSeconds: StoreAgeUnknown}
	if !s.store.IsZero() {
		a.StoreAgeSeconds = uint32(min(max(0, now.Sub(s.store)/time.Second)+storeAgeMargin, StoreAgeUnknown-1))
	}
	return a
}

// OnStore takes in what the store holds. It reports whether the value was
// adopted; the caller then puts Held into force. A value with a lower number is
// refused and reported by Status.
func (s *Replica) HandleStoreValue(v RulesFile, now time.Time) bool {
	s.store = now
	st := v.Version()
	if s.stamp.Newer(st) {
		if s.storeNumber != v.Number {
			s.refused++
		}
		s.storeNumber = v.Number
		return false
	}
	s.storeNumber = 0
	return s.adopt(v, st, now)
}

// OnStoreEmpty takes in that the store holds no rules file.
func (s *Replica) HandleStoreEmpty(now time.Time) {
	s.store = now
	if s.stamp.Number > 0 && s.storeNumber != -1 {
		s.storeNumber = -1
		s.refused++
	}
}

// adopt is the only place that changes what is held, and only ever to a newer
// value.
func (s *Replica) adopt(v RulesFile, st Version, now time.Time) bool {
	if !st.Newer(s.stamp) {
		return false
	}
	if s.held.Number > 0 {
		s.past = append(s.past, pastValue{s.stamp, s.held.Text})
		s.pastLen += len(s.held.Text)
	}
	for len(s.past) > 0 && s.pastLen > s.cfg.MaxDeltaBaseBytes {
		s.pastLen -= len(s.past[0].text)
		s.past[0] = pastValue{}
		s.past = s.past[1:]
	}
	s.held, s.stamp, s.since = v, st, now
	s.whole = false
	s.dropOffers(now)
	return true
}

// dropOffers forgets the peers that hold nothing newer.
func (s *Replica) dropOffers(now time.Time) {
	s.offers = slices.DeleteFunc(s.offers, func(o offer) bool { return !o.stamp.Newer(s.stamp) })
	s.offeredAt = now
}

// OnAdvert takes in what a peer holds and returns the pull to make, if any.
func (s *Replica) HandleAdvert(from string, a Advert, now time.Time) (Pull, bool) {
	if a.StoreAgeSeconds != StoreAgeUnknown {
		if at := now.Add(-time.Duration(a.StoreAgeSeconds) * time.Second); at.After(s.store) {
			s.store = at
		}
	}
	if !a.Version.Newer(s.stamp) {
		s.forgetOffer(from)
		return Pull{}, false
	}
	if len(s.offers) == 0 {
		s.offeredAt = now
	}
	s.remember(offer{from, a.Version})
	return s.next(now)
}

func (s *Replica) remember(o offer) {
	s.forgetOffer(o.from)
	s.offers = append(s.offers, o)
	if len(s.offers) > maxOffers {
		s.offers = append(s.offers[:0], s.offers[1:]...)
	}
}

func (s *Replica) forgetOffer(from string) {
	s.offers = slices.DeleteFunc(s.offers, func(o offer) bool { return o.from == from })
}

// next starts a pull from the latest holder of the newest file, unless one is
// in progress.
func (s *Replica) next(now time.Time) (Pull, bool) {
	if s.asked != "" || len(s.offers) == 0 || now.Before(s.retryAt) {
		return Pull{}, false
	}
	best := s.offers[0]
	for _, o := range s.offers[1:] {
		if !best.stamp.Newer(o.stamp) {
			best = o
		}
	}
	s.asked, s.askedAt = best.from, now
	p := Pull{To: best.from, Have: s.stamp}
	if s.whole {
		p.Have = Version{}
	}
	return p, true
}

// Tick gives up a pull without an answer and returns the next one, if any.
func (s *Replica) Tick(now time.Time) (Pull, bool) {
	if s.asked != "" && now.Sub(s.askedAt) >= s.cfg.PullTimeout {
		s.HandlePullFailure(s.asked, now)
	}
	return s.next(now)
}

// OnPullFailed takes in that a pull got no usable answer. The next Tick asks
// another holder, or the same one if it is the only one known.
func (s *Replica) HandlePullFailure(from string, now time.Time) {
	if s.asked != from {
		return
	}
	s.asked = ""
	s.retryAt = now.Add(retryAfter)
	if len(s.offers) > 1 {
		s.forgetOffer(from)
	}
}

// Status is the state of the configuration on one host.
type Status struct {
	Number   int64
	Author   string
	Comment  string
	PushedAt time.Time // by the operator's clock
	Hash     uint64
	// Adopted is when this host took the file over; zero if it holds none.
	AdoptedAt time.Time
	// Newest is the greatest number known to exist, at least Number.
	NewestNumber int64
	// Late means that a newer file has been known for longer than LateAfter
	// and could not be fetched.
	Stale bool
	// CutOff means that no news of the store, direct or from peers, has come
	// for longer than CutOffAfter. StoreSeen is the latest news, or zero.
	StoreUnreachable bool
	LastStoreContact time.Time
	// StoreNumber is the older number that the store holds, -1 if it holds no
	// file; 0 means that the store is not known to be behind.
	StoreNumber int64
	// Refused counts older values refused.
	StoreRegressions uint64
}

// Status returns the state at now.
func (s *Replica) Status(now time.Time) Status {
	seen := s.store
	if seen.IsZero() {
		seen = s.start
	}
	st := Status{
		Number: s.held.Number, Author: s.held.Author, Comment: s.held.Comment, Hash: s.stamp.Hash,
		AdoptedAt: s.since, NewestNumber: s.held.Number, LastStoreContact: s.store, StoreNumber: s.storeNumber, StoreRegressions: s.refused,
		StoreUnreachable: now.Sub(seen) > s.cfg.StoreUnreachableAfter,
	}
	if s.held.Number > 0 {
		st.PushedAt = s.held.PushedAt()
	}
	for _, o := range s.offers {
		st.NewestNumber = max(st.NewestNumber, o.stamp.Number)
		st.Stale = st.Stale || now.Sub(s.offeredAt) > s.cfg.StaleAfter
	}
	return st
}
