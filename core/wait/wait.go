// Package wait contains waits and periodic loops that end with a context.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if ctx has ended before.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls step after each period until ctx ends, with the time of the tick. Ticks that come
// while step runs are dropped but for one.
func Every(ctx context.Context, period time.Duration, step func(now time.Time)) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			step(now)
		}
	}
}
