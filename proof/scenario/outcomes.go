package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/proof/invariant"
)

// fetchTimeout bounds one attempt to fetch an outcome.
const fetchTimeout = 12 * time.Second

// doOutcome parses LABEL STATE[|STATE] from HOST. It waits until each request with the
// label has an outcome and checks the state of the outcome.
func doOutcome(w *world, a *arguments) error {
	label, state := a.next("a label"), a.next("a state")
	a.keyword("from")
	name := a.next("a host")
	if err := a.finish(); err != nil {
		return err
	}
	p, err := w.findHost(name)
	if err != nil {
		return err
	}
	calls, err := w.labels.calls(label)
	if err != nil {
		return err
	}
	for _, c := range calls {
		got := ""
		err := waitFor(c.spec.qualifiedID()+" has an outcome", func() bool {
			got = w.fetchOutcome(context.Background(), p, c.spec)
			return got != ""
		})
		if err != nil {
			return fmt.Errorf("%w%s", err, w.explain(c.spec.qualifiedID()))
		}
		if !slices.Contains(strings.Split(state, "|"), got) {
			return fmt.Errorf("the outcome of %s is %s, expected %s%s", c.spec.qualifiedID(), got, state, w.explain(c.spec.qualifiedID()))
		}
	}
	return nil
}

// requestOutcome requests the outcome of a recorded request from a host once.
func (w *world) requestOutcome(ctx context.Context, p *hostProcess, spec callSpec) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.callerAddress()+"/sardinefront/requests/"+spec.id, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Organisation", spec.organisation)
	return p.client.Do(req)
}

// pendingState returns the state of a request that has no outcome yet, empty if it has
// one or the host does not report a state.
func (w *world) pendingState(p *hostProcess, spec callSpec) string {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	resp, err := w.requestOutcome(ctx, p, spec)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var body struct {
		State string `json:"state"`
	}
	if resp.StatusCode != http.StatusAccepted || json.NewDecoder(resp.Body).Decode(&body) != nil {
		return ""
	}
	return body.State
}

// whenClaimed parses LABEL [BOUND] from HOST. The condition is met when the number of
// requests with the label that are claimed and have no outcome satisfies the bound, all
// if none is given.
func whenClaimed(w *world, a *arguments) (func() bool, error) {
	calls, err := w.labels.calls(a.next("a label"))
	if err != nil {
		return nil, err
	}
	word := a.next("a count or from")
	if word == "from" {
		word = "all"
	} else {
		a.keyword("from")
	}
	b, ok := parseCountBound(word, len(calls))
	if !ok {
		return nil, fmt.Errorf("%q is not a count", word)
	}
	p, err := w.findHost(a.next("a host"))
	return func() bool {
		n := 0
		for _, c := range calls {
			if w.pendingState(p, c.spec) == "claimed" {
				n++
			}
		}
		return b.allows(n)
	}, err
}

// fetchOutcome requests the outcome of a request from a host once and records the
// response. It returns the state of the outcome, empty if there is none yet or the host
// does not report it.
func (w *world) fetchOutcome(ctx context.Context, p *hostProcess, spec callSpec) string {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	resp, err := w.requestOutcome(ctx, p, spec)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusAccepted {
		return ""
	}
	c := call{spec: spec}
	return w.recordOutcome(p.name, spec, c.readResponse(ctx, resp))
}

// outcomeStates maps the reasons of recorded outcomes to their states.
var outcomeStates = map[string]string{"outcome-failed": "failed", "outcome-unknown": "unknown"}

// recordOutcome records the result of fetching an outcome and returns the state of the
// outcome, empty if the result has none.
func (w *world) recordOutcome(host string, spec callSpec, result callResult) string {
	ev := invariant.Event{Kind: invariant.OutcomeFetched, Host: host, Request: spec.qualifiedID(), Reason: result.reason}
	switch {
	case result.end == endAnswered:
		ev.OutcomeState, ev.Digest = "answered", digest(result.text)
	case result.end == endRefused && outcomeStates[result.reason] != "":
		ev.OutcomeState, ev.RunState = outcomeStates[result.reason], parseRunState(result.runState)
	case result.end == endFailed:
		ev.OutcomeState, ev.RunState, ev.Reason = "error", refusal.RunCompleted, result.detail
	case result.end == endRefused && result.reason == "not-found":
		ev.Kind = invariant.RequestLost
	default:
		return ""
	}
	w.rec.Record(ev)
	return ev.OutcomeState
}

// awaitOutcomes waits until each accepted request has an outcome at a live host. The
// check of I10 reports those that have none after the wait.
func (w *world) awaitOutcomes() {
	pending := w.acceptedCalls()
	_ = waitFor("all accepted requests have an outcome", func() bool {
		for id, spec := range pending {
			w.hosts.forEach(func(p *hostProcess) {
				if _, isPending := pending[id]; isPending && p.isRunning() && w.fetchOutcome(context.Background(), p, spec) != "" {
					delete(pending, id)
				}
			})
		}
		return len(pending) == 0
	})
}

// acceptedCalls returns the requests whose acceptance was confirmed to their callers, by
// qualified id.
func (w *world) acceptedCalls() map[string]callSpec {
	found := make(map[string]callSpec)
	w.labels.mu.Lock()
	defer w.labels.mu.Unlock()
	for _, g := range w.labels.groups {
		for _, c := range g.calls {
			if end, _, _, _ := c.result(); end == endAccepted {
				found[c.spec.qualifiedID()] = c.spec
			}
		}
	}
	return found
}
