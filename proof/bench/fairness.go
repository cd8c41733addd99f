package bench

import (
	"math"

	"sardinefront.dev/core/request"
)

// fairOrgs is the number of organisations that are compared, the largest
// first. Smaller ones rarely wait for long.
const comparedOrgs = 8

// fairRequests is how many of the largest requests of a tier one of two
// organisations must have started while both waited, for the pair to count. A
// fair queue may be ahead by one request for each of the two; at 20, that is
// the bound of 10%.
const minComparedRequests = 20

// fairFigures is the largest difference between the tokens that two
// organisations of equal weight started while both waited in the same queue,
// as a part of the larger one.
type fairnessFigures struct {
	MaxDifference float64
	Intervals     int // pairs and intervals that counted
}

// fairness compares organisations in each queue and tier of the engine pool.
type fairness struct {
	singleQueue bool // one queue for all hosts
	orgs        int
	queues      map[queueKey]*queueStarts
	res         fairnessFigures
}

type queueKey struct {
	host int
	tier request.Tier
}

// fairQueue holds, for each organisation, the number of waiting requests and
// the tokens that it started while the other one of a pair waited too.
type queueStarts struct {
	waiting       [comparedOrgs]int
	startedTokens [comparedOrgs][comparedOrgs]int
	minTokens     int
}

func newFairness(d *deployment) *fairness {
	return &fairness{orgs: min(d.organisations, comparedOrgs), queues: map[queueKey]*queueStarts{}}
}

// queue returns the queue of a request, or nil if it is not compared.
func (f *fairness) queue(j *job) *queueStarts {
	if j.pool != enginePool || j.org >= f.orgs {
		return nil
	}
	k := queueKey{j.host, j.req.Tier}
	if f.singleQueue {
		k.host = 0
	}
	q := f.queues[k]
	if q == nil {
		s := tierShapes[j.req.Tier]
		q = &queueStarts{minTokens: minComparedRequests * int(s.prefix[1]+s.suffix[1]+2*s.answer[1])}
		f.queues[k] = q
	}
	return q
}

func (f *fairness) requestQueued(j *job) {
	if q := f.queue(j); q != nil {
		q.waiting[j.org]++
	}
}

// left takes a request out of its queue. When the last request of an
// organisation leaves, its intervals end.
func (f *fairness) requestLeftQueue(j *job, started bool) {
	q := f.queue(j)
	if q == nil {
		return
	}
	for o := range f.orgs {
		if started && o != j.org && q.waiting[o] > 0 {
			q.startedTokens[j.org][o] += j.req.EstimatedTokens()
		}
	}
	if q.waiting[j.org]--; q.waiting[j.org] == 0 {
		for o := range f.orgs {
			f.endInterval(q, j.org, o)
		}
	}
}

func (f *fairness) endInterval(q *queueStarts, a, b int) {
	x, y := q.startedTokens[a][b], q.startedTokens[b][a]
	q.startedTokens[a][b], q.startedTokens[b][a] = 0, 0
	if most := max(x, y); most >= q.minTokens {
		f.res.Intervals++
		f.res.MaxDifference = max(f.res.MaxDifference, math.Abs(float64(x-y))/float64(most))
	}
}

func (f *fairness) figures() fairnessFigures {
	for _, q := range f.queues {
		for a := range f.orgs {
			for b := range a {
				f.endInterval(q, a, b)
			}
		}
	}
	return f.res
}
