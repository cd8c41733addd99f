package bench

import (
	"time"

	"sardinefront.dev/core/request"
)

// job is one request of the workload with what happened to it in one run.
type job struct {
	req  *request.Request
	pool int // index in world.pools
	host int
	org  int

	arrival      time.Duration // arrival
	deadline     time.Duration
	disconnectAt time.Duration // the caller gives up at this time; 0 is never
	promptTokens int
	answerTokens int           // true length, unknown to schedulers
	serviceTime  time.Duration // at a plain service

	state        jobState
	target       int // index in the pool; -1 before the first dispatch
	runSeq       int // number of starts and stops; tells a late event from a current one
	dispatches   int
	resumed      bool
	late         bool // waits behind all others of its tier
	engineEpoch  int  // epoch of the engine at the dispatch
	atService    bool
	sequence     *sequence
	generated    int
	computed     int // prompt tokens computed and not counted as wasted so far
	startedAt    time.Duration
	firstTokenAt time.Duration
	lastTokenAt  time.Duration
	longGaps     int
}

type jobState uint8

const (
	jobWaiting jobState = iota
	jobRunning
	jobPaused
	jobAnswered
	jobRefused
	jobLost
	jobDisconnected
)

// ended reports whether the caller has received an answer or a refusal, or has
// given up.
func (j *job) ended() bool { return j.state >= jobAnswered }

// good reports whether an answer at time end meets the objectives of the tier.
// Patient requests have a deadline only.
func (j *job) meetsObjectives(end time.Duration) bool {
	if end > j.deadline {
		return false
	}
	if j.req.Tier == request.Patient || j.atService {
		return true
	}
	return j.firstTokenAt-j.arrival <= maxTimeToFirstToken && j.longGaps*20 <= j.generated-1
}

// complete reports whether an engine has sent the last token of the answer.
func (j *job) complete() bool { return j.answerTokens > 0 && j.generated >= j.answerTokens }

// again returns the tokens that an engine which holds the given number of the
// prompt's blocks would compute again if it resumed the request now.
func (j *job) recomputedTokens(held int) int {
	return min(max(1, j.promptTokens-held*blockTokens), j.computed) + j.generated
}
