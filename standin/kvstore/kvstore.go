// Package kvstore simulates the platform's key-value service for clients of package
// platform/store. It keeps items in memory and injects faults on request: it can be
// unavailable or slow, lose responses and compact its history.
package kvstore

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key with its value. In the history, Deleted marks a deletion.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Faults holds the injected faults. The zero value injects none.
type Faults struct {
	// Unavailable responds with 503 without executing the request.
	Unavailable bool
	// NoResponse neither executes the request nor responds to it.
	NoResponse bool
	// LoseResponses is the number of following writes that are executed and whose
	// connections are closed without a response.
	LoseResponses int
	// Delay is added to every request.
	Delay time.Duration
}

// The limits of one response to a range request: the number of items, and the bytes of their
// values. A page has at least one item.
const (
	PageSize     = 50
	maxPageBytes = 1 << 20
)

// Store is a running stand-in. Its methods are safe for concurrent use.
type Store struct {
	server   *http.Server
	listener net.Listener

	mu                sync.Mutex
	items             map[string]Item
	history           []Item
	compactedRevision int64 // changes up to this revision are no longer kept
	revision          int64
	leases            map[int64]time.Time
	faults            Faults
	callCounts        map[string]int
	changed           chan struct{}
	// era is sent with each response unless it is 0.
	era int64
	// backup is the copy from which Restore brings the store back.
	backup backup
}

// Start listens on a free loopback port and serves in the background until Close.
func Start() (*Store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, items: map[string]Item{}, leases: map[int64]time.Time{}, callCounts: map[string]int{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.getKey)
	mux.HandleFunc("GET /-/kv-range", s.listRange)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.commit)
	mux.HandleFunc("POST /-/kv-lease", s.grantLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keepLeaseAlive)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.revokeLease)
	s.server = &http.Server{Handler: s.injectFaults(mux)}
	go func() { _ = s.server.Serve(l) }() // Serve returns an error after Close
	return s, nil
}

// Address returns the address (host:port) that the store listens on.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all connections.
func (s *Store) Close() { _ = s.server.Close() }

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// CallCount returns the number of requests for a path, failed ones included.
func (s *Store) CallCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[path]
}

// Put writes a key without a lease, as the operator or a target does, and returns the
// new revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(Item{Key: key, Value: value})
}

// Delete deletes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(Item{Key: key, Deleted: true})
}

// Value returns the value of a key, nil if it does not exist.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// CompactHistory drops the history. Watches from an earlier revision get status 410.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
}

// apply writes or deletes an item, wakes the watches and returns the new revision. The
// caller holds the lock.
func (s *Store) apply(item Item) int64 {
	s.revision++
	item.Revision = s.revision
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
	return item.Revision
}

// injectFaults wraps a handler with the injected faults.
func (s *Store) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.callCounts[r.URL.Path]++
		write := r.Method != http.MethodGet
		if write && f.LoseResponses > 0 {
			s.faults.LoseResponses--
		}
		s.expireLeases(time.Now())
		s.mu.Unlock()
		s.setEra(w)
		time.Sleep(f.Delay)
		switch {
		case f.NoResponse:
			<-r.Context().Done()
		case f.Unavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case write && f.LoseResponses > 0:
			next.ServeHTTP(discardWriter{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

func (s *Store) expireLeases(now time.Time) {
	for id, expiresAt := range s.leases {
		if now.After(expiresAt) {
			s.deleteLease(id)
		}
	}
}

func (s *Store) deleteLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.apply(Item{Key: key, Deleted: true})
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // on an error the client gets a truncated response
}

// writeList writes a response whose field holds a list of items. Each item is sent once it is encoded,
// as the encoding of a long list may take longer than a client waits for a byte.
func writeList(w http.ResponseWriter, field string, items []Item, hasMore bool, asOf int64) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"hasMore":%t,"asOf":%d,%q:[`, hasMore, asOf, field)
	for n, i := range items {
		if n > 0 {
			_, _ = io.WriteString(w, ",")
		}
		if json.NewEncoder(w).Encode(i) != nil {
			return // the client gets a truncated response
		}
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = io.WriteString(w, "]}")
}

func (s *Store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, i)
}

func (s *Store) listRange(w http.ResponseWriter, r *http.Request) {
	items, hasMore, asOf := s.page(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	writeList(w, "items", items, hasMore, asOf)
}

func (s *Store) page(prefix, after string) (items []Item, hasMore bool, asOf int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	size := 0
	for _, key := range keys {
		size += len(s.items[key].Value)
		if len(items) == PageSize || len(items) > 0 && size > maxPageBytes {
			return items, true, s.revision
		}
		items = append(items, s.items[key])
	}
	return items, false, s.revision
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, asOf, compacted, changed := s.changesSince(q.Get("prefix"), after)
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeList(w, "events", events, false, asOf)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			writeList(w, "events", nil, false, asOf)
			return
		}
	}
}

// changesSince returns the changes after a revision, the current revision, whether
// changes after that revision were compacted, and a channel that is closed on the next
// change.
func (s *Store) changesSince(prefix string, after int64) (events []Item, asOf int64, compacted bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, after < s.compactedRevision || after > s.revision, s.changed
}

type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expectedRev"`
	Puts    []Item   `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var in transaction
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.Expected {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			writeJSON(w, map[string]any{"items": []Item{s.items[e.Key]}})
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
		s.apply(Item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range in.Deletes {
		s.apply(Item{Key: key, Deleted: true})
	}
	writeJSON(w, map[string]any{"revision": s.revision})
}

func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
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
	writeJSON(w, map[string]any{"lease": s.revision, "ttlMs": in.TTLMs})
}

func (s *Store) keepLeaseAlive(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	expiresAt, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = expiresAt.Add(time.Second)
	writeJSON(w, map[string]any{"ttlMs": 1000})
}

func (s *Store) revokeLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.deleteLease(id)
	writeJSON(w, map[string]any{})
}
