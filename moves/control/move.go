// Package control decides the next step of a version rollout.
//
// The package performs no I/O and reads no clock: Next computes the next state
// from the current state and an Input, which holds the current time. The caller
// writes the new state to the store before it acts on it.
package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinefront.dev/core/request"
	"sardinefront.dev/moves/analysis"
)

// Move is a move rule: it requests the rollout of version To in place of version
// From on a pool by the deadline By.
type Move struct {
	Pool, Model string
	From, To    string
	By          time.Time
	// AtMost is the largest share of the requests, 0 to 1, for the new version
	// in the steps before sufficient evidence is required. 0 means DefaultAtMost.
	AtMost float64
}

// DefaultAtMost is the default of Move.AtMost.
const DefaultAtMost = 0.05

// ID returns the id of the move. A rule with another deadline is another move,
// so that an operator can retry after a rollback by changing the deadline.
func (m Move) ID() string {
	text := fmt.Sprintf("%q %q %q %d", m.Pool, m.From, m.To, m.By.Unix())
	return fmt.Sprintf("%016x", xxhash.Sum64String(text))
}

// maxUngatedShare returns the largest share of the requests, 0 to 1, before
// firstGatedStep.
func (m Move) maxUngatedShare() float64 {
	if m.AtMost <= 0 {
		return DefaultAtMost
	}
	return m.AtMost
}

// Phase is the phase of a move.
type Phase uint8

// The phases. Idle, the zero value, means that the pool has had no move yet.
const (
	Idle Phase = iota
	Running
	Done
	RolledBack
	// Withdrawn means that the operator removed the rule while the move was
	// running.
	Withdrawn
)

var phaseNames = []string{"idle", "running", "done", "taken back", "withdrawn"}

// String returns the name used in logs.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return fmt.Sprintf("phase(%d)", uint8(p))
	}
	return phaseNames[p]
}

// Step is one stage of a move.
type Step struct {
	// Share is the new version's share of all requests, UrgentShare that of
	// urgent requests, each 0 to 1.
	Share, UrgentShare float64
	// MinDuration is the minimum time in the step before it is stretched by
	// Plan.Stretch.
	MinDuration time.Duration
}

// Steps are the steps of a move. The first sends nothing to the new version; it
// records a baseline of each target on the old version. In the last one the
// share follows the number of loaded targets, so that both versions stay
// equally loaded and comparable until the last target is loaded.
var Steps = []Step{
	{0, 0, 2 * time.Minute},
	{0.01, 0, 2 * time.Minute},
	{0.05, 0, 5 * time.Minute},
	{0.25, 0.05, 5 * time.Minute},
	{0.50, 0.25, 5 * time.Minute},
	{1, 1, 2 * time.Minute},
}

// lastStep is the step in which all remaining targets are loaded.
var lastStep = len(Steps) - 1

// firstGatedStep is the first step that a move enters only with sufficient
// evidence for the new version.
const firstGatedStep = 3

// PendingLoad is a command to load a version on a target. The target has not
// confirmed the load yet.
type PendingLoad struct {
	Target, Version string
	Since           time.Time
}

// State is the durable state of a pool's moves, kept in the store. Seq grows by
// one with every write. The store and peers hold it under these field names.
type State struct {
	Fence int64
	Seq   uint64
	Phase Phase
	Move  Move
	ID    string
	// Aliases holds the ids of the move under earlier deadlines.
	Aliases []string
	// Roster lists the pool's targets at the start of the move, sorted by name.
	// It assigns targets to the same sample groups on all hosts.
	Roster  []string
	Step    int
	Started time.Time
	Since   time.Time // start of the step
	// Stretch is the factor on the minimum durations of the steps, see Plan.
	Stretch float64
	Loading PendingLoad
	// Extra is the number of targets to load beyond the step's need, in order
	// to distinguish a slow version from slow targets.
	Extra  int
	Shares [request.TierCount]float64 // of the new version, by tier, 0 to 1
	Late   bool                       // whether the deadline was reported as impossible to meet
	Reason string
	// Restored means that no target serves the new version any more after the
	// move was rolled back or withdrawn.
	Restored bool
	// Ended holds the final phase of the moves that ended for good, by id. They
	// are never resumed.
	Ended map[string]Phase
	// Refused is the id of the last refused move, so that the refusal is
	// reported once.
	Refused string
}

// Target is a target in the target list of this host.
type Target struct {
	Name, Zone string
	// Version is the version that the target serves, empty while it loads one.
	Version string
	Leaving bool
}

// Group returns the sample group of a target.
func (s *State) Group(target string) uint8 {
	i, ok := slices.BinarySearch(s.Roster, target)
	if !ok {
		i = int(xxhash.Sum64String(target) % analysis.GroupCount)
	}
	return uint8(i % analysis.GroupCount)
}

// HasMoveID reports whether id identifies the move of the state, also under an
// earlier deadline.
func (s *State) HasMoveID(id string) bool {
	return s.ID == id || slices.Contains(s.Aliases, id)
}

// Input holds everything that Next needs besides the state.
type Input struct {
	Now time.Time
	// Rules are the pool's move rules in file order.
	Rules   []Move
	Targets []Target
	Verdict analysis.Verdict
	// HaltReason is the reason why a host halted the move, empty if none did.
	HaltReason string
	// LoadTime is the duration of one load at the weight store's transfer rate.
	LoadTime time.Duration
	// UrgentFraction is the fraction of urgent requests among all requests, 0 to 1.
	UrgentFraction float64
}

// ReportKind is the kind of a report.
type ReportKind uint8

// The kinds of reports.
const (
	ReportStarted ReportKind = iota
	ReportStepped
	ReportFinished
	ReportRolledBack
	ReportLate
	ReportRefused
	ReportRuleRemoved
	ReportDeadlineChanged
)

// Report is an event for operators.
type Report struct {
	Kind   ReportKind
	Move   Move
	ID     string
	Detail string
}
