// Package judge decides from pooled evidence whether a new version is worse
// than the old one that serves the same routes at the same time.
//
// The package is pure: it performs no I/O and reads no clock.
package judge

import "time"

// GroupCount is the number of target groups that evidence is kept for. Pools
// of up to GroupCount targets have one group per target. A larger number adds
// bytes to every digest; a smaller one leaves too few independent units in a
// pool of 12 to tell a slow target from a slow version.
const GroupCount = 16

// WindowLength is the length of an evidence window.
const WindowLength = 15 * time.Second

// Measure is one property in which two versions are compared.
type Metric uint8

// The measures.
const (
	Failures Metric = iota
	Truncations
	FirstToken
	BetweenTokens
	measureCount
)

var measureNames = [measureCount]string{"failures", "cut or empty answers", "time to first token", "time between tokens"}

// String returns the name used in reasons and logs.
func (m Metric) String() string {
	if m >= measureCount {
		return "unknown measure"
	}
	return measureNames[m]
}

// Result says how a request ended, as far as the version is concerned.
type Result uint8

// The results. Outcomes that say nothing about the version, such as a failed
// dial or a caller that left, are not observed.
const (
	Answered Result = iota
	Failed
	// Cut is an answer that was truncated or empty.
	Truncated
)

// Horizons lists the spans of evidence, counted back from now, that are tested. The short ones show a late fault
// that the long one would average away; the long one collects the evidence of
// rare routes.
var Lookbacks = []time.Duration{30 * time.Second, 3 * time.Minute, 20 * time.Minute}

// WindowOf returns the number of the window that contains t.
func WindowNumber(t time.Time) int64 { return t.UnixNano() / int64(WindowLength) }

// ringLength is the number of windows kept: the longest horizon.
const ringLength = int64(20 * time.Minute / WindowLength)
