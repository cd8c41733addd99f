// Package prefix estimates which targets hold the prefix of a prompt in their
// cache: every prefix has home targets that all hosts agree on without talking,
// and a bounded history of own dispatches and cache events says which targets
// were really used.
package prefix

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// slots is the number of groups of prefixes that share homes. It is several
	// times the number of targets of a pool, so that the groups spread evenly.
	slotCount = 8192
	// Replicas is the number of home targets of a prefix. The second and third
	// serve hot prefixes.
	Replicas = 3
)

// Homes maps each prefix to a ranking of targets by rendezvous hashing. It is
// immutable. A target that joins or leaves changes the ranking only of the
// prefixes that it holds a rank for. The ranking is computed per slot when the
// list of targets changes, so that a lookup does not depend on their number.
type Affinity struct {
	ids   []uint64 // hash of the target's name by index; 0 is an absent target
	ranks [][Replicas]int32
	// Scored counts the hashes that building this table took.
	HashesComputed int
}

// HashName returns the hash under which a target is ranked.
func HashName(name string) uint64 {
	return max(1, xxhash.Sum64String(name))
}

// NewHomes returns the rankings of the targets. ids holds the hash of the
// target's name by index, 0 where an index is not in use. old may be nil; its
// rankings are reused for targets that keep their index.
func NewAffinity(ids []uint64, old *Affinity) *Affinity {
	if old != nil && slices.Equal(ids, old.ids) {
		return old
	}
	h := &Affinity{ids: append([]uint64(nil), ids...), ranks: make([][Replicas]int32, slotCount)}
	removed, joined := diffTargets(h.ids, old)
	for s := range h.ranks {
		if old == nil || containsAny(old.ranks[s], removed) {
			h.ranks[s] = h.rankSlot(s)
			continue
		}
		h.ranks[s] = old.ranks[s]
		for _, i := range joined {
			h.insertTarget(s, i)
		}
	}
	return h
}

// changes returns the indices whose target has gone and those with a new one.
func diffTargets(ids []uint64, old *Affinity) (removed map[int32]bool, joined []int32) {
	if old == nil {
		return nil, nil
	}
	removed = map[int32]bool{}
	for i, id := range old.ids {
		if id != 0 && (i >= len(ids) || ids[i] != id) {
			removed[int32(i)] = true
		}
	}
	for i, id := range ids {
		if id != 0 && (i >= len(old.ids) || old.ids[i] != id) {
			joined = append(joined, int32(i))
		}
	}
	return removed, joined
}

func containsAny(ranks [Replicas]int32, gone map[int32]bool) bool {
	if len(gone) == 0 {
		return false
	}
	for _, i := range ranks {
		if gone[i] {
			return true
		}
	}
	return false
}

func (h *Affinity) rankSlot(slot int) [Replicas]int32 {
	h.ranks[slot] = [Replicas]int32{-1, -1, -1}
	for i, id := range h.ids {
		if id != 0 {
			h.insertTarget(slot, int32(i))
		}
	}
	return h.ranks[slot]
}

// insert puts target i at its rank in the slot, if it has one.
func (h *Affinity) insertTarget(slot int, i int32) {
	h.HashesComputed++
	r := &h.ranks[slot]
	w := rendezvousWeight(h.ids[i], slot)
	for k := range r {
		if r[k] == i {
			return
		}
		if r[k] < 0 || w > rendezvousWeight(h.ids[r[k]], slot) {
			copy(r[k+1:], r[k:Replicas-1])
			r[k] = i
			return
		}
	}
}

// weight is the rendezvous weight of a target for a slot: the finalizer of
// splitmix64 over both.
func rendezvousWeight(id uint64, slot int) uint64 {
	x := id + uint64(slot+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Of returns the indices of the home targets of a prefix, best first, -1 where
// there are fewer targets.
func (h *Affinity) Targets(prefix uint64) [Replicas]int32 {
	return h.ranks[mixHash(prefix)%slotCount]
}

func mixHash(x uint64) uint64 {
	x = (x ^ (x >> 33)) * 0xff51afd7ed558ccd
	return x ^ (x >> 33)
}
