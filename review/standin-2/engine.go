package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	eventInterval = 50 * time.Millisecond
	engineRestart = 2 * time.Second // time from a crash to the next start
)

// engine is a stand-in of a server of streams. A request whose prompt has the part badPart crashes it
// once it has begun to write the answer, after the head and badEvents events. It is back after some
// seconds.
type engine struct {
	id, address, badPart string
	events, badEvents    int
	onStart              func(e *engine) // writes the entry
	logf                 func(format string, args ...any)

	mu      sync.Mutex
	server  *http.Server
	born    int64
	bad     []run // requests with the part
	crashes []time.Time
}

func (e *engine) start() error {
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	s := &http.Server{}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(s, w, r) })
	e.mu.Lock()
	e.server, e.born = s, time.Now().UnixMilli()
	e.mu.Unlock()
	go s.Serve(l)
	e.onStart(e)
	return nil
}

func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": "llm", "address": e.address, "zone": "a", "version": "1", "slots": 4, "state": "ready", "coldLeftMs": 0, "sequence": 0, "born": e.born,
	}
}

// crash ends the process of the server: it listens no more, and its connections are closed.
func (e *engine) crash(s *http.Server) {
	e.mu.Lock()
	if e.server != s {
		e.mu.Unlock()
		return
	}
	e.server = nil
	e.crashes = append(e.crashes, time.Now())
	e.mu.Unlock()
	e.logf("server %s crashes", e.id)
	s.Close()
	time.AfterFunc(engineRestart, func() {
		if err := e.start(); err != nil {
			e.logf("server %s can't start again: %v", e.id, err)
			return
		}
		e.logf("server %s is back", e.id)
	})
}

func (e *engine) serve(s *http.Server, w http.ResponseWriter, r *http.Request) {
	id, h := r.Header.Get("Request-Id"), w.Header()
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	bad := false
	for part := range strings.SplitSeq(r.Header.Get("Prompt-Prefix"), ",") {
		bad = bad || strings.HasPrefix(part, e.badPart+":")
	}
	if bad {
		e.mu.Lock()
		e.bad = append(e.bad, run{id: id, at: time.Now()})
		e.mu.Unlock()
	}
	h.Set("Server-Stamp", e.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	if flush() != nil {
		return
	}
	for n := 1; n <= e.events; n++ {
		if bad && n > e.badEvents {
			time.Sleep(20 * time.Millisecond) // what was written is on its way
			e.crash(s)
			return
		}
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id)
		if flush() != nil {
			return
		}
	}
}
