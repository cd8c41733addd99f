// Package steer decides the next step of a version rollout.
//
// The package is pure: Next maps a state and what is known now to the next
// state. The caller writes the state to the store and then carries it out.
package steer

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinefront.dev/core/request"
	"sardinefront.dev/moves/judge"
)

// Move is a move rule.
type Move struct {
	Pool, Model string
	From, To    string
	By          time.Time
	// AtMost bounds the new version's share, 0 to 1, until the evidence
	// suffices. 0 means DefaultAtMost.
	AtMost float64
}

// DefaultAtMost is the share of an unproven version where the rule names none.
const DefaultAtMost = 0.05

// ID identifies the move. A rule with another deadline is another move, so an
// operator can start again after a roll-back by naming a new time.
func (m Move) ID() string {
	text := fmt.Sprintf("%q %q %q %d", m.Pool, m.From, m.To, m.By.Unix())
	return fmt.Sprintf("%016x", xxhash.Sum64String(text))
}

func (m Move) atMost() float64 {
	if m.AtMost <= 0 {
		return DefaultAtMost
	}
	return m.AtMost
}

// Phase says where a move stands.
type Phase uint8

// The phases. Idle is the zero value: the pool has no move.
const (
	Idle Phase = iota
	Running
	Done
	RolledBack
	// Withdrawn means that the operator removed the rule halfway.
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
	// Share is the new version's share of all requests, Urgent that of urgent
	// ones, 0 to 1.
	Share, UrgentShare float64
	// Dwell is the shortest stay.
	MinDuration time.Duration
}

// Steps are the stages. The first sends nothing to the new version and records
// how each target behaves on the old one. In the last one the share follows the
// number of loaded targets, so that both versions stay equally loaded and
// comparable until the last target is loaded.
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

// firstProven is the first step that needs sufficient evidence.
const firstProven = 3

// Load is an order to a target that has not been confirmed yet.
type PendingLoad struct {
	Target, Version string
	Since           time.Time
}

// State is the durable state of a pool's moves, kept in the store. Seq grows by
// one with every write.
type State struct {
	Fence int64
	Seq   uint64
	Phase Phase
	Move  Move
	ID    string
	// Aliases are ids of the same move under earlier deadlines.
	Aliases []string
	// Roster lists the targets at the start in order of name. It maps a target
	// to its evidence group on all hosts alike.
	Roster  []string
	Step    int
	Started time.Time
	Since   time.Time
	// Stretch multiplies the dwell times to use the time until the deadline.
	Stretch float64
	Loading PendingLoad
	// Extra is the number of targets loaded beyond the step's need, to tell a
	// slow version from slow targets.
	Extra  int
	Shares [request.TierCount]float64
	Late   bool
	Reason string
	// Restored means that no target serves the version that was given up.
	Restored bool
	// Ended holds the ids that ended for good. Nothing resumes them.
	Ended map[string]Phase
	// Refused is the id of a move that was last refused, to report it once.
	Refused string
}

// Target is one target as the host sees it.
type Target struct {
	Name, Zone string
	// Version is the version that it serves; empty while it loads.
	Version string
	Leaving bool
}

// Group returns the evidence group of a target.
func (s *State) Group(target string) uint8 {
	i, ok := slices.BinarySearch(s.Roster, target)
	if !ok {
		i = int(xxhash.Sum64String(target) % judge.GroupCount)
	}
	return uint8(i % judge.GroupCount)
}

// Has reports whether the state concerns the move id.
func (s *State) HasMoveID(id string) bool {
	return s.ID == id || slices.Contains(s.Aliases, id)
}

// Input is what is known at one moment.
type Input struct {
	Now time.Time
	// Moves are the pool's move rules in file order.
	Rules   []Move
	Targets []Target
	Verdict judge.Verdict
	// Halt is the reason why a host halted the move; empty if none did.
	HaltReason string
	// LoadTime is the time that one load takes at the weight store's rate.
	LoadTime time.Duration
	// UrgentShare is the part of urgent requests among all, 0 to 1.
	UrgentShare float64
}

// ReportKind says what happened.
type ReportKind uint8

// The reports.
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
