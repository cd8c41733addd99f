package gateway

import (
	"log/slog"
	"testing"
	"time"

	"sardinefront.dev/gateway/checkpoint"
)

// Guards against a host that never writes a checkpoint again, because the store has lost the one whose
// revision it remembers.
func TestCheckpointIsWrittenAgainAfterItsLoss(t *testing.T) {
	store := &conflictingStore{conflicts: 1}
	g := &Gateway{cfg: Config{Records: store, Log: slog.New(slog.DiscardHandler)}}
	r := checkpoint.New(nil, nil, time.Now())
	revision := g.writeCheckpoint(t.Context(), r, 40)
	if revision != 0 {
		t.Errorf("revision %d of a lost checkpoint", revision)
	}
	if g.writeCheckpoint(t.Context(), r, revision); len(store.value) == 0 {
		t.Error("no checkpoint written")
	}
}
