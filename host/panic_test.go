package host

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sardinefront.dev/host/settings"
	"sardinefront.dev/platform"
	"sardinefront.dev/platform/memkv"
)

// panickingList is a list of endpoints whose first reading panics.
type panickingList struct{ reads atomic.Int32 }

func (l *panickingList) ListEndpoints(context.Context) ([]platform.Endpoint, error) {
	if l.reads.Add(1) == 1 {
		panic("list of endpoints")
	}
	return nil, nil
}

// Guards against a panic that ends the reading of the target list without a trace, and the
// process when the host stops.
func TestTargetListIsReadAgainAfterPanic(t *testing.T) {
	var log bytes.Buffer
	list := &panickingList{}
	s := settings.Defaults()
	s.Platform.HostListInterval = 10 * time.Millisecond
	h := New(s, Dependencies{Log: slog.New(slog.NewTextHandler(&log, nil)), Store: memkv.New(time.Now), HostList: list})
	h.runLoop("targets", h.runTargets)
	eventually(t, "the list is read again", func() bool { return list.reads.Load() > 2 })
	h.cancel(nil)
	h.tasks.Wait()
	if !strings.Contains(log.String(), "list of endpoints") {
		t.Errorf("the panic is not logged: %s", log.String())
	}
}
