// Package request defines the request that every other package schedules.
package request

import (
	"fmt"
	"time"
)

// Tier orders requests under load. A lower value is served first and shed last.
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

// Effect says whether running a request twice does harm.
type Effect uint8

// The two effects. The zero value is the one that needs no claim.
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

// Request is one caller's request after classification. It is immutable once
// it has entered a queue.
type Request struct {
	// ID is the caller's Idempotency-Key or X-Request-Id, or a generated UUID.
	ID string
	// Organisation is the customer that fair queueing accounts to.
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
	// FirstToken is the time from arrival within which the rules want the first
	// token; 0 if they state none.
	FirstToken time.Duration
	// PromptTokens and MaxTokens are estimates in tokens; both are 0 for plain
	// services.
	PromptTokens int
	MaxTokens    int
	// Prefix holds the rolling hashes of the prompt's leading blocks, the hash
	// of the longest prefix last.
	Prefix []uint64
}

// Tokens returns the estimated cost in tokens, at least 1.
func (r *Request) EstimatedTokens() int {
	return max(1, r.PromptTokens+r.MaxTokens)
}

// NeedsRecord reports whether the request must be on record in the store
// before it may be dispatched.
func (r *Request) RequiresJournaling() bool {
	return r.Tier == Patient || r.Effect == NonIdempotent
}
