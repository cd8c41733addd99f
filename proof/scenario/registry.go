package scenario

import (
	"maps"
	"slices"
	"sync"
)

// registry holds the processes of one kind in a scenario by name. It is empty at first and safe for
// concurrent use.
type registry[T any] struct {
	mu  sync.Mutex
	all map[string]T
}

// get returns the process of a name, the zero value if there is none.
func (r *registry[T]) get(name string) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all[name]
}

// add adds a process, or replaces the one of that name.
func (r *registry[T]) add(name string, process T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = make(map[string]T)
	}
	r.all[name] = process
}

// forEach calls f for each process. f may call the registry.
func (r *registry[T]) forEach(f func(process T)) {
	r.mu.Lock()
	all := slices.Collect(maps.Values(r.all))
	r.mu.Unlock()
	for _, process := range all {
		f(process)
	}
}
