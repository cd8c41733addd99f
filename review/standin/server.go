package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a plain service as PROTOCOL.md describes it. It answers each request after its work.
type server struct {
	id, service, version, zone, address string
	born                                int64
	slots                               int
	work                                time.Duration
	http                                *http.Server
	running                             atomic.Int64
	failShare                           atomic.Int64 // of 100 requests that it runs, how many fail with 500

	mu   sync.Mutex
	runs []run
}

// run is one request that a server ran.
type run struct {
	id     string
	at     time.Time
	status int
}

func startServer(id, service, version, zone string, slots int, work time.Duration) *server {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	s := &server{id: id, service: service, version: version, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), slots: slots, work: work}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	return s
}

// entry is the server's entry in the store.
func (s *server) entry(state string) map[string]any {
	return map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots,
		"state": state, "coldLeftMs": 0, "sequence": 1, "born": s.born}
}

func (s *server) stop() { _ = s.http.Close() }

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	h := w.Header()
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(421)
		return
	}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", running, s.slots))
	if int(running) > 3*s.slots {
		h.Set("Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	status := 200
	if rand.Int64N(100) < s.failShare.Load() {
		status = 500
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{id, time.Now(), status})
	s.mu.Unlock()
	time.Sleep(s.work)
	h.Set("Server-Stamp", s.id+"."+id)
	w.WriteHeader(status)
	fmt.Fprintf(w, "%s by %s\n", id, s.id)
}

func (s *server) runsSince(t time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.at.After(t) {
			n++
		}
	}
	return n
}
