package rollout

import (
	"strconv"
	"time"
)

// maxElapsed is the age above which a start time is taken for invalid. The state of a rollout that
// ended so long ago is read from its status.
const maxElapsed = 30 * 24 * time.Hour

// maxClockSkew is how far the clock of the host that wrote a start time may be ahead.
const maxClockSkew = time.Minute

// FormatStart encodes the start time of a rollout for the store.
func FormatStart(t time.Time) []byte { return strconv.AppendInt(nil, t.UnixMilli(), 10) }

// ParseStart returns the time since the start time that FormatStart encoded. It reports false if
// the value is not a plausible start time.
func ParseStart(value []byte, now time.Time) (elapsed time.Duration, ok bool) {
	ms, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return 0, false
	}
	elapsed = now.Sub(time.UnixMilli(ms))
	return max(0, elapsed), -maxClockSkew <= elapsed && elapsed <= maxElapsed
}
