package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fleet returns this host's name and the names of all hosts that are alive.
type Fleet func() (self string, hosts []string)

// Verdict states whether a request may be sent.
type Verdict uint8

// The verdicts.
const (
	Allowed Verdict = iota
	// Trial allows one send of the request, to find out whether the part still crashes targets.
	Trial
	Blocked
)

// Check states whether a request with these parts may be sent. Unless the verdict is Allowed, it
// also returns the first quarantined part that affects the request. A part whose crashes another
// quarantined part explains blocks only requests that have both, because sound requests may share
// it. If a trial is due and it is this host's turn, the request is the trial.
func (t *Table) Check(parts []Part, fleet Fleet, now time.Time) (Part, Verdict) {
	var blocked []*record
	var first Part
	for _, p := range parts {
		r := t.records[p]
		if r == nil || r.quarantined.IsZero() || t.explained(p, r, parts) {
			continue
		}
		if len(blocked) == 0 {
			first = p
		}
		blocked = append(blocked, r)
	}
	if len(blocked) == 0 {
		return Part{}, Allowed
	}
	for _, r := range blocked {
		if !r.trialDue(first, fleet, now) {
			return first, Blocked
		}
	}
	for _, r := range blocked {
		r.trial = now
	}
	return first, Trial
}

// explained reports whether the crashes of a part don't suffice for a quarantine once those at
// targets that other quarantined parts crashed as well are left out. Only parts that the request
// does not have, with at least as many crashes, count.
func (t *Table) explained(p Part, r *record, parts []Part) bool {
	rest := maps.Clone(r.crashes)
	for other, o := range t.records {
		if other.Service != p.Service || o.quarantined.IsZero() || len(o.crashes) < len(r.crashes) || slices.Contains(parts, other) {
			continue
		}
		maps.DeleteFunc(rest, func(target uint32, _ span) bool {
			_, shared := o.crashes[target]
			return shared
		})
	}
	return !sufficient(rest)
}

// trialDue reports whether this host may send one request with the part.
func (r *record) trialDue(p Part, fleet Fleet, now time.Time) bool {
	interval := minTrialInterval
	for range chain(r.crashes) - minChain {
		interval = min(maxTrialInterval, interval*trialIntervalFactor)
	}
	overdue := now.Sub(r.lastCrash()) - interval
	if overdue < 0 || now.Sub(r.trial) < trialTimeout {
		return false
	}
	self, hosts := fleet()
	return self == selectHost(p, hosts, uint64(overdue/trialTurn))
}

// selectHost returns the host whose turn it is to make the trial, by rendezvous hashing.
func selectHost(p Part, hosts []string, turn uint64) string {
	var best string
	var bestHash uint64
	for _, h := range hosts {
		d := xxhash.New()
		for _, s := range []string{p.Service, p.ID, h} {
			_, _ = d.WriteString(s + "\x00") // never fails
		}
		_, _ = d.Write([]byte{byte(turn), byte(turn >> 8), byte(turn >> 16)})
		if sum := d.Sum64(); best == "" || sum > bestHash {
			best, bestHash = h, sum
		}
	}
	return best
}

// Quarantined returns the number of quarantined parts.
func (t *Table) Quarantined() int {
	n := 0
	for _, r := range t.records {
		if !r.quarantined.IsZero() {
			n++
		}
	}
	return n
}
