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

// Guards against a second run, a wrong proof that nothing was sent, and an answer
// with missing, repeated or foreign tokens, while faults of all kinds overlap.
// Which requests meet which fault depends on timing; the invariants do not.
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
	var next, whole, resumed atomic.Int64
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
				got, again, err := ask(e, id, count, streamed)
				runs := s.RunCounts()[id]
				switch {
				case errors.Is(err, errNotSent) && runs > 0:
					t.Errorf("%s: ran %d times, but %v", id, runs, err)
				case err == nil && got != want:
					t.Errorf("%s: got %q, expected %q", id, got, want)
				case err == nil:
					whole.Add(1)
					resumed.Add(int64(again))
				}
				if runs > 1 {
					t.Errorf("%s: ran %d times", id, runs)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d whole answers of %d, %d of them resumed", whole.Load(), requests, resumed.Load())
	if whole.Load() < requests/2 || resumed.Load() == 0 {
		t.Error("too few whole answers for the invariants to say anything")
	}
}

var errNotSent = errors.New("not sent")

// ask sends a completion and resumes its stream once after a cut or a silent
// connection.
func ask(e *target.Engine, id string, count int, streamed bool) (got string, resumed int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	ans, err := e.Do(ctx, completion(id, "prompt", count, streamed))
	if err == nil && ans.Status != 200 {
		_ = ans.Body.Close()
		return "", 0, fmt.Errorf("status %d", ans.Status)
	}
	if err == nil {
		got, err = collect(ans)
	}
	var cut *target.TruncatedError
	var se *target.SendError
	offset := int64(0)
	switch {
	case errors.As(err, &se) && !se.Sent:
		return got, 0, fmt.Errorf("%w: %w", errNotSent, err)
	case !streamed || err == nil:
		return got, 0, err
	case errors.As(err, &cut):
		offset = cut.Offset
	case !errors.As(err, &se) || se.Reason != target.ReasonFirstByte:
		return got, 0, err
	}
	ans, err = e.Resume(ctx, id, offset)
	if err != nil {
		return got, 1, err
	}
	rest, err := collect(ans)
	return got + rest, 1, err
}

// collect returns the text of a whole answer.
func collect(ans *target.Response) (string, error) {
	defer ans.Body.Close()
	if !ans.IsEventStream {
		body, err := target.ReadAll(ans.Body, 1<<20)
		return eventText(body), err
	}
	got, err := text(ans.Body, 1000)
	if err == io.EOF {
		err = nil
	}
	return got, err
}
