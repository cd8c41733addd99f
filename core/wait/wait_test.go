package wait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"sardinefront.dev/core/wait"
)

// Guards against a wait that outlives its context, or that reports an ended context as a full wait.
func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		for _, s := range []struct {
			d     time.Duration
			ok    bool
			after time.Duration
		}{{0, true, 0}, {-time.Second, true, 0}, {time.Second, true, time.Second}, {5 * time.Second, false, 3 * time.Second}, {0, false, 3 * time.Second}} {
			if ok := wait.Sleep(ctx, s.d); ok != s.ok || time.Since(began) != s.after {
				t.Errorf("Sleep(%s) returned %t after %s in all, want %t after %s", s.d, ok, time.Since(began), s.ok, s.after)
			}
		}
	})
}

// Guards against a loop that goes on after its context, and against one that catches up on the ticks
// of a slow step.
func TestEveryDropsTicksOfASlowStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 9500*time.Millisecond)
		defer cancel()
		steps := 0
		wait.Every(ctx, time.Second, func(time.Time) {
			if steps++; steps == 1 {
				time.Sleep(4500 * time.Millisecond) // until 5.5 s
			}
		})
		if steps != 6 { // at 1, 5.5, 6, 7, 8 and 9 s
			t.Errorf("%d steps", steps)
		}
	})
}
