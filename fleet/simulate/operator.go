package simulate

import (
	"context"
	"iter"
	"time"

	"sardinefront.dev/fleet/config"
)

// RunPublisher runs f as the process of an operator, concurrently with the fleet. Each
// call of the store and each Sleep takes virtual time, so that several operators
// interleave at every call.
func (w *World) RunPublisher(f func(ctx context.Context, p *config.Publisher)) {
	steps := iter.Seq[time.Duration](func(yield func(time.Duration) bool) {
		kv := &operatorKV{store: w.Store, wait: yield}
		f(context.Background(), &config.Publisher{
			KV:           kv,
			Now:          func() time.Time { return w.Now },
			NewPushToken: w.rnd.Uint64,
			Sleep:        func(_ context.Context, d time.Duration) bool { return yield(d) },
		})
	})
	next, stop := iter.Pull(steps)
	var step func()
	step = func() {
		d, ok := next()
		if !ok {
			stop()
			return
		}
		w.Schedule(d, step)
	}
	w.Schedule(0, step)
}
