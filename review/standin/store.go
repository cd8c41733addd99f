package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or the removal of one in the history.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"createRev,omitempty"`
	Lease     int64  `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store as PROTOCOL.md describes it, without leases. Each
// host has a listener of its own, so that the store can be slow or refuse calls for some hosts.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	// lost reports whether the answer to a write of a host is lost after it was done.
	lost    func(host, key string, value []byte) bool
	onWrite func(key string, value []byte)
	log     *recorder
}

func newStore(log *recorder) *store {
	return &store{items: map[string]item{}, log: log, revision: 100}
}

// serve starts a listener for the calls of one host and returns its address.
func (s *store) serve(host string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(host, w, r) }))
	return l.Addr().String()
}

// put writes a key, as the operator or a server does.
func (s *store) put(key string, value any) int64 {
	b, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(key, b)
}

func (s *store) write(key string, value []byte) int64 {
	s.revision++
	old, exists := s.items[key]
	it := item{Key: key, Value: value, Revision: s.revision, CreateRev: s.revision}
	if exists {
		it.CreateRev = old.CreateRev
	}
	s.items[key] = it
	s.history = append(s.history, it)
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it, ok
}

// handle executes a call. If its answer is lost, the channel returns nothing further.
func (s *store) handle(host string, w http.ResponseWriter, r *http.Request) {
	status, out, lost := s.execute(host, r)
	if lost {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

type empty struct{}

func (s *store) execute(host string, r *http.Request) (status int, out any, lost bool) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.URL.Path {
	case "/-/kv-key":
		it, ok := s.items[q.Get("key")]
		if !ok {
			return 404, empty{}, false
		}
		return 200, struct {
			item
			AsOf int64 `json:"asOf"`
		}{it, s.revision}, false
	case "/-/kv-range":
		items := []item{}
		for k, it := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				items = append(items, it)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		return 200, map[string]any{"items": items, "hasMore": false, "asOf": s.revision}, false
	case "/-/kv-watch":
		status, out = s.watch(q.Get("prefix"), q.Get("after"), q.Get("waitMs"))
		return status, out, false
	case "/-/kv-txn":
		return s.txn(host, r)
	}
	return 404, empty{}, false
}

// watch returns the events after a revision. It waits with the lock released.
func (s *store) watch(prefix, after, waitMs string) (int, any) {
	from, _ := strconv.ParseInt(after, 10, 64)
	ms, _ := strconv.Atoi(waitMs)
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for {
		events := []item{}
		for _, it := range s.history {
			if it.Revision > from && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		if len(events) > 0 || !time.Now().Before(end) {
			return 200, map[string]any{"events": events, "asOf": s.revision}
		}
		s.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		s.mu.Lock()
	}
}

func (s *store) txn(host string, r *http.Request) (status int, out any, lost bool) {
	var in struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expectedRev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return 400, empty{}, false
	}
	current := []item{}
	held := true
	for _, e := range in.ExpectedRev {
		it := s.items[e.Key]
		if it.Revision != 0 {
			current = append(current, it)
		}
		held = held && it.Revision == e.Revision
	}
	if !held {
		s.log.logf("store: write of %s to %s refused: changed meanwhile", host, in.Puts[0].Key)
		return 412, map[string]any{"items": current}, false
	}
	rev := s.revision
	for _, p := range in.Puts {
		rev = s.write(p.Key, p.Value)
		if !strings.HasPrefix(p.Key, "checkpoint") {
			s.log.logf("store: %s writes %s = %s (revision %d)", host, p.Key, p.Value, rev)
		}
		if s.lost != nil && s.lost(host, p.Key, p.Value) {
			lost = true
			s.log.logf("trouble: the answer to this write is lost")
		}
		if s.onWrite != nil {
			go s.onWrite(p.Key, p.Value)
		}
	}
	return 200, map[string]any{"revision": rev}, lost
}
