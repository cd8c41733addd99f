package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store as the protocol encodes it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev,omitempty"`
	Lease     int64  `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// content is what the store holds and what a copy of it contains.
type content struct {
	items    map[string]item
	events   []item
	revision int64
}

func (c content) clone() content {
	return content{items: maps.Clone(c.items), events: append([]item(nil), c.events...), revision: c.revision}
}

// store is a stand-in of the platform's metadata store. It supports keys, ranges, watches and
// transactions, and a restore from an older copy.
type store struct {
	mu       sync.Mutex
	now      content
	copied   content
	firstRev int64 // watches from an earlier revision get 410
	era      int64
	down     bool
	wake     chan struct{}
	server   *http.Server
	address  string
}

func startStore(address string) (*store, error) {
	s := &store{now: content{items: map[string]item{}, revision: 1}, era: 1, wake: make(chan struct{}), address: address}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.txn)
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down, era := s.down, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go s.server.Serve(l)
	return s, nil
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.now.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, it)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items := []item{}
	for k, it := range s.now.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			items = append(items, it)
		}
	}
	asOf := s.now.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for last := wait <= 0; ; {
		s.mu.Lock()
		gone := after < s.firstRev || after > s.now.revision
		events := []item{}
		for _, e := range s.now.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf, wake := s.now.revision, s.wake
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if last || len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-wake:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRev []struct {
			Key      string
			Revision int64
		}
		Puts    []item
		Deletes []string
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.ExpectedRev {
		if s.now.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
			return
		}
	}
	for _, p := range in.Puts {
		s.put(p.Key, p.Value)
	}
	for _, k := range in.Deletes {
		s.remove(k)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.now.revision})
}

// put and remove change a key. The caller holds the lock.
func (s *store) put(key string, value []byte) {
	s.now.revision++
	it := item{Key: key, Value: value, Revision: s.now.revision, CreateRev: s.now.revision}
	if old, ok := s.now.items[key]; ok {
		it.CreateRev = old.CreateRev
	}
	s.now.items[key] = it
	s.event(it)
}

func (s *store) remove(key string) {
	if _, ok := s.now.items[key]; !ok {
		return
	}
	s.now.revision++
	delete(s.now.items, key)
	s.event(item{Key: key, Revision: s.now.revision, Deleted: true})
}

func (s *store) event(it item) {
	s.now.events = append(s.now.events, it)
	close(s.wake)
	s.wake = make(chan struct{})
}

// Put and Remove write as the operator or a server does.
func (s *store) Put(key string, value any) {
	b, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, b)
}

func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Copy keeps a copy of the present content.
func (s *store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = s.now.clone()
}

// GoDown makes the store answer 503, and ComeBack makes it answer again from the copy.
func (s *store) GoDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
}

func (s *store) ComeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now, s.down = s.copied.clone(), false
	s.era++
	close(s.wake)
	s.wake = make(chan struct{})
}
