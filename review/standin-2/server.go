package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a server has begun to work on.
type run struct {
	id, method, uri string
	at              time.Time
	host            string // address of the host that sent it
	whole           bool
}

// server is a stand-in of a plain server of one service.
type server struct {
	id, address, service string
	born                 int64
	work                 time.Duration
	http                 *http.Server

	mu      sync.Mutex
	leaving bool
	runs    []run
}

func startServer(id, address, service string, work time.Duration) (*server, error) {
	s := &server{id: id, address: address, service: service, born: time.Now().UnixMilli(), work: work}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	return s, nil
}

// entry is the server's entry in the store.
func (s *server) entry(zone, state string) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": zone, "version": "1", "slots": 6, "state": state,
		"coldLeftMs": 0, "sequence": 0, "born": s.born,
	}
}

// leave makes the server say in its answers that it leaves.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	s.mu.Lock()
	if s.leaving {
		h.Set("Server-Leaving", "1")
	}
	s.mu.Unlock()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		h.Set("Instance-Id", s.id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	io.Copy(io.Discard, r.Body)
	at := time.Now()
	s.mu.Lock()
	i := len(s.runs)
	s.runs = append(s.runs, run{id: r.Header.Get("Request-Id"), method: r.Method, uri: r.RequestURI, at: at, host: r.RemoteAddr})
	s.mu.Unlock()
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	h.Set("Server-Stamp", fmt.Sprintf("%s.%s", s.id, r.Header.Get("Request-Id")))
	h.Set("Server-Load", "1,0,6")
	body := "answer to " + r.Header.Get("Request-Id")
	h.Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(http.StatusOK)
	io.WriteString(w, body)
	s.mu.Lock()
	s.runs[i].whole = true
	s.mu.Unlock()
}

// exit ends the server as its process would: connections are closed.
func (s *server) exit() { s.http.Close() }

// Runs returns the runs so far.
func (s *server) Runs() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}
