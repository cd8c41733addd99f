// Package prefix estimates which targets hold the prefix of a prompt in their cache. Rendezvous
// hashing gives every prefix preferred targets that are the same on all hosts without
// communication, and a bounded history of this host's dispatches and the targets' cache events
// records which targets were really used.
package prefix

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// slotCount is the number of hash slots. The prefixes of a slot share their preferred
	// targets. It is several times the number of targets of a pool, so that the slots are
	// spread evenly.
	slotCount = 8192
	// Replicas is the number of preferred targets of a prefix. The second and third serve
	// hot prefixes.
	Replicas = 3
)

// Affinity maps each prefix to its preferred targets, ranked by rendezvous hashing. It is
// immutable. Adding or removing a target changes the ranking only of the prefixes for which
// that target is among the preferred ones. The ranking is computed per slot when the list of
// targets changes, so that the cost of a lookup does not depend on the number of targets.
type Affinity struct {
	ids   []uint64 // hash of the target's name by index; 0 is an absent target
	ranks [][Replicas]int32
	// HashesComputed counts the pairs of target and slot that were hashed to build this
	// table.
	HashesComputed int
}

// HashName returns the hash of a target's name that NewAffinity ranks it by. It is never 0.
func HashName(name string) uint64 {
	return max(1, xxhash.Sum64String(name))
}

// NewAffinity returns the rankings of the targets. ids holds the hash of the target's name by
// index, 0 where an index is not in use. The rankings of old, which may be nil, are reused for
// targets that keep their index.
func NewAffinity(ids []uint64, old *Affinity) *Affinity {
	if old != nil && slices.Equal(ids, old.ids) {
		return old
	}
	a := &Affinity{ids: append([]uint64(nil), ids...), ranks: make([][Replicas]int32, slotCount)}
	removed, added := diffTargets(a.ids, old)
	for s := range a.ranks {
		if old == nil || containsAny(old.ranks[s], removed) {
			a.ranks[s] = a.rankSlot(s)
			continue
		}
		a.ranks[s] = old.ranks[s]
		for _, i := range added {
			a.insertTarget(s, i)
		}
	}
	return a
}

// diffTargets returns the indices whose target in old is absent from ids, and those with a new
// target.
func diffTargets(ids []uint64, old *Affinity) (removed map[int32]bool, added []int32) {
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
			added = append(added, int32(i))
		}
	}
	return removed, added
}

func containsAny(ranks [Replicas]int32, removed map[int32]bool) bool {
	if len(removed) == 0 {
		return false
	}
	for _, i := range ranks {
		if removed[i] {
			return true
		}
	}
	return false
}

func (a *Affinity) rankSlot(slot int) [Replicas]int32 {
	a.ranks[slot] = [Replicas]int32{-1, -1, -1}
	for i, id := range a.ids {
		if id != 0 {
			a.insertTarget(slot, int32(i))
		}
	}
	return a.ranks[slot]
}

// insertTarget inserts target i into the ranking of the slot if it is among the best Replicas.
func (a *Affinity) insertTarget(slot int, i int32) {
	a.HashesComputed++
	r := &a.ranks[slot]
	w := rendezvousWeight(a.ids[i], slot)
	for k := range r {
		if r[k] == i {
			return
		}
		if r[k] < 0 || w > rendezvousWeight(a.ids[r[k]], slot) {
			copy(r[k+1:], r[k:Replicas-1])
			r[k] = i
			return
		}
	}
}

// rendezvousWeight returns the weight of a target for a slot: the finalizer of splitmix64 over
// both.
func rendezvousWeight(id uint64, slot int) uint64 {
	x := id + uint64(slot+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Targets returns the indices of the preferred targets of a prefix, best first, or -1 where
// there are fewer targets.
func (a *Affinity) Targets(prefix uint64) [Replicas]int32 {
	return a.ranks[mixHash(prefix)%slotCount]
}

func mixHash(x uint64) uint64 {
	x = (x ^ (x >> 33)) * 0xff51afd7ed558ccd
	return x ^ (x >> 33)
}
