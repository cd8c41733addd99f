package prefix

import (
	"math"
	"sync"
	"time"
)

const (
	// ways is the associativity of the history: the number of entries per set. The least
	// recently used entry of a set is replaced.
	ways = 4
	// MaxHolders is the maximum number of targets recorded per prefix.
	MaxHolders = 6
	// eventProbability and dispatchProbability are the initial probabilities that a target
	// holds a prefix after a cache event or a dispatch. A cache event comes from the target
	// itself; a dispatch only implies that the prefix was computed there. Both decay with
	// holdDecayTime because caches are small.
	eventProbability    = 0.97
	dispatchProbability = 0.9
	holdDecayTime       = 10 * time.Minute
	// eventLossFactor multiplies the probability of observations from before a loss of the
	// target's events: an eviction event may have been lost.
	eventLossFactor = 0.5
	// rateDecayTime is the time constant of the moving average of a prefix's request rate.
	rateDecayTime = 10 * time.Second
)

// Holder is a target that may hold a prefix in its cache.
type Holder struct {
	// Target is the target's index, as in NewAffinity.
	Target int32
	// Probability is the estimated probability that the target holds the prefix, 0..1.
	Probability float64
}

// History records which targets computed which prefixes. Its size is fixed.
// It is safe for concurrent use.
type History struct {
	mu          sync.RWMutex
	sets        [][ways]record
	eventLossAt []time.Time // time of the last event loss, by target index
}

// record is the history of one prefix.
type record struct {
	key     uint64
	usedAt  time.Time
	rate    float64 // requests per second of this host
	holders [MaxHolders]observation
}

// observation is the last observation that a target holds a prefix.
type observation struct {
	target int32 // index+1; 0 is unused
	event  bool  // from a cache event, else from a dispatch
	at     time.Time
}

// NewHistory returns a history that can hold at least the given number of prefixes.
func NewHistory(prefixes int) *History {
	n := 1
	for n*ways < prefixes {
		n *= 2
	}
	return &History{sets: make([][ways]record, n)}
}

func (h *History) lookup(key uint64) *record {
	set := &h.sets[mixHash(key)&uint64(len(h.sets)-1)]
	for i := range set {
		if set[i].key == key && !set[i].usedAt.IsZero() {
			return &set[i]
		}
	}
	return nil
}

// lookupOrInsert returns the record of a prefix. A new record replaces the least recently used
// one of its set.
func (h *History) lookupOrInsert(key uint64, now time.Time) *record {
	if r := h.lookup(key); r != nil {
		return r
	}
	set := &h.sets[mixHash(key)&uint64(len(h.sets)-1)]
	oldest := &set[0]
	for i := range set {
		if set[i].usedAt.Before(oldest.usedAt) {
			oldest = &set[i]
		}
	}
	*oldest = record{key: key, usedAt: now}
	return oldest
}

// RecordDispatch records that a prompt with this prefix was sent to the target.
func (h *History) RecordDispatch(key uint64, target int, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.lookupOrInsert(key, now)
	dt := now.Sub(r.usedAt).Seconds()
	r.rate = r.rate*math.Exp(-dt/rateDecayTime.Seconds()) + 1/rateDecayTime.Seconds()
	r.usedAt = now
	r.setHolder(int32(target), false, now)
}

// RecordCacheEvent records that the target stored a prefix, or evicted it if stored is false.
func (h *History) RecordCacheEvent(key uint64, target int, stored bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if stored {
		h.lookupOrInsert(key, now).setHolder(int32(target), true, now)
		return
	}
	if r := h.lookup(key); r != nil {
		r.removeHolder(int32(target))
	}
}

// RecordEventLoss records that cache events of the target before now were lost.
func (h *History) RecordEventLoss(target int, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.eventLossAt) <= target {
		h.eventLossAt = append(h.eventLossAt, time.Time{})
	}
	h.eventLossAt[target] = now
}

// RemoveTarget removes all observations of a target, so that its index can be reused.
func (h *History) RemoveTarget(target int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.sets {
		for w := range h.sets[s] {
			h.sets[s][w].removeHolder(int32(target))
		}
	}
}

// RLock locks the history for reading until RUnlock, so that the prefixes of one request are
// looked up under a single lock.
func (h *History) RLock() { h.mu.RLock() }

// RUnlock releases RLock.
func (h *History) RUnlock() { h.mu.RUnlock() }

// Holders writes the targets that may hold the prefix to out. It returns their number and the
// rate, per second, at which this host dispatches requests with the prefix. The caller must
// hold RLock.
func (h *History) Holders(key uint64, now time.Time, out *[MaxHolders]Holder) (int, float64) {
	r := h.lookup(key)
	if r == nil {
		return 0, 0
	}
	n := 0
	for _, s := range r.holders {
		if s.target != 0 {
			out[n] = Holder{s.target - 1, h.probability(s, now)}
			n++
		}
	}
	return n, r.rate / (1 + max(0, now.Sub(r.usedAt).Seconds())/rateDecayTime.Seconds())
}

// probability returns the estimated probability that an observed target still holds the prefix.
func (h *History) probability(s observation, now time.Time) float64 {
	probability := dispatchProbability
	if s.event {
		probability = eventProbability
	}
	probability /= 1 + max(0, now.Sub(s.at).Seconds())/holdDecayTime.Seconds()
	if i := int(s.target - 1); i < len(h.eventLossAt) && s.at.Before(h.eventLossAt[i]) {
		probability *= eventLossFactor
	}
	return probability
}

// setHolder records that a target holds the prefix. If the record is full, it replaces the
// oldest observation.
func (r *record) setHolder(target int32, event bool, now time.Time) {
	oldest := &r.holders[0]
	for i := range r.holders {
		s := &r.holders[i]
		if s.target == target+1 {
			s.at, s.event = now, s.event || event
			return
		}
		if s.target == 0 || (oldest.target != 0 && s.at.Before(oldest.at)) {
			oldest = s
		}
	}
	*oldest = observation{target + 1, event, now}
}

func (r *record) removeHolder(target int32) {
	for i := range r.holders {
		if r.holders[i].target == target+1 {
			r.holders[i] = observation{}
		}
	}
}
