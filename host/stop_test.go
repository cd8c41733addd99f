package host

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"sardinefront.dev/standin/engine"
)

// Guards against requests in progress that are cut without a response when the time to drain is
// over, or that the caller is told had not run.
func TestRequestsInProgressAtTheEndOfADrainGetAResponse(t *testing.T) {
	f := newFixture(t, engine.Config{PrefillTokensPerSecond: 0.01, Slots: 2}, nil)
	type result struct {
		status int
		ran    string
		err    error
	}
	results := make(chan result)
	const requests = 8
	for i := range requests {
		go func() {
			resp, _, err := f.send(t, context.Background(), "POST", "/llm/v1/chat/completions", fmt.Sprintf("s%d", i),
				`{"messages":[{"role":"user","content":"a"}],"max_tokens":20,"stream":true}`)
			if err != nil {
				results <- result{err: err}
				return
			}
			results <- result{resp.StatusCode, resp.Header.Get(headerRan), nil}
		}()
	}
	eventually(t, "all requests are in progress", func() bool { return f.host.inProgress.Load() == requests })
	time.Sleep(200 * time.Millisecond) // until they are sent or queued
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	f.host.Stop(ctx)
	for range requests {
		r := <-results
		if r.err != nil || r.status < http.StatusInternalServerError || r.status == http.StatusServiceUnavailable && r.ran != "not-run" {
			t.Errorf("got %+v", r)
		}
	}
}
