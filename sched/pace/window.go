package pace

import "time"

const (
	// slowFactor is the multiple of the usual wait for a first byte from which a response counts as
	// slow. Single waits differ by more than a factor of two because prompts differ in length.
	slowFactor = 3
	// probeInterval, times the number of hosts, is the time without a request from this host after
	// which a paced target should get one. The hosts together send it one per probeInterval.
	probeInterval = 50 * time.Millisecond
)

// Window limits the requests that one host has in flight at a target that has just started or
// recovered. It grows and shrinks with the target's responses to this host. The zero value is no
// limit.
type Window struct {
	size      float64 // requests in flight, 0 for no limit
	grantedAt time.Time
}

// Start limits the target to one request at a time.
func (w *Window) Start() { w.size = 1 }

// Active reports whether the target is limited.
func (w *Window) Active() bool { return w.size > 0 }

// Allows reports whether a host with the given number of requests in flight may grant another one.
func (w *Window) Allows(inflight int) bool { return w.size == 0 || inflight < int(w.size) }

// RecordGrant records that the target was granted a request.
func (w *Window) RecordGrant(now time.Time) { w.grantedAt = now }

// Idle reports whether the target should get a request because it has not got one from this host
// for some time.
func (w *Window) Idle(hosts int, now time.Time) bool {
	return w.Active() && now.Sub(w.grantedAt) >= time.Duration(max(1, hosts))*probeInterval
}

// RecordFirstByte records a response by its wait for the first byte and the usual one, 0 if that is
// unknown. The window ends when it has reached the target's slots.
func (w *Window) RecordFirstByte(wait, usual time.Duration, slots int) {
	if usual > 0 && wait > slowFactor*usual {
		w.Shrink()
		return
	}
	if w.size++; w.size >= float64(max(2, slots)) {
		w.size = 0
	}
}

// Shrink halves the window after a slow, refused or failed request.
func (w *Window) Shrink() {
	if w.Active() {
		w.size = max(1, w.size/2)
	}
}
