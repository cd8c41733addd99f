package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// maxReports bounds the parts in one message, maxReportedCrashes the crashes of one part,
	// and maxReportedTotal the crashes of all of them, so that a message stays within a few
	// hundred bytes.
	maxReports         = 8
	maxReportedCrashes = 12
	maxReportedTotal   = 32
	// clearanceTTL is how long a success that cleared crashes is reported.
	clearanceTTL = 30 * time.Second
	// maxIDBytes bounds the id of a part.
	maxIDBytes = 64
	// maxServiceBytes bounds the name of a service.
	maxServiceBytes = 256
)

// Report is the evidence of one host for one part. Times are given as ages, because the clocks
// of hosts differ. It is encoded as an array.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Service, ID string
	// SuccessAgeMs is the time since this host's newest response with the part; negative for none.
	SuccessAgeMs int64
	Crashes      []Crash
}

// Crash is the crash of one target.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// Target is the 32-bit hash of the target's key.
	Target uint32
	// SentAgeMs is the time since the request was sent, CrashedAgeMs that since the crash.
	SentAgeMs, CrashedAgeMs int64
}

// Reports returns the evidence for the peers: the parts with most crashes first.
func (t *Table) Reports(now time.Time) []Report {
	t.expire(now)
	parts := make([]Part, 0, len(t.records))
	for p, r := range t.records {
		if len(r.crashes) > 0 || !r.ownSuccess.IsZero() && now.Sub(r.cleared) < clearanceTTL {
			parts = append(parts, p)
		}
	}
	slices.SortFunc(parts, func(a, b Part) int {
		ra, rb := t.records[a], t.records[b]
		return cmp.Or(cmp.Compare(len(rb.crashes), len(ra.crashes)), rb.lastActivity().Compare(ra.lastActivity()),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	parts = parts[:min(len(parts), maxReports)]
	var out []Report
	left := maxReportedTotal
	for i, p := range parts {
		// Each part gets an equal share of the crashes that the ones before it have left.
		rep := t.records[p].report(p, min(left/(len(parts)-i), maxReportedCrashes), now)
		left -= len(rep.Crashes)
		out = append(out, rep)
	}
	return out
}

// report returns the newest crashes of the record, at most n.
func (r *record) report(p Part, n int, now time.Time) Report {
	rep := Report{Service: p.Service, ID: p.ID, SuccessAgeMs: -1}
	if !r.ownSuccess.IsZero() {
		rep.SuccessAgeMs = max(0, now.Sub(r.ownSuccess).Milliseconds())
	}
	for target, s := range r.crashes {
		// Evidence may have been recorded after now was taken.
		rep.Crashes = append(rep.Crashes, Crash{Target: target, SentAgeMs: max(0, now.Sub(s.sent).Milliseconds()), CrashedAgeMs: max(0, now.Sub(s.crashed).Milliseconds())})
	}
	slices.SortFunc(rep.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.CrashedAgeMs, b.CrashedAgeMs), cmp.Compare(a.Target, b.Target))
	})
	if len(rep.Crashes) > n {
		rep.Crashes = rep.Crashes[:n]
	}
	return rep
}

// Merge adds the evidence of a peer. It reports whether this host has a newer success with a part
// that the peer suspects, of which the peer should be told at once.
func (t *Table) Merge(reports []Report, now time.Time) (cleared bool) {
	t.expire(now)
	for i := range reports {
		rep := &reports[i]
		p := Part{rep.Service, rep.ID}
		if rep.SuccessAgeMs >= 0 {
			if r := t.records[p]; r != nil {
				t.clear(p, r, now.Add(-milliseconds(rep.SuccessAgeMs)), true, now)
			}
		}
		for _, c := range rep.Crashes {
			t.addCrash(p, c.Target, span{now.Add(-milliseconds(c.SentAgeMs)), now.Add(-milliseconds(c.CrashedAgeMs))}, true, now)
		}
		if r := t.records[p]; r != nil && len(rep.Crashes) >= minSuspicion && len(r.crashes) == 0 && !r.ownSuccess.IsZero() {
			cleared = true
		}
	}
	return cleared
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Validate returns an error for reports that no host sends.
func Validate(reports []Report) error {
	if len(reports) > maxReports {
		return fmt.Errorf("%d reports of prompt parts, at most %d are allowed", len(reports), maxReports)
	}
	for i := range reports {
		r := &reports[i]
		if r.ID == "" || len(r.ID) > maxIDBytes || len(r.Service) > maxServiceBytes || r.SuccessAgeMs > maxAgeMs || len(r.Crashes) > maxReportedCrashes {
			return fmt.Errorf("invalid report of prompt part %.*q: id of %d bytes, service name of %d bytes, success %d ms ago, %d crashes",
				maxIDBytes, r.ID, len(r.ID), len(r.Service), r.SuccessAgeMs, len(r.Crashes))
		}
		for _, c := range r.Crashes {
			if c.CrashedAgeMs < 0 || c.SentAgeMs < c.CrashedAgeMs || c.SentAgeMs > maxAgeMs {
				return fmt.Errorf("invalid report of prompt part %q: crash %d ms ago, request sent %d ms ago", r.ID, c.CrashedAgeMs, c.SentAgeMs)
			}
		}
	}
	return nil
}

// maxAgeMs bounds the ages in a report. Older evidence has expired.
const maxAgeMs = int64(24 * time.Hour / time.Millisecond)
