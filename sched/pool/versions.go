package pool

import (
	"maps"
	"slices"
	"time"

	"sardinefront.dev/core/request"
)

const (
	// shareBurst bounds the credit of a version that could not use its share.
	maxShareCredit = 2
	// urgentShare is the least share at which an urgent request may use an
	// unproven version, and then only if no other target has room.
	minUrgentShare = 0.25
)

// versions divides the traffic between the versions of a pool.
type versions struct {
	names  []string
	states []versionState
	// limited says that shares were set at all.
	restricted bool
	allowed    []bool
	stable     []bool
	single     []bool
}

// version is the share of one version. A version is unproven from the time it
// gets a share below 1 until it gets all traffic; the version that had all
// traffic before stays proven while it has any.
type versionState struct {
	share  float64
	stable bool
	// credit is how many dispatches the version may receive now.
	credit float64
}

// index returns the number of a version, which it keeps.
func (v *versions) ensure(name string) int {
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

// set replaces the shares. If no version was proven before, the one with the
// largest share is.
func (v *versions) setShares(shares map[string]float64) {
	// Sorted, so that the numbers of versions do not depend on the order of a
	// map.
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		v.ensure(name)
	}
	first := !v.restricted
	v.restricted = len(shares) > 0
	largest, some := 0, false
	for i, name := range v.names {
		s := &v.states[i]
		s.share = shares[name]
		if !v.restricted {
			*s = versionState{share: 1, stable: true}
		}
		s.stable = s.share >= 1 || (s.share > 0 && s.stable && !first)
		some = some || s.stable
		if s.share > v.states[largest].share || (s.share == v.states[largest].share && name < v.names[largest]) {
			largest = i
		}
	}
	if !some && len(v.states) > 0 && v.states[largest].share > 0 {
		v.states[largest].stable = true
	}
	v.updateSets()
}

// update fills the sets that choices use.
func (v *versions) updateSets() {
	n := len(v.states)
	v.allowed, v.stable, v.single = make([]bool, n), make([]bool, n), make([]bool, n)
	for i, s := range v.states {
		v.allowed[i] = s.share > 0
		v.stable[i] = s.stable
	}
}

// due returns the unproven version with the most credit that may receive a
// request now, or -1.
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

// onlySet returns the set that holds version i alone.
func (v *versions) singleSet(i int) []bool {
	clear(v.single)
	v.single[i] = true
	return v.single
}

// dispatched accounts a dispatch to version i: each unproven version earns its
// share, and the one that was used pays for it. Credit is earned only by
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

// SetShares sets the part of the traffic, 0..1, that each version may receive.
// A version that is not listed receives nothing; an empty map lifts all
// restrictions.
func (p *Pool) SetVersionShares(shares map[string]float64, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions.setShares(shares)
	p.capacityChanges++
	return p.dispatchReady(nil, now)
}
