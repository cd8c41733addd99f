package rollout_test

import (
	"testing"
	"time"

	"sardinefront.dev/gateway/rollout"
)

// Guards against a start time of another writer that ends a rollout at once: one of the distant
// past, or one of the distant future, whose age overflows.
func TestImplausibleStartIsIgnored(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, value := range []string{
		"", "x", "0", "-1", "1e3", "9223372036854775807", "-9223372036854775808", "99999999999999999999",
		string(rollout.FormatStart(now.Add(time.Hour))), string(rollout.FormatStart(now.Add(-365 * 24 * time.Hour))),
	} {
		if elapsed, ok := rollout.ParseStart([]byte(value), now); ok {
			t.Errorf("start time %q is accepted as %s ago", value, elapsed)
		}
	}
	for _, age := range []time.Duration{-time.Second, 0, time.Minute, 24 * time.Hour} {
		if elapsed, ok := rollout.ParseStart(rollout.FormatStart(now.Add(-age)), now); !ok || elapsed != max(0, age) {
			t.Errorf("a start %s ago is read as %s ago, plausible: %t", age, elapsed, ok)
		}
	}
}

// Guards against a negative age whose negation overflows and moves the start 292 years back, so
// that the rollout counts as ended.
func TestNegativeElapsedDoesNotEndRollout(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tracker := rollout.New("h", rollout.Limits{MaxShare: 0.1})
	tracker.Start(rollout.Order{Service: "s", Version: "v2", Duration: time.Hour, Revision: 1}, 0, now)
	before := tracker.Split("s", now)
	for _, elapsed := range []time.Duration{-1 << 63, -time.Hour, -1} {
		tracker.RecordElapsed("s", 1, elapsed, now)
		if after := tracker.Split("s", now); after != before {
			t.Errorf("elapsed %d: split %+v, want %+v", elapsed, after, before)
		}
	}
}
