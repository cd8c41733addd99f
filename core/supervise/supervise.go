// Package supervise keeps the background loops of a process running after a panic.
package supervise

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/wait"
)

// restartDelay is the pause before a loop that panicked runs again. It bounds the log lines
// of a loop that panics each time.
const restartDelay = 200 * time.Millisecond

// Loop runs f until it returns or ctx ends. If f panics, Loop logs the panic with its stack
// and runs f again, so that one malformed message or unexpected error does not end the
// process or, silently, the loop. Locks that f holds must be released by defer.
func Loop(ctx context.Context, log *slog.Logger, name string, f func(context.Context)) {
	for runRecovered(ctx, log, name, f) {
		if !wait.Sleep(ctx, restartDelay) {
			return
		}
	}
}

// runRecovered runs f once and reports whether it panicked.
func runRecovered(ctx context.Context, log *slog.Logger, name string, f func(context.Context)) (panicked bool) {
	defer Recover(log, name)
	panicked = true // unless f returns
	f(ctx)
	return false
}

// Recover ends a panic of the calling function and logs it with its stack. It must be called
// by defer, after the locks that the function holds are released.
func Recover(log *slog.Logger, name string) {
	if p := recover(); p != nil {
		event.LoopPanicked.Log(log, slog.String("loop", name), slog.String("panic", fmt.Sprint(p)), slog.String("stack", string(debug.Stack())))
	}
}
