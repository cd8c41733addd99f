package pool

import (
	"maps"
	"slices"
	"time"

	"sardinefront.dev/core/request"
)

const (
	// shareBurst bounds the credit of a version that could not use its share.
	shareBurst = 2
	// urgentShare is the least share at which an urgent request may use an
	// unproven version, and then only if no other target has room.
	urgentShare = 0.25
)

// versions divides the traffic between the versions of a pool.
type versions struct {
	names  []string
	shares []version
	// limited says that shares were set at all.
	limited bool
	all     []bool
	proven  []bool
	only    []bool
}

// version is the share of one version. A version is unproven from the time it
// gets a share below 1 until it gets all traffic; the version that had all
// traffic before stays proven while it has any.
type version struct {
	share  float64
	proven bool
	// credit is how many dispatches the version may receive now.
	credit float64
}

// index returns the number of a version, which it keeps.
func (v *versions) index(name string) int {
	for i, n := range v.names {
		if n == name {
			return i
		}
	}
	s := version{share: 1, proven: true}
	if v.limited {
		s = version{}
	}
	v.names = append(v.names, name)
	v.shares = append(v.shares, s)
	v.update()
	return len(v.names) - 1
}

// set replaces the shares. If no version was proven before, the one with the
// largest share is.
func (v *versions) set(shares map[string]float64) {
	// Sorted, so that the numbers of versions do not depend on the order of a
	// map.
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		v.index(name)
	}
	first := !v.limited
	v.limited = len(shares) > 0
	largest, some := 0, false
	for i, name := range v.names {
		s := &v.shares[i]
		s.share = shares[name]
		if !v.limited {
			*s = version{share: 1, proven: true}
		}
		s.proven = s.share >= 1 || (s.share > 0 && s.proven && !first)
		some = some || s.proven
		if s.share > v.shares[largest].share || (s.share == v.shares[largest].share && name < v.names[largest]) {
			largest = i
		}
	}
	if !some && len(v.shares) > 0 && v.shares[largest].share > 0 {
		v.shares[largest].proven = true
	}
	v.update()
}

// update fills the sets that choices use.
func (v *versions) update() {
	n := len(v.shares)
	v.all, v.proven, v.only = make([]bool, n), make([]bool, n), make([]bool, n)
	for i, s := range v.shares {
		v.all[i] = s.share > 0
		v.proven[i] = s.proven
	}
}

// due returns the unproven version with the most credit that may receive a
// request now, or -1.
func (v *versions) due(tier request.Tier) int {
	best := -1
	for i, s := range v.shares {
		if s.proven || s.credit < 1 || s.share <= 0 {
			continue
		}
		if tier == request.Urgent && s.share < urgentShare {
			continue
		}
		if best < 0 || s.credit > v.shares[best].credit {
			best = i
		}
	}
	return best
}

// onlySet returns the set that holds version i alone.
func (v *versions) onlySet(i int) []bool {
	clear(v.only)
	v.only[i] = true
	return v.only
}

// dispatched accounts a dispatch to version i: each unproven version earns its
// share, and the one that was used pays for it. Credit is earned only by
// dispatches, so a version never exceeds its share of this host's traffic.
func (v *versions) dispatched(i int) {
	for k := range v.shares {
		s := &v.shares[k]
		if !s.proven {
			s.credit = min(shareBurst, s.credit+s.share)
		}
	}
	if !v.shares[i].proven {
		v.shares[i].credit--
	}
}

// SetShares sets the part of the traffic, 0..1, that each version may receive.
// A version that is not listed receives nothing; an empty map lifts all
// restrictions.
func (p *Pool) SetVersionShares(shares map[string]float64, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions.set(shares)
	p.changes++
	return p.place(nil, now)
}
