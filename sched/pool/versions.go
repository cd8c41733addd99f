package pool

import (
	"maps"
	"slices"
	"time"

	"sardinefront.dev/core/request"
)

const (
	// maxShareCredit bounds the credit that a canary version accumulates while it cannot
	// use its share.
	maxShareCredit = 2
	// minUrgentShare is the share from which an urgent request may use a canary version,
	// and then only if no stable target has capacity.
	minUrgentShare = 0.25
)

// versions splits the traffic between the versions of a pool.
type versions struct {
	names  []string
	states []versionState
	// restricted is true if shares are set.
	restricted bool
	// allowed, stable and single are sets of versions; single is scratch space of
	// singleSet.
	allowed []bool
	stable  []bool
	single  []bool
}

// versionState is the share of one version. A version is a canary from the time it gets a
// share below 1 until it gets all traffic. The version that had all traffic before stays
// stable while it has any.
type versionState struct {
	share  float64
	stable bool
	// credit is how many dispatches the version may receive now.
	credit float64
}

// ensureIndex returns the index of a version and adds the version if it is new. The index does
// not change later.
func (v *versions) ensureIndex(name string) int {
	for i, n := range v.names {
		if n == name {
			return i
		}
	}
	s := versionState{share: 1, stable: true}
	if v.restricted {
		s = versionState{}
	}
	v.names = append(v.names, name)
	v.states = append(v.states, s)
	v.updateSets()
	return len(v.names) - 1
}

// setShares replaces the shares. If no version would be stable, the one with the largest
// share becomes stable.
func (v *versions) setShares(shares map[string]float64) {
	// Sorted, so that the indices of versions do not depend on map order.
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		v.ensureIndex(name)
	}
	wasUnrestricted := !v.restricted
	v.restricted = len(shares) > 0
	largest, anyStable := 0, false
	for i, name := range v.names {
		s := &v.states[i]
		s.share = shares[name]
		if !v.restricted {
			*s = versionState{share: 1, stable: true}
		}
		s.stable = s.share >= 1 || (s.share > 0 && s.stable && !wasUnrestricted)
		anyStable = anyStable || s.stable
		if s.share > v.states[largest].share || (s.share == v.states[largest].share && name < v.names[largest]) {
			largest = i
		}
	}
	if !anyStable && len(v.states) > 0 && v.states[largest].share > 0 {
		v.states[largest].stable = true
	}
	v.updateSets()
}

// updateSets rebuilds the version sets from the states.
func (v *versions) updateSets() {
	n := len(v.states)
	v.allowed, v.stable, v.single = make([]bool, n), make([]bool, n), make([]bool, n)
	for i, s := range v.states {
		v.allowed[i] = s.share > 0
		v.stable[i] = s.stable
	}
}

// dueCanary returns the canary version with the most credit that may receive a request of
// the tier now, or -1.
func (v *versions) dueCanary(tier request.Tier) int {
	best := -1
	for i, s := range v.states {
		if s.stable || s.credit < 1 || s.share <= 0 {
			continue
		}
		if tier == request.Urgent && s.share < minUrgentShare {
			continue
		}
		if best < 0 || s.credit > v.states[best].credit {
			best = i
		}
	}
	return best
}

// singleSet returns the set that contains only version i. The next call overwrites it.
func (v *versions) singleSet(i int) []bool {
	clear(v.single)
	v.single[i] = true
	return v.single
}

// recordDispatch accounts for a dispatch to version i: each canary version earns its
// share as credit, and the one that was used spends 1. Credit is earned only by
// dispatches, so a version never exceeds its share of this host's traffic.
func (v *versions) recordDispatch(i int) {
	for k := range v.states {
		s := &v.states[k]
		if !s.stable {
			s.credit = min(maxShareCredit, s.credit+s.share)
		}
	}
	if !v.states[i].stable {
		v.states[i].credit--
	}
}

// SetVersionShares sets the fraction of the traffic, 0..1, that each version may receive.
// A version that is not listed receives none. An empty map removes all restrictions.
func (p *Pool) SetVersionShares(shares map[string]float64, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions.setShares(shares)
	p.capacityChanges++
	return p.dispatchReady(nil, now)
}
