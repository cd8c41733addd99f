package invariant

import (
	"fmt"
	"strings"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

// Kind says what was observed.
type Kind int

// The kinds of events with the fields that they use besides At, Host and
// Request.
const (
	// Submitted: a caller sent the request to the host. Tier, Effect, Pool;
	// Digest is that of the expected answer, 0 if it is not known. A repeat
	// with the same id is a further event.
	Submitted Kind = iota + 1
	// Dispatched: a target began to run the request. Target, Pool, Version. At
	// must not be later than the dispatch. A resumed stream is no dispatch.
	Dispatched
	// Answered: the caller received a complete answer. Digest.
	Answered
	// Refused: the caller received a refusal. Reason, Ran.
	Refused
	// Accepted: the caller of a patient request was told its id.
	Accepted
	// Outcome: a caller fetched the outcome of a recorded request. State is
	// answered, error (the target's own error answer), failed or unknown; Digest
	// for answered, Ran for the others.
	OutcomeFetched
	// Lost: a caller was told that an accepted request is not on record.
	RequestLost
	// Shed: the request was refused because of overload. Tier, Pool.
	Shed
	// Floor: the host raised a tier floor. Tier, Pool, Until.
	FloorRaised
	// TargetLeaving: the platform lists the target as leaving. Target.
	TargetLeaving
	// ConfigAccepted: an operator's push was accepted. Number.
	ConfigAccepted
	// ConfigAdopted: the configuration is in force on the host. Number.
	ConfigAdopted
	// HostUp: the host is live and reachable, HostDown: it is neither live nor
	// expected to be.
	HostUp
	HostDown
	// VersionShare: the greatest share of traffic that an unproven version of
	// the pool may receive from now on. Pool, Version, Share.
	VersionShareLimit
	// VersionBad: the fault of the version is visible. Pool, Version.
	VersionFaultVisible
	// ShutdownBegun: a planned stop of the host began.
	ShutdownStarted
	// ConnectionCut: an answer in progress ended early. Count is the number of
	// requests, 0 means one.
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

// Event is one observation. Fields that a kind does not mention are zero.
type Event struct {
	At   time.Time
	Kind Kind
	// Decided is when a host decided on a dispatch, if it is known. A target that
	// starts late was not sent work late.
	DecidedAt time.Time
	Host      string
	// Request is unique among organisations: organisation~id.
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
