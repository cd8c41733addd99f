package ingress

import (
	"testing"
	"time"
)

// Guards against bodies that together exceed the budget, and against stopped bodies that keep others
// out: the one that has been without progress for longest gives way, complete ones never do.
func TestLongestStalledBodyGivesWay(t *testing.T) {
	const maxBody = 100
	start := time.Unix(1000, 0)
	b := newBodyBudget(minBudgetBodies * maxBody)
	bodies := make([]*bodyUsage, minBudgetBodies)
	for i := range bodies {
		u := &bodyUsage{}
		u.setReadDeadline = func(time.Time) error {
			go b.release(u) // as the interrupted reader does
			return nil
		}
		bodies[i] = u
		if !b.grow(u, maxBody, maxBody, start.Add(time.Duration(i)*time.Second)) {
			t.Fatalf("no room for body %d", i)
		}
	}
	b.progress(bodies[0], start.Add(time.Minute))
	b.finish(bodies[1])
	newcomer := &bodyUsage{}
	if !b.grow(newcomer, maxBody, maxBody, start.Add(time.Hour)) {
		t.Error("no body gave way")
	}
	for i, u := range bodies {
		if gaveWay := u.gaveWay; gaveWay != (i == 2) {
			t.Errorf("body %d gave way: %v", i, gaveWay)
		}
	}
	for _, u := range append(bodies, newcomer) {
		b.finish(u)
	}
	if b.grow(&bodyUsage{}, maxBody, maxBody, start) {
		t.Error("a complete body gave way or the budget was exceeded")
	}
	for _, u := range append(bodies, newcomer) {
		b.release(u)
	}
	if n := b.Used(); n != 0 {
		t.Errorf("%d bytes held after all bodies were released", n)
	}
}

// Guards against callers that hold a body open for as long as they state.
func TestStoppedBodyIsNotAwaitedForLong(t *testing.T) {
	begun := time.Unix(1000, 0)
	tests := []struct {
		after    time.Duration
		received int
		want     time.Duration
	}{
		{0, 0, bodyStallTime}, {5 * time.Second, 0, bodyStallTime},
		{time.Minute, 1 << 20, time.Minute + bodyStallTime}, {time.Minute, minBodyRate, bodyStallTime + time.Second},
	}
	for _, tt := range tests {
		if got := nextBytesDeadline(begun, begun.Add(tt.after), tt.received).Sub(begun); got != tt.want {
			t.Errorf("after %s and %d bytes: %s, want %s", tt.after, tt.received, got, tt.want)
		}
	}
}
