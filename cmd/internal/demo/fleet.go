package demo

import (
	"context"
	"net/http"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/core/wait"
)

const (
	// maxRepeats is how often a caller repeats a request whose outcome is unknown, under the
	// same id and at the host that the load balancer picks.
	maxRepeats          = 8
	repeatDelay         = 300 * time.Millisecond
	outcomePollInterval = 200 * time.Millisecond
	outcomePath         = "/sardinefront/requests/"
)

func (j *job) patient() bool { return j.kind.tier == request.Patient }

// fleetCaller is the scheduler under test. It sends jobs to the entry hosts as callers behind
// the platform's load balancer do.
type fleetCaller struct {
	hosts  *hostSet
	client *http.Client
}

func (c *fleetCaller) name() string { return "sardinefront" }

// targetRequestID returns the request id that targets see for a job.
func (c *fleetCaller) targetRequestID(j *job) string { return j.organisation + "~" + j.id }

func (c *fleetCaller) run(ctx context.Context, n int, j *job) result {
	start := time.Now()
	r := c.send(ctx, n, j)
	for i := 1; j.deduplicated() && outcomeUndecided(r) && i <= maxRepeats && ctx.Err() == nil; i++ {
		wait.Sleep(ctx, repeatDelay)
		r = c.send(ctx, n+i, j)
	}
	if j.patient() && r.outcome == accepted {
		r = c.pollOutcome(ctx, n, j)
	}
	r.duration = time.Since(start)
	return r
}

// deduplicated reports whether the hosts recognise a repeat of the job by its id.
func (j *job) deduplicated() bool { return j.kind.nonIdempotent || j.patient() }

// outcomeUndecided reports whether the caller has not received the outcome of its request.
func outcomeUndecided(r result) bool {
	return r.outcome == incomplete || r.reason == "in-progress"
}

func (c *fleetCaller) send(ctx context.Context, n int, j *job) result {
	return sendRequest(ctx, c.client, j, "http://"+c.hosts.pickAddress(n)+j.kind.path, c.header(j), c.targetRequestID(j))
}

func (c *fleetCaller) header(j *job) http.Header {
	return http.Header{"X-Organisation": {j.organisation}, "X-Request-Id": {j.id}}
}

// pollOutcome polls the hosts for the outcome of a patient request until there is one.
func (c *fleetCaller) pollOutcome(ctx context.Context, n int, j *job) result {
	get := *j
	kind := *j.kind
	kind.method, kind.path = http.MethodGet, outcomePath+j.id
	get.kind = &kind
	for i := n + 1; ; i++ {
		r := c.send(ctx, i, &get)
		if r.outcome == answered || r.outcome == mismatched || (r.outcome == refused && r.reason != "store-unavailable") {
			return r
		}
		if !wait.Sleep(ctx, outcomePollInterval) {
			return result{outcome: accepted}
		}
	}
}
