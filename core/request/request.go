// Package request defines the request that the schedulers work on.
package request

import (
	"fmt"
	"time"
)

// Tier is the priority of a request under load. A lower value is served first and shed last.
type Tier uint8

// The three tiers of requests.
const (
	Urgent Tier = iota
	Interactive
	Patient
)

// TierCount is the number of tiers; arrays indexed by Tier have this length.
const TierCount = 3

var tierNames = [TierCount]string{"urgent", "interactive", "patient"}

// String returns the name that rules, headers and metric labels use.
func (t Tier) String() string {
	if int(t) >= len(tierNames) {
		return fmt.Sprintf("tier(%d)", uint8(t))
	}
	return tierNames[t]
}

// ParseTier returns the tier with the given name.
func ParseTier(name string) (Tier, error) {
	for i, n := range tierNames {
		if n == name {
			return Tier(i), nil
		}
	}
	return 0, fmt.Errorf("unknown tier %q", name)
}

// Effect states whether running a request twice does harm.
type Effect uint8

// The two effects. Requests of the zero value can run without a claim in the journal.
const (
	Idempotent Effect = iota
	NonIdempotent
)

// String returns the name that rules and logs use.
func (e Effect) String() string {
	if e == NonIdempotent {
		return "non-idempotent"
	}
	return "idempotent"
}

// Request is a caller's request after its routing rule was applied. It must not be changed once
// it is queued.
type Request struct {
	// ID is the caller's Idempotency-Key or X-Request-Id, or a generated UUID.
	ID string
	// Organisation is the customer whose share of fair queueing the request uses.
	Organisation string
	Tier         Tier
	Effect       Effect
	// Pool names the group of targets that may serve the request.
	Pool string
	// Route is the method and path pattern of the matching rule. Versions are
	// compared per route.
	Route    string
	Arrived  time.Time
	Deadline time.Time
	// FirstToken is the time from arrival within which the rules require the first token, or 0
	// if they state none.
	FirstToken time.Duration
	// PromptTokens and MaxTokens are estimates in tokens; both are 0 for plain
	// services.
	PromptTokens int
	MaxTokens    int
	// Prefix holds the rolling hashes of the prompt's leading blocks. The last one covers the
	// longest prefix.
	Prefix []uint64
}

// EstimatedTokens returns the estimated cost in prompt and output tokens, at least 1.
func (r *Request) EstimatedTokens() int {
	return max(1, r.PromptTokens+r.MaxTokens)
}

// RequiresJournaling reports whether the request must be recorded in the journal before it is
// dispatched.
func (r *Request) RequiresJournaling() bool {
	return r.Tier == Patient || r.Effect == NonIdempotent
}
