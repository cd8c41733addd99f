package pool

import (
	"fmt"
	"time"

	"sardinefront.dev/sched/pick"
)

// maxDecisions is the number of decisions kept per pool.
const maxDecisions = 2048

// decisionRing is a ring buffer of recent decisions. Adding one allocates nothing once
// the buffer is full.
type decisionRing struct {
	records []decisionRecord
	next    int
}

// decisionRecord is a Decision in a form without slices.
type decisionRecord struct {
	requestID    string
	base         Decision // without Considered, and without Why if count > 0
	count        int
	names        [pick.MaxAlternatives]string
	costs        [pick.MaxAlternatives]float32
	cachedTokens float32
	scoredCount  int
}

// nextRecord returns the record to write next, overwriting the oldest when full.
func (r *decisionRing) nextRecord() *decisionRecord {
	if len(r.records) < maxDecisions {
		r.records = append(r.records, decisionRecord{})
		r.next = len(r.records)
		return &r.records[len(r.records)-1]
	}
	r.next++
	return &r.records[(r.next-1)%maxDecisions]
}

func (r *decisionRing) add(id string, d Decision) {
	*r.nextRecord() = decisionRecord{requestID: id, base: d}
}

func (r *decisionRing) addChoice(id, name string, c pick.Choice, slots []*target, now time.Time) {
	rec := r.nextRecord()
	*rec = decisionRecord{requestID: id, base: Decision{At: now, Kind: Dispatch, Target: name}, count: c.BestCount, cachedTokens: float32(c.CachedTokens), scoredCount: c.ScoredCount}
	for i, b := range c.Best[:c.BestCount] {
		rec.names[i], rec.costs[i] = slots[b.Index].Name, b.Cost
	}
}

func (r *decisionRecord) decision() Decision {
	d := r.base
	if r.count > 0 {
		d.Why = fmt.Sprintf("lowest cost of %d targets considered, %.0f prompt tokens expected in its cache", r.scoredCount, r.cachedTokens)
	}
	for i, name := range r.names[:r.count] {
		d.Considered = append(d.Considered, Alternative{name, float64(r.costs[i])})
	}
	return d
}

// Explain returns the recent decisions about a request, oldest first. An empty id
// returns those about floors and ejections. The pool keeps only its last 2048 decisions.
func (p *Pool) Explain(id string) []Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Decision
	n := len(p.decisions.records)
	for k := range n {
		i := k
		if n == maxDecisions {
			i = (p.decisions.next + k) % maxDecisions
		}
		if r := &p.decisions.records[i]; r.requestID == id {
			out = append(out, r.decision())
		}
	}
	return out
}
