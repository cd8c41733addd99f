package pace

import "time"

const (
	// settlingTime is the time from the first observation until the number of hosts is known. A
	// host that has just started hears of the others within it.
	settlingTime = 2 * time.Second
	// membershipMemory is how long a larger number of hosts counts. A partition may last as long.
	membershipMemory = time.Minute
)

// Membership is the number of hosts that may send requests, as of the last minute. It doesn't shrink
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
