// Package analysis decides whether a new version is worse than the old version that
// serves the same routes at the same time. It compares request samples pooled
// from all hosts.
//
// The package performs no I/O and reads no clock.
package analysis

import "time"

// GroupCount is the number of target groups for which samples are kept apart.
// In pools of up to GroupCount targets, each target has its own group. A larger
// number adds bytes to every digest; a smaller one leaves too few independent
// groups in a pool of 12 targets to distinguish a slow target from a slow version.
const GroupCount = 16

// WindowLength is the length of a sample window.
const WindowLength = 15 * time.Second

// Metric is a property in which two versions are compared.
type Metric uint8

// The metrics.
const (
	Failures Metric = iota
	Truncations
	FirstToken
	BetweenTokens
	metricCount
)

var metricNames = [metricCount]string{"failures", "cut or empty answers", "time to first token", "time between tokens"}

// String returns the name used in reasons and logs.
func (m Metric) String() string {
	if m >= metricCount {
		return "unknown measure"
	}
	return metricNames[m]
}

// Result is the outcome of a request, as far as it depends on the version.
type Result uint8

// The results. Outcomes that do not depend on the version, such as a failed dial
// or a caller that disconnected, are not observed.
const (
	Answered Result = iota
	Failed
	// Truncated is an answer that was cut off or empty.
	Truncated
)

// Lookbacks lists the periods, ending now, over which the versions are
// compared. The short ones show a late fault that the long one would average
// away; the long one collects enough samples of rare routes.
var Lookbacks = []time.Duration{30 * time.Second, 3 * time.Minute, 20 * time.Minute}

// WindowNumber returns the number of the window that contains t.
func WindowNumber(t time.Time) int64 { return t.UnixNano() / int64(WindowLength) }

// keptWindowCount is the number of windows kept: those of the longest lookback.
const keptWindowCount = int64(20 * time.Minute / WindowLength)
