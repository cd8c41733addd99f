package gateway_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"
)

// endlessStart is less than the largest event, so that all connections hold one at the same time.
var endlessStart = bytes.Repeat([]byte("x"), 1<<20-1<<10)

// writeEndlessly writes until the host closes the connection: endlessStart at once, then slowly.
func writeEndlessly(c net.Conn) {
	for chunk := endlessStart; ; chunk = endlessStart[:1] {
		if _, err := c.Write(chunk); err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// peakHeap returns the largest growth of the live heap, in bytes, while work runs. Garbage does not
// count, since its size depends on the load of the machine.
func peakHeap(work func()) int64 {
	liveBytes := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := liveBytes()
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	for peak := before; ; {
		select {
		case <-done:
			return peak - before
		case <-time.After(20 * time.Millisecond):
			peak = max(peak, liveBytes())
		}
	}
}

// Guards against faulty targets that send an event without an end on many connections at once: each
// event is bounded, but together they took the memory of the process, which ended with the requests
// of all other callers.
func TestEndlessEventsShareABoundedMemory(t *testing.T) {
	const targets, callers = 30, 120
	const limit = 64 << 20 // bytes of the live heap, a third of the memory of a small host
	fx := newFixture(t)
	fx.addRawServer(plainName, "i-plain", func(c net.Conn, r *http.Request) bool {
		writeHead(c, r, "Content-Length: 2")
		fmt.Fprint(c, "ok")
		return true
	})
	for i := range targets {
		fx.addRawServer(engineName, fmt.Sprintf("i-raw%d", i), func(c net.Conn, r *http.Request) bool {
			writeHead(c, r, "Content-Type: text/event-stream")
			fmt.Fprint(c, "id: 1\ndata: ")
			writeEndlessly(c)
			return false
		})
	}
	fx.startHost()
	var connections []*caller
	for range callers {
		c := fx.dial()
		connections = append(connections, c)
	}
	grown := peakHeap(func() {
		var wg sync.WaitGroup
		for _, c := range connections {
			fx.send(c, "POST", pathStream, "prompt")
			wg.Go(func() {
				if resp := fx.read(c); resp.err == nil && resp.status == http.StatusOK {
					t.Errorf("an event without an end was taken for a response: %d bytes", len(resp.body))
				}
			})
		}
		wg.Wait()
	})
	if grown > limit {
		t.Errorf("the heap grew by %d bytes, at most %d are allowed", grown, limit)
	}
	t.Logf("the heap grew by %d bytes", grown)
	if resp := fx.call("GET", pathIdempotent, ""); resp.status != http.StatusOK {
		t.Errorf("status %d for another caller", resp.status)
	}
}
