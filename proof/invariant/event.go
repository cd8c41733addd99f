package invariant

import (
	"fmt"
	"strings"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

// Kind is the type of an observation.
type Kind int

// The kinds of events, each with the fields that it uses besides At, Host and
// Request.
const (
	// Submitted: a caller sent the request to the host. Fields: Tier, Effect, Pool,
	// Digest. Digest is that of the expected answer, 0 if it is not known. Each
	// repeated submission with the same id is an event of its own.
	Submitted Kind = iota + 1
	// Dispatched: a target started to run the request. Fields: Target, Pool,
	// Version. At must not be later than the start. Resuming a stream is not
	// a dispatch.
	Dispatched
	// Answered: the caller received a complete answer. Fields: Digest.
	Answered
	// Refused: the caller received a refusal. Fields: Reason, RunState.
	Refused
	// Accepted: the caller of a patient request received the id under which its
	// outcome can be fetched.
	Accepted
	// OutcomeFetched: a caller fetched the outcome of a recorded request. Fields:
	// OutcomeState, which is answered, error (the target's own error response),
	// failed or unknown; Digest if it is answered, RunState otherwise.
	OutcomeFetched
	// RequestLost: a host replied that it has no record of an accepted request.
	RequestLost
	// Shed: the request was refused because of overload. Fields: Tier, Pool.
	Shed
	// FloorRaised: the host raised a tier floor, below which it starts no request.
	// Fields: Tier, Pool, Until.
	FloorRaised
	// TargetLeaving: the platform lists the target as leaving. Fields: Target.
	TargetLeaving
	// ConfigAccepted: an operator's push was accepted. Fields: ConfigNumber.
	ConfigAccepted
	// ConfigAdopted: the configuration is active on the host. Fields: ConfigNumber.
	ConfigAdopted
	// HostUp: the host is running and reachable.
	HostUp
	// HostDown: the host is stopped or has crashed and is not expected to run.
	HostDown
	// VersionShareLimit: from now on a canary version of the pool may receive at
	// most this share of the traffic. Fields: Pool, Version, MaxShare.
	VersionShareLimit
	// VersionFaultVisible: the fault of a bad version can be detected from now on.
	// Fields: Pool, Version.
	VersionFaultVisible
	// ShutdownStarted: a planned stop of the host started.
	ShutdownStarted
	// ConnectionCut: responses in progress ended before they were complete. Fields:
	// RequestCount, the number of requests; 0 means one.
	ConnectionCut
)

var kindNames = [...]string{
	"none", "submitted", "dispatched", "answered", "refused", "accepted", "outcome", "lost", "shed", "floor",
	"target leaving", "configuration accepted", "configuration adopted", "host up", "host down",
	"version share", "version bad", "shutdown begun", "connection cut",
}

// String returns the name of the kind.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("kind(%d)", int(k))
	}
	return kindNames[k]
}

// Event is one observation. Fields that the comment of its kind does not list are
// zero.
type Event struct {
	At   time.Time
	Kind Kind
	// DecidedAt is when a host decided on a dispatch, zero if unknown. It may be
	// well before At if the target is slow to start the request.
	DecidedAt time.Time
	Host      string
	// Request is the request's id qualified by its organisation: organisation~id.
	Request string
	Tier    request.Tier
	Effect  request.Effect
	Pool    string
	Target  string
	Version string
	// Digest is a hash of an answer's body; 0 means unknown.
	Digest       uint64
	Reason       string
	RunState     refusal.RunState
	OutcomeState string
	ConfigNumber int64
	MaxShare     float64
	Until        time.Time
	RequestCount int
}

// String returns the event on one line.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s", e.At.Format("15:04:05.000"), e.Kind)
	show := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	show("host", e.Host)
	show("request", e.Request)
	switch e.Kind {
	case Submitted, Shed, FloorRaised:
		show("tier", e.Tier.String())
	}
	show("pool", e.Pool)
	show("target", e.Target)
	show("version", e.Version)
	show("reason", e.Reason)
	if e.Kind == Refused || e.Kind == OutcomeFetched && e.OutcomeState != "answered" {
		show("ran", e.RunState.String())
	}
	show("state", e.OutcomeState)
	if e.Digest != 0 {
		fmt.Fprintf(&b, " digest=%x", e.Digest)
	}
	if e.ConfigNumber != 0 {
		fmt.Fprintf(&b, " number=%d", e.ConfigNumber)
	}
	if e.RequestCount != 0 {
		fmt.Fprintf(&b, " count=%d", e.RequestCount)
	}
	return b.String()
}
