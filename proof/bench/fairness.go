package bench

import (
	"math"

	"sardinefront.dev/core/request"
)

// comparedOrgs is the number of organisations that are compared: those with
// the most requests. The others rarely have waiting requests for long.
const comparedOrgs = 8

// minComparedRequests sets the minimum length of an interval that is compared:
// one of the two organisations must have started the tokens of this number of
// the tier's largest requests. A fair queue may be off by one request of each
// organisation, which at 20 requests equals the bound of 10%.
const minComparedRequests = 20

// fairnessFigures describes how equally the organisations, all of weight 1, were
// served.
type fairnessFigures struct {
	// MaxDifference is the largest difference between the tokens that two
	// organisations started while both had requests waiting in the same queue,
	// as a fraction of the larger number.
	MaxDifference float64
	// Intervals is the number of compared intervals, over all pairs.
	Intervals int
}

// fairness compares organisations in each tier and queue of the engine pool.
type fairness struct {
	singleQueue bool // one queue for all hosts instead of one per host
	orgs        int
	queues      map[queueKey]*queueStarts
	res         fairnessFigures
}

type queueKey struct {
	host int
	tier request.Tier
}

// queueStarts holds the counts of one queue. startedTokens[a][b] is the number of
// tokens that organisation a started in the current interval of the pair, in
// which both a and b have waiting requests.
type queueStarts struct {
	waiting       [comparedOrgs]int // waiting requests by organisation
	startedTokens [comparedOrgs][comparedOrgs]int
	minTokens     int // shorter intervals are not compared
}

func newFairness(d *deployment) *fairness {
	return &fairness{orgs: min(d.organisations, comparedOrgs), queues: map[queueKey]*queueStarts{}}
}

// queue returns the counts of the request's queue, or nil if the request is not
// compared.
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

// requestLeftQueue records that a request was started or otherwise removed from
// its queue. The intervals of an organisation end with its last waiting request.
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

// endInterval ends the current interval of a pair of organisations and compares
// the tokens that they started in it.
func (f *fairness) endInterval(q *queueStarts, a, b int) {
	x, y := q.startedTokens[a][b], q.startedTokens[b][a]
	q.startedTokens[a][b], q.startedTokens[b][a] = 0, 0
	if larger := max(x, y); larger >= q.minTokens {
		f.res.Intervals++
		f.res.MaxDifference = max(f.res.MaxDifference, math.Abs(float64(x-y))/float64(larger))
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
