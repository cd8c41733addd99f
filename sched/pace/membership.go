package pace

import "time"

const (
	// settlingTime is the time from the first observation until the number of hosts is known. A
	// host that has just started hears of the others within it.
	settlingTime = 2 * time.Second
	// membershipMemory is how long the largest number of hosts counts after it was last reached, so
	// that hosts behind a partition still count.
	membershipMemory = time.Minute
)

// Membership is the largest recent number of hosts that may send requests. It doesn't shrink
// when peers fall silent: they may be cut off and go on. The zero value has observed nothing.
type Membership struct {
	first   time.Time
	hosts   int
	reached time.Time // when hosts was last reached
}

// Observe records the number of hosts known now and returns the number to use, 0 while it is unknown.
func (m *Membership) Observe(hosts int, now time.Time) int {
	if m.first.IsZero() {
		m.first = now
	}
	if hosts >= m.hosts || now.Sub(m.reached) > membershipMemory {
		m.hosts, m.reached = hosts, now
	}
	if now.Sub(m.first) < settlingTime {
		return 0
	}
	return m.hosts
}
