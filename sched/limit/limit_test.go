package limit

import (
	"testing"
	"time"
)

var start = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

func testConfig() Config {
	return Config{Initial: 8, Max: 512, TimeToFirstToken: 590 * time.Millisecond, InterTokenLatency: 30 * time.Millisecond}
}

// saturate simulates a target with as many streams as the limit allows. Its inter-token latency
// is base + grow*streams, in seconds. It returns the mean limit of the second half and the end
// time.
func saturate(l *Limiter, base, grow float64, seconds int, now time.Time) (float64, time.Time) {
	sum, n := 0.0, 0
	steps := seconds * 50
	for k := range steps {
		now = now.Add(20 * time.Millisecond)
		streams := float64(int(l.RequestLimit()))
		l.RecordInterTokenLatency(time.Duration((base+grow*streams)*float64(time.Second)), 1, streams, 0, now)
		if k > steps/2 {
			sum += l.RequestLimit()
			n++
		}
	}
	return sum / float64(n), now
}

// Guards against the same limit for engines of different speeds: each limit must grow until the
// engine's inter-token latency reaches 27 ms, 90% of the goal.
func TestEnginesOfDifferentSpeedsGetDifferentLimits(t *testing.T) {
	for _, c := range []struct{ base, grow, want float64 }{{0.012, 0.001, 15}, {0.007, 0.0005, 40}, {0.015, 0.004, 3}} {
		got, _ := saturate(New(testConfig()), c.base, c.grow, 60, start)
		t.Logf("base %.0f ms, %.1f ms per stream: limit %.1f, ideal %.0f", c.base*1e3, c.grow*1e3, got, c.want)
		if got < 0.75*c.want-1 || got > 1.25*c.want+1 {
			t.Errorf("limit %.1f is far from %.0f", got, c.want)
		}
	}
}

// Guards against a target that slows down threefold and keeps its limit.
func TestThreefoldSlowdownCutsWithinASecond(t *testing.T) {
	l := New(testConfig())
	before, now := saturate(l, 0.012, 0.001, 60, start)
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		// The requests in progress have not ended yet.
		l.RecordInterTokenLatency(81*time.Millisecond, 1, before, 0, now)
	}
	t.Logf("limit %.1f before, %.1f one second later", before, l.RequestLimit())
	if l.RequestLimit() > before/2 {
		t.Errorf("limit fell only from %.1f to %.1f", before, l.RequestLimit())
	}
	if s := l.Slowdown(); s < 3 {
		t.Errorf("slowdown %.1f", s)
	}
}

// Guards against a limit that is not lowered because a first token never arrives.
func TestStallLowersTheLimit(t *testing.T) {
	l := New(testConfig())
	before, now := saturate(l, 0.012, 0.001, 20, start)
	for k := range 40 {
		now = now.Add(50 * time.Millisecond)
		l.RecordStall(time.Duration(k)*50*time.Millisecond, 0, 500, before, 0, now)
	}
	if l.RequestLimit() >= before {
		t.Errorf("limit %.1f after 2 s without a byte, %.1f before", l.RequestLimit(), before)
	}
}

// Guards against limiting a plain service by inter-token latencies, of which it has none.
func TestServiceLimitFollowsItsOwnTime(t *testing.T) {
	c := testConfig()
	c.PlainService = true
	l := New(c)
	now := start
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		n := l.RequestLimit()
		// 20 ms up to 20 requests, then each further request adds 10 ms.
		l.RecordFirstByte(20*time.Millisecond+time.Duration(max(0, n-20)*10)*time.Millisecond, 0, n, 0, now)
	}
	t.Logf("limit %.1f", l.RequestLimit())
	if l.RequestLimit() < 18 || l.RequestLimit() > 35 {
		t.Errorf("limit %.1f; the service slows down from 20", l.RequestLimit())
	}
}
