package logs_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/logs"
)

// Guards against a log that grows with the load, and against failures that are left
// out in favour of what went well.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := logs.NewSink(&out)
		log := slog.New(logs.NewHandler(s))
		for range 10000 {
			event.RequestAnswered.Log(log)
		}
		for range 100 {
			event.RequestRefused.Log(log)
		}
		s.Flush()
		answered, refused := strings.Count(out.String(), event.RequestAnswered.Name), strings.Count(out.String(), event.RequestRefused.Name)
		if answered == 0 || answered > 100 || refused != 100 {
			t.Errorf("%d answered and %d refused lines", answered, refused)
		}
	})
}

// stuck is a writer that never returns.
type stuck struct{}

func (stuck) Write([]byte) (int, error) { select {} }

// Guards against a request that waits for the output of the log.
func TestWriteNeverBlocks(t *testing.T) {
	s := logs.NewSink(stuck{})
	go s.Flush()
	for range 1000 {
		if _, err := io.WriteString(s, strings.Repeat("x", 1024)); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against lines below the level that is set, and against a level that holds
// errors back.
func TestLevel(t *testing.T) {
	var out bytes.Buffer
	sink := logs.NewSink(&out)
	h := logs.NewHandler(sink)
	log := slog.New(h)
	h.SetLevel(slog.LevelError)
	event.Started.Log(log)
	event.ShutdownForced.Log(log)
	sink.Flush()
	if got := out.String(); strings.Contains(got, event.Started.Name) || !strings.Contains(got, event.ShutdownForced.Name) {
		t.Errorf("lines at level error:\n%s", got)
	}
}
