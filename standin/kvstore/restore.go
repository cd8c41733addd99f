package kvstore

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// headerEra is the header that holds the era.
const headerEra = "Store-Era"

// backup is a copy of the content of a store.
type backup struct {
	items             map[string]Item
	history           []Item
	compactedRevision int64
	revision          int64
}

// SetEra sets the era that responses hold; 0 means none.
func (s *Store) SetEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Backup copies the content of the store for Restore.
func (s *Store) Backup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = backup{maps.Clone(s.items), slices.Clone(s.history), s.compactedRevision, s.revision}
}

// Restore replaces the content of the store by that of the last Backup. Revisions go back, leases are
// gone with their keys, and the era rises by one.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backup
	s.items, s.history = maps.Clone(b.items), slices.Clone(b.history)
	s.compactedRevision, s.revision = b.compactedRevision, b.revision
	s.era++
	clear(s.leases)
	for key, i := range s.items {
		if i.Lease != 0 {
			s.apply(Item{Key: key, Deleted: true})
		}
	}
}

// setEra adds the era to a response.
func (s *Store) setEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era > 0 {
		w.Header().Set(headerEra, strconv.FormatInt(s.era, 10))
	}
}
