package host

import (
	"sync"

	"sardinefront.dev/journal/claim"
)

// keySet is a set of requests, safe for concurrent use.
type keySet struct {
	mu   sync.Mutex
	keys map[claim.Key]struct{}
}

func newKeySet() *keySet { return &keySet{keys: make(map[claim.Key]struct{})} }

// add adds the key and reports whether it was absent.
func (s *keySet) add(k claim.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.keys[k]; ok {
		return false
	}
	s.keys[k] = struct{}{}
	return true
}

func (s *keySet) remove(k claim.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.keys, k)
}
