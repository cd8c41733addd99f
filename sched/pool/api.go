// Package pool schedules the requests of one pool of targets on one host: it decides
// which request is dispatched next, to which target, and which requests are paused or
// refused under overload. It does no I/O and reads no clock: callers pass the current
// time, perform the returned actions and report the results.
package pool

import (
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/drain"
)

// Kind determines how the capacity of a pool's targets is limited.
type Kind uint8

const (
	// Engine targets are limited in requests and tokens and keep prefix caches.
	Engine Kind = iota
	// Service targets are limited in requests only.
	Service
)

// Sharing selects how hosts that use the same targets account for each other's work.
// docs/decisions/target-sharing.md compares the strategies.
type Sharing uint8

const (
	// PeerDigests adds the peers' counts and load reports, weighted by age, to the
	// host's own counts.
	PeerDigests Sharing = iota
	// TwoChoices compares two random targets by the host's own counts (power of two
	// choices).
	TwoChoices
	// HostShares gives the host a fraction of each target's limit, in proportion to its
	// share of the zone's demand.
	HostShares
	// Probing prefers targets with recent load reports and requests reports from a few
	// random targets with each dispatch.
	Probing
)

// Limits bounds the pool. A zero field takes the default in its comment.
type Limits struct {
	// MaxWaiting is the maximum number of waiting requests per tier on this host.
	// Default 4096, 4096, 16384.
	MaxWaiting [request.TierCount]int
	// InitialRequests is the initial limit of requests in progress per target, over
	// all hosts. Default 8, and 16 for services.
	InitialRequests int
	// MaxRequests bounds the learned request limit per target. Default 512.
	MaxRequests int
	// InitialTokens is the initial limit of tokens in progress per target, over all
	// hosts. 0 leaves tokens unlimited until the limit is learned.
	InitialTokens int
	// Headroom is the fraction of each target's limit that a tier leaves free for
	// higher tiers. A negative value lets a tier exceed the limit, which costs less than
	// a floor during a short burst. Default -0.1, 0.03, 0.15.
	Headroom [request.TierCount]float64
	// TimeToFirstToken is the goal for the time to first token from which the limits are
	// learned. Default 590 ms.
	TimeToFirstToken time.Duration
	// InterTokenLatency is the goal for the time between tokens from which the limits
	// are learned. Default 30 ms.
	InterTokenLatency time.Duration
	// FloorTTL is the longest time that a tier floor lasts without renewal. Default 2 s.
	FloorTTL time.Duration
	// MaxDigestBytes bounds one encoded digest of this pool. Default 1500; a host with
	// several pools divides that size between them.
	MaxDigestBytes int
	// ProbesPerSecond bounds the rate of Probe actions. Default 5. Where Sharing is
	// Probing, each dispatch causes up to two more.
	ProbesPerSecond float64
	// RetryBudget is the number of retries allowed per dispatch, 0..1, for requests that
	// ended with NotSent. Default 0.1.
	RetryBudget float64
}

// Config is the configuration of one pool on one host.
type Config struct {
	// Name is the name of the pool in the rules file.
	Name string
	Kind Kind
	// HostIndex is the index of this host in 0..HostCount-1. Hosts that share targets
	// should have different indices.
	HostIndex int
	// HostCount is the expected number of hosts that use the same targets, including this
	// one. Default 1.
	HostCount int
	// Seed and HostIndex together determine all random choices.
	Seed uint64
	// Weights holds the fair-queueing weights of organisations. An absent
	// organisation has weight 1.
	Weights map[string]float64
	Limits  Limits
	Sharing Sharing
}

// Target is one back end in the platform's list of targets.
type Target struct {
	// Name is unique in the pool and the same on all hosts.
	Name    string
	Zone    string
	Version string
	// Class is the hardware class. A new target starts from the limits learned for
	// others of the same class and version. It may be empty.
	Class string
	// Local is true if the target is in this host's zone. Targets of other zones are used
	// only when no local target has capacity.
	Local bool
	// Incarnation is the run of the target in the list.
	Incarnation drain.Incarnation
	// Draining is true if the list states that the target is leaving. Leaving targets receive
	// no new requests. Requests in progress there, and paused ones that can resume only there,
	// are completed.
	Draining bool
}

// Result describes how a dispatched request ended.
type Result uint8

const (
	// OK means that the response is complete.
	OK Result = iota
	// Failed means that the target sent an error response, or a response to another request.
	Failed
	// TimedOut means that the first or the next byte of the response did not arrive within the
	// timeout.
	TimedOut
	// Truncated means that the response ended before it was complete.
	Truncated
	// Cancelled means that this host cancelled the request. It does not affect the target's
	// health.
	Cancelled
	// NotSent guarantees that no byte of the request was sent. The pool retries the
	// request at another target within the retry budget, or refuses it.
	NotSent
	// Declined means that the target did not run the request and Admits nothing now: either no
	// byte was sent, or the target stated both. The pool queues the request again. This is no
	// failure of the target and spends no retry budget.
	Declined
	// DeadlineReached means that the first byte of the response did not arrive before the request's
	// deadline. That is a failure of the target unless it made progress on other requests meanwhile.
	DeadlineReached
)

// LoadReport is the load that a target reports, over all hosts.
type LoadReport struct {
	// Running and Queued count requests.
	Running, Queued int
	// Tokens counts the tokens of running and queued requests; 0 if unknown.
	Tokens int
	// MeasuredAt is when the target measured its load, on this host's clock.
	MeasuredAt time.Time
}

// CacheEvent reports that a target has stored or evicted the cache block at the end of a
// prefix. Prefix is the hash of that prefix, and Stored is false for an eviction.
type CacheEvent struct {
	Prefix uint64
	Stored bool
}

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Dispatch sends Request to Target. With Offset > 0 or Resume set, the request has
	// been dispatched before: its stream is resumed by request ID at Target from Offset,
	// and it counts as the same dispatch.
	Dispatch ActionKind = iota
	// Refuse responds to the caller with Refusal. The pool has removed the request.
	Refuse
	// Pause cancels Request at Target and keeps the tokens received. The pool resumes it
	// later with a Dispatch at the same target. No call of Done is expected; one with OK,
	// because the response was already complete, ends the request.
	Pause
	// Cancel cancels Request at Target. The caller has disconnected and the pool has
	// removed the request.
	Cancel
	// RaiseFloor notifies every reachable host of the zone to start no request of a tier
	// below Tier in this pool before Until.
	RaiseFloor
	// Eject reports that Target is no longer picked, for the reason in Why.
	Eject
	// Restore reports that Target is picked again.
	Restore
	// Probe requests a load report from Target. It may be ignored.
	Probe
	// Close reports that Target receives no new requests because of its Closure. Instance is
	// the id of its run, Source where the host learned it and Age how long ago the target
	// stated it. Until is the end of a back-off.
	Close
	// Reopen reports that Target is no longer closed.
	Reopen
)

var actionNames = [...]string{"dispatch", "refuse", "pause", "cancel", "raise-floor", "eject", "restore", "probe", "close", "reopen"}

// String returns the name of the kind for logs.
func (k ActionKind) String() string { return actionNames[k] }

// Action is an operation that the caller must perform. Fields that the description of
// its kind does not mention are zero.
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
	// Why is the reason for the action, for logs.
	Why string

	Closure  drain.Closure
	Source   drain.Source
	Instance string
	Age      time.Duration
}

// Alternative is a target that was considered, with its cost in milliseconds; lower is
// better. A cost above 1,000,000 marks a target where the host exceeds its allowance
// because no other target had capacity.
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
	// Why is the reason for the decision.
	Why string
	// Considered holds the chosen target and the best alternatives, best first.
	Considered []Alternative
}

// Stats is the state of the pool for metrics and operators.
type Stats struct {
	// Waiting and Running count this host's requests by tier. Paused counts patient
	// requests that were dispatched and wait to be resumed.
	Waiting, Running [request.TierCount]int
	Paused           int
	Targets, Ejected int
	// PanicMode is true if so many targets are ejected that ejections are ignored.
	PanicMode bool
	// Floor is the lowest tier that may start. It is active until FloorUntil. FloorSince
	// is when it was raised; renewals without a gap do not change it.
	Floor                  request.Tier
	FloorSince, FloorUntil time.Time
}

// Digest is the encoded summary of this host's work in progress and of its estimates
// about the targets. It is opaque to the transport.
type Digest []byte
