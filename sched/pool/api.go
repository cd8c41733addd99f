// Package pool decides, for one pool of targets on one entry host, which
// request is served next, on which target, and which work is stopped under
// overload. It does no I/O and reads no clock: callers pass the time, perform
// the returned actions and report what happened.
package pool

import (
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

// Kind says how the targets of a pool spend capacity.
type Kind uint8

const (
	// Engine targets are limited in requests and tokens and keep prefix caches.
	Engine Kind = iota
	// Service targets are limited in requests only.
	Service
)

// Sharing selects how hosts that feed the same targets account for each
// other's work. docs/decisions/target-sharing.md compares the ways.
type Sharing uint8

const (
	// PeerDigests adds peers' counts and load reports, discounted by age, to
	// the host's own counts.
	PeerDigests Sharing = iota
	// TwoChoices compares two random targets by the host's own counts.
	TwoChoices
	// HostShares gives the host a part of each target's limit that follows the
	// host's part of the zone's demand.
	HostShares
	// Probing compares targets with recent load reports and asks for reports
	// from a few random targets with each dispatch.
	Probing
)

// Limits bounds the pool. A zero field takes the default in its comment.
type Limits struct {
	// Waiting is the maximum number of waiting requests per tier on this host.
	// Default 4096, 4096, 16384.
	MaxWaiting [request.TierCount]int
	// Requests is the initial limit of requests in progress per target, over
	// all hosts. Default 8, and 16 for services.
	InitialRequests int
	// MaxRequests bounds the learned limit per target. Default 512.
	MaxRequests int
	// Tokens is the initial limit of tokens in progress per target, over all
	// hosts. 0 leaves tokens unlimited until the limit is learned.
	InitialTokens int
	// Headroom is the part of each target's limit that a tier leaves free for
	// higher tiers; negative lets a tier exceed the limit, which is cheaper than
	// a floor for a short burst. Default -0.1, 0.03, 0.15.
	Headroom [request.TierCount]float64
	// FirstToken is the time to first token that the limits aim for. Default
	// 590 ms.
	TimeToFirstToken time.Duration
	// BetweenTokens is the time between tokens that the limits aim for. Default
	// 30 ms.
	InterTokenLatency time.Duration
	// Floor is how long a tier floor lasts unless renewed. Default 2 s.
	FloorTTL time.Duration
	// DigestBytes bounds one encoded digest of this pool. Default 1500; a host
	// with several pools divides it.
	MaxDigestBytes int
	// ProbesPerSecond bounds Probe actions. Default 5, and two for each
	// dispatch where Sharing is Probing.
	ProbesPerSecond float64
	// RetryBudget is the part of recent dispatches that may be retried after a
	// result of NotSent. Default 0.1.
	RetryBudget float64
}

// Config describes one pool on one host.
type Config struct {
	// Pool is the name of the pool in the rules file.
	Name string
	Kind Kind
	// Host is the index of this host in 0..Hosts-1. Hosts that share targets
	// should have different indices.
	HostIndex int
	// Hosts is the expected number of hosts that feed the same targets,
	// including this one. Default 1.
	HostCount int
	// Seed determines all random choices together with Host.
	Seed uint64
	// Weights holds the fair-queueing weights of organisations. An absent
	// organisation has weight 1.
	Weights map[string]float64
	Limits  Limits
	Sharing Sharing
}

// Target is one back end as the platform lists it.
type Target struct {
	// Name is unique in the pool and the same on all hosts.
	Name    string
	Zone    string
	Version string
	// Class is the hardware class; targets of one class and version start from
	// the limits that the others have learned. It may be empty.
	Class string
	// Local says that the target is in this host's zone. Others are used only
	// when no local target has room.
	Local bool
	// Leaving targets get nothing new; work in progress and paused work that is
	// bound to them finishes.
	Draining bool
}

// Result says how a dispatched request ended.
type Result uint8

const (
	// OK is a complete answer.
	OK Result = iota
	// Failed is an error answer of the target.
	Failed
	// Silent is a dispatch without a first byte, or without further bytes, in
	// the time allowed.
	TimedOut
	// Cut is an answer that ended before it was complete.
	Truncated
	// Cancelled is a dispatch that this host cancelled. It is no evidence about
	// the target.
	Cancelled
	// NotSent proves that no byte of the request went out. The pool retries it
	// at another target within the retry budget, or refuses it.
	NotSent
)

// LoadReport is what a target says about itself, over all hosts.
type LoadReport struct {
	// Running and Queued count requests.
	Running, Queued int
	// Tokens counts the tokens of running and queued requests; 0 if unknown.
	Tokens int
	// At is when the target measured, on this host's clock.
	MeasuredAt time.Time
}

// CacheEvent says that a target stored or evicted the block that ends a prefix.
type CacheEvent struct {
	Prefix uint64
	Stored bool
}

// ActionKind says what the caller must do.
type ActionKind uint8

const (
	// Dispatch sends Request to Target. With Offset > 0 or Resume set, the
	// request has been dispatched before: its stream is resumed by id at Target
	// from Offset, and it counts as the same dispatch.
	Dispatch ActionKind = iota
	// Refuse answers the caller with Refusal. The request has left the pool.
	Refuse
	// Pause cancels Request at Target and keeps what was received. The pool
	// resumes it later with a Dispatch at the same target; no Done is expected,
	// and one that arrives with OK because the answer was already complete
	// ends the request.
	Pause
	// Cancel cancels Request at Target. The caller of the request has gone and
	// the pool has forgotten it.
	Cancel
	// RaiseFloor tells every reachable host of the zone to start no work of a
	// tier below Tier in this pool until Until.
	RaiseFloor
	// Eject reports that Target is no longer picked, because of Why.
	Eject
	// Restore reports that Target is picked again.
	Restore
	// Probe asks for a load report from Target. It may be ignored.
	Probe
)

var actionNames = [...]string{"dispatch", "refuse", "pause", "cancel", "raise-floor", "eject", "restore", "probe"}

// String returns the name of the kind for logs.
func (k ActionKind) String() string { return actionNames[k] }

// Action is one thing for the caller to do. Fields that a kind does not
// mention are zero.
type Action struct {
	Kind    ActionKind
	Request *request.Request
	Target  string
	// Offset counts the tokens already received.
	Offset int
	Resume bool
	// Retry marks a Dispatch that follows a result of NotSent.
	Retry   bool
	Refusal *refusal.Refusal
	Tier    request.Tier
	Until   time.Time
	Why     string
}

// Alternative is a target that was considered, with its cost in milliseconds;
// lower is better. A cost above 1,000,000 marks a target where the host exceeds
// its allowance because it found no other room.
type Alternative struct {
	Target string
	Cost   float64
}

// Decision is a recent decision about one request.
type Decision struct {
	At   time.Time
	Kind ActionKind
	// Target is empty for refusals.
	Target string
	Why    string
	// Considered holds the chosen target and the best alternatives, best first.
	Considered []Alternative
}

// Stats is a view of the pool for metrics and operators.
type Stats struct {
	// Waiting and Running count this host's requests by tier; Paused counts
	// patient requests that were started and are stopped.
	Waiting, Running [request.TierCount]int
	Paused           int
	Targets, Ejected int
	// Panic says that most targets look unhealthy and ejection is suspended.
	PanicMode bool
	// Floor is the tier below which nothing is started, valid while FloorUntil
	// lies ahead. FloorSince is its start; renewals without a gap keep it.
	Floor                  request.Tier
	FloorSince, FloorUntil time.Time
}

// Digest is this host's in-progress work and what it knows about targets, in
// its encoded form. It is opaque to its carrier.
type Digest []byte
