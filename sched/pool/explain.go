package pool

import (
	"fmt"
	"time"

	"sardinefront.dev/sched/pick"
)

// ringSize bounds the decisions that are kept.
const ringSize = 2048

// ring holds recent decisions in a form that costs no allocation.
type ring struct {
	records []record
	next    int
}

type record struct {
	id    string
	what  Decision // without Considered
	n     int
	names [pick.MaxAlternatives]string
	costs [pick.MaxAlternatives]float32
	reuse float32
	seen  int
}

func (r *ring) slot() *record {
	if len(r.records) < ringSize {
		r.records = append(r.records, record{})
		r.next = len(r.records)
		return &r.records[len(r.records)-1]
	}
	r.next++
	return &r.records[(r.next-1)%ringSize]
}

func (r *ring) add(id string, d Decision) {
	*r.slot() = record{id: id, what: d}
}

func (r *ring) addChoice(id, name string, c pick.Choice, slots []*target, now time.Time) {
	s := r.slot()
	*s = record{id: id, what: Decision{At: now, Kind: Dispatch, Target: name}, n: c.BestCount, reuse: float32(c.CachedTokens), seen: c.ScoredCount}
	for i, b := range c.Best[:c.BestCount] {
		s.names[i], s.costs[i] = slots[b.Index].Name, b.Cost
	}
}

func (r *record) decision() Decision {
	d := r.what
	if r.n > 0 {
		d.Why = fmt.Sprintf("cheapest of %d looked at, %.0f prompt tokens expected in its cache", r.seen, r.reuse)
	}
	for i, name := range r.names[:r.n] {
		d.Considered = append(d.Considered, Alternative{name, float64(r.costs[i])})
	}
	return d
}

// Explain returns the recent decisions about a request, oldest first. An empty
// id returns those about floors and ejections. Only the last 2048 decisions of
// the pool are kept.
func (p *Pool) Explain(id string) []Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Decision
	n := len(p.ring.records)
	for k := range n {
		i := k
		if n == ringSize {
			i = (p.ring.next + k) % ringSize
		}
		if r := &p.ring.records[i]; r.id == id {
			out = append(out, r.decision())
		}
	}
	return out
}
