package logs_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/logs"
)

// Guards against a log volume that grows with the load, and against failure lines that are
// dropped while lines about normal operation are written.
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

// blockedWriter is a writer whose Write never returns.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// Guards against requests that block because the log output does not accept writes.
func TestWriteNeverBlocks(t *testing.T) {
	s := logs.NewSink(blockedWriter{})
	go s.Flush()
	for range 1000 {
		if _, err := io.WriteString(s, strings.Repeat("x", 1024)); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against writing lines below the configured level, and against a level that
// suppresses errors.
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

// slowWriter is an output that records the lines.
type slowWriter struct {
	mu    sync.Mutex
	lines []string
}

func (w *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(100 * time.Microsecond) // the buffer must not change meanwhile
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, strings.Split(strings.TrimSuffix(string(p), "\n"), "\n")...)
	return len(p), nil
}

// Guards against concurrent calls of Flush that share a buffer: lines were garbled, lost or
// written twice at the end of a process.
func TestConcurrentFlushesKeepLinesWhole(t *testing.T) {
	const lines, flushers = 3000, 4
	var out slowWriter
	sink := logs.NewSink(&out)
	var wg sync.WaitGroup
	done := make(chan struct{})
	for range flushers {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					sink.Flush()
				}
			}
		})
	}
	for i := range lines {
		fmt.Fprintf(sink, "line %06d\n", i)
		if i%50 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	close(done)
	wg.Wait()
	sink.Flush()
	for i, line := range out.lines {
		if line != fmt.Sprintf("line %06d", i) {
			t.Fatalf("line %d is %q", i, line)
		}
	}
	if len(out.lines) != lines {
		t.Errorf("%d lines of %d", len(out.lines), lines)
	}
}
