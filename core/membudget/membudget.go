// Package membudget bounds the memory that the buffers of many requests hold together. Each buffer
// may hold some bytes of its own; what exceeds them comes from a budget that all of them share.
package membudget

import "golang.org/x/sync/semaphore"

// Budget is shared by buffers. A nil Budget has no limit. It is safe for concurrent use.
type Budget struct {
	shared *semaphore.Weighted
	own    int
}

// New returns a budget of shared bytes for what exceeds own bytes in each buffer.
func New(shared, own int) *Budget {
	return &Budget{shared: semaphore.NewWeighted(int64(shared)), own: own}
}

// Usage is the part of a budget that one buffer holds. The zero value holds nothing. It must not be
// used concurrently.
type Usage struct{ taken int64 }

// Resize records that the buffer now holds size bytes. It returns false, and changes nothing, if the
// budget has too few bytes left.
func (b *Budget) Resize(u *Usage, size int) bool {
	if b == nil {
		return true
	}
	wanted := int64(max(0, size-b.own))
	if wanted > u.taken && !b.shared.TryAcquire(wanted-u.taken) {
		return false
	}
	if wanted < u.taken {
		b.shared.Release(u.taken - wanted)
	}
	u.taken = wanted
	return true
}
