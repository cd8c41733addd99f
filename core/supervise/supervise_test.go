package supervise_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	"sardinefront.dev/core/supervise"
)

// Guards against a panic that ends a background loop or the process.
func TestLoopRunsAgainAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		runs := 0
		supervise.Loop(t.Context(), slog.New(slog.NewTextHandler(&log, nil)), "messages", func(context.Context) {
			if runs++; runs < 3 {
				panic("malformed")
			}
		})
		if runs != 3 {
			t.Errorf("%d runs, want 3", runs)
		}
		if n := strings.Count(log.String(), "loop=messages panic=malformed"); n != 2 || !strings.Contains(log.String(), "supervise_test.go") {
			t.Errorf("log: %s", log.String())
		}
	})
}

// Guards against a loop that keeps panicking and runs on after its context has ended.
func TestLoopEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		runs := 0
		supervise.Loop(ctx, slog.New(slog.DiscardHandler), "messages", func(context.Context) {
			if runs++; runs == 2 {
				cancel()
			}
			panic("malformed")
		})
		if runs != 2 {
			t.Errorf("%d runs, want 2", runs)
		}
	})
}
