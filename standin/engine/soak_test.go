package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sardinefront.dev/standin/engine"
	"sardinefront.dev/target"
)

// Guards against a request that runs twice, a SendError that wrongly reports that
// nothing was sent, and a response with missing, repeated or mismatched tokens, while
// several kinds of faults overlap. Which requests a fault affects depends on timing;
// the invariants hold for any timing.
func TestInvariantsUnderFaults(t *testing.T) {
	const requests, workers, seed = 300, 30, 7
	t.Logf("seed %d", seed)
	s, _ := start(t, engine.Config{Name: "soak", TokensPerSecond: 2000, Slots: workers})
	e := target.NewEngine(target.Config{
		Name: "e", Address: s.Addr(), FirstByteTimeout: time.Second, StallTimeout: time.Second,
	})
	defer e.Close()
	for _, f := range []engine.Fault{
		{Kind: engine.FaultTruncated, Share: 0.1}, {Kind: engine.FaultMismatched, Share: 0.1},
		{Kind: engine.FaultFail, Share: 0.1}, {Kind: engine.FaultNoResponse, Share: 0.05},
	} {
		s.AddFault(f)
	}
	var next, completed, resumedCount atomic.Int64
	var wg sync.WaitGroup
	for w := range workers {
		rnd := rand.New(rand.NewPCG(seed, uint64(w)))
		wg.Go(func() {
			for {
				n := next.Add(1)
				if n > requests {
					return
				}
				if n%100 == 0 {
					s.FreezeConnections()
				}
				id := fmt.Sprintf("r%d", n)
				count, streamed := 1+rnd.IntN(40), rnd.IntN(4) > 0
				want := engine.ExpectedText(id, "prompt", count)
				got, resumes, err := doAndResume(e, id, count, streamed)
				runs := s.RunCounts()[id]
				switch {
				case errors.Is(err, errNotSent) && runs > 0:
					t.Errorf("%s: ran %d times, but %v", id, runs, err)
				case err == nil && got != want:
					t.Errorf("%s: got %q, expected %q", id, got, want)
				case err == nil:
					completed.Add(1)
					resumedCount.Add(int64(resumes))
				}
				if runs > 1 {
					t.Errorf("%s: ran %d times", id, runs)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d complete responses of %d, %d of them resumed", completed.Load(), requests, resumedCount.Load())
	if completed.Load() < requests/2 || resumedCount.Load() == 0 {
		t.Error("too few complete or resumed responses to verify the invariants")
	}
}

var errNotSent = errors.New("not sent")

// doAndResume sends a completion and resumes its stream once if the stream was
// truncated or its first byte did not arrive in time.
func doAndResume(e *target.Engine, id string, count int, streamed bool) (got string, resumed int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	resp, err := e.Do(ctx, completion(id, "prompt", count, streamed))
	if err == nil && resp.Status != 200 {
		_ = resp.Body.Close()
		return "", 0, fmt.Errorf("status %d", resp.Status)
	}
	if err == nil {
		got, err = readAllText(resp)
	}
	var truncated *target.TruncatedError
	var sendErr *target.SendError
	offset := int64(0)
	switch {
	case errors.As(err, &sendErr) && !sendErr.Sent:
		return got, 0, fmt.Errorf("%w: %w", errNotSent, err)
	case !streamed || err == nil:
		return got, 0, err
	case errors.As(err, &truncated):
		offset = truncated.Offset
	case !errors.As(err, &sendErr) || sendErr.Reason != target.ReasonFirstByte:
		return got, 0, err
	}
	resp, err = e.Resume(ctx, id, offset)
	if err != nil {
		return got, 1, err
	}
	rest, err := readAllText(resp)
	return got + rest, 1, err
}

// readAllText returns the text of a response.
func readAllText(resp *target.Response) (string, error) {
	defer resp.Body.Close()
	if !resp.IsEventStream {
		body, err := target.ReadAll(resp.Body, 1<<20)
		return eventText(body), err
	}
	got, err := readTokens(resp.Body, 1000)
	if err == io.EOF {
		err = nil
	}
	return got, err
}
