// Package kvstore is a stand-in for the platform's key-value service, for tests. It
// keeps items in memory, and misbehaves on request: down, slow, losing answers,
// forgetting its history.
package kvstore

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key with its value; Deleted marks a removal in the history.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Faults says how the store misbehaves. The zero value is healthy.
type Faults struct {
	// Down answers 503: nothing was done.
	Unavailable bool
	// Silent gives no answer and does nothing.
	NoResponse bool
	// LoseAnswers does the next writes and closes their connections unanswered.
	LoseResponses int
	// Delay is added to every answer.
	Delay time.Duration
}

// Page is the number of items in one answer to a range.
const PageSize = 50

// Store is a running stand-in. Its methods are safe for concurrent use.
type Store struct {
	server   *http.Server
	listener net.Listener

	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	forgot   int64 // changes up to this revision are no longer kept
	revision int64
	leases   map[int64]time.Time
	faults   Faults
	calls    map[string]int
	changed  chan struct{}
}

// Start serves on a loopback port.
func Start() (*Store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, items: map[string]Item{}, leases: map[int64]time.Time{}, calls: map[string]int{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.txn)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	s.server = &http.Server{Handler: s.misbehave(mux)}
	go func() { _ = s.server.Serve(l) }() // ends with Close
	return s, nil
}

// Address is host:port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close ends the stand-in and its connections.
func (s *Store) Close() { _ = s.server.Close() }

// SetFaults changes how the store misbehaves.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns how often a path was called.
func (s *Store) CallCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes a key as the operator or a server does.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(Item{Key: key, Value: value})
}

// Remove deletes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Item{Key: key, Deleted: true})
}

// Value returns the value of a key, nil if it does not exist.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Forget drops the history.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgot = nil, s.revision
}

func (s *Store) write(i Item) int64 {
	s.revision++
	i.Revision = s.revision
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return i.Revision
}

// misbehave applies the faults around a handler.
func (s *Store) misbehave(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.calls[r.URL.Path]++
		write := r.Method != http.MethodGet
		if write && f.LoseResponses > 0 {
			s.faults.LoseResponses--
		}
		s.expireLeases(time.Now())
		s.mu.Unlock()
		time.Sleep(f.Delay)
		switch {
		case f.NoResponse:
			<-r.Context().Done()
		case f.Unavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case write && f.LoseResponses > 0:
			next.ServeHTTP(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// discard is a ResponseWriter whose answer is lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func (s *Store) expireLeases(now time.Time) {
	for id, until := range s.leases {
		if now.After(until) {
			s.dropLease(id)
		}
	}
}

func (s *Store) dropLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(Item{Key: key, Deleted: true})
		}
	}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller sees a cut answer
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, i)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > PageSize
	if more {
		keys = keys[:PageSize]
	}
	items := make([]Item, 0, len(keys))
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	answer(w, map[string]any{"items": items, "hasMore": more, "asOf": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, asOf, gone, changed := s.since(q.Get("prefix"), after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, map[string]any{"events": []Item{}, "asOf": asOf})
			return
		}
	}
}

func (s *Store) since(prefix string, after int64) (events []Item, asOf int64, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, after < s.forgot, s.changed
}

type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expectedRev"`
	Puts    []Item   `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var in txn
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.Expected {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			answer(w, map[string]any{"items": []Item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range in.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range in.Puts {
		s.write(Item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range in.Deletes {
		s.write(Item{Key: key, Deleted: true})
	}
	answer(w, map[string]any{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = time.Now().Add(time.Duration(in.TTLMs) * time.Millisecond)
	answer(w, map[string]any{"lease": s.revision, "ttlMs": in.TTLMs})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = until.Add(time.Second)
	answer(w, map[string]any{"ttlMs": 1000})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.dropLease(id)
	answer(w, map[string]any{})
}
