package demo

import (
	"context"
	"net/http"
	"sync/atomic"
)

// baselineAttempts is how often a caller of the baseline sends a call whose connection fails.
// Targets do not deduplicate the repeats.
const baselineAttempts = 2

// roundRobin is the baseline scheduler. It sends each job to the next target of its pool.
type roundRobin struct {
	targets *targetSet
	client  *http.Client
	next    atomic.Uint64
}

func (b *roundRobin) name() string { return "round-robin" }

func (b *roundRobin) targetRequestID(j *job) string { return j.id }

func (b *roundRobin) run(ctx context.Context, _ int, j *job) result {
	header := http.Header{"X-Request-Id": {j.id}}
	r := result{}
	for range baselineAttempts {
		r = sendRequest(ctx, b.client, j, "http://"+b.nextTarget(j)+b.path(j), header, j.id)
		if r.outcome != incomplete || ctx.Err() != nil {
			break
		}
	}
	return r
}

func (b *roundRobin) nextTarget(j *job) string {
	n := b.next.Add(1)
	if j.kind.usesEngine {
		return b.targets.engines[n%uint64(len(b.targets.engines))].Addr()
	}
	return b.targets.services[n%uint64(len(b.targets.services))].Addr()
}

func (b *roundRobin) path(j *job) string {
	if j.kind.usesEngine {
		return "/v1/completions"
	}
	return j.kind.path
}
