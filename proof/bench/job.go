package bench

import (
	"time"

	"sardinefront.dev/core/request"
)

// job is one request of the workload and its state in one run.
type job struct {
	req  *request.Request
	pool int // enginePool or servicePool
	host int
	org  int

	arrival      time.Duration
	deadline     time.Duration
	disconnectAt time.Duration // when the client disconnects; 0 means never
	promptTokens int
	answerTokens int           // actual length; schedulers only see the estimate in req.MaxTokens
	serviceTime  time.Duration // processing time at a plain service

	state        jobState
	target       int // index in the pool; -1 before the first dispatch
	runSeq       int // number of dispatches and stops; events scheduled under an earlier number are ignored
	dispatches   int
	resumed      bool
	late         bool // waits behind the requests of its tier that can still meet the objective
	engineEpoch  int  // epoch of the engine when it received the request
	atService    bool
	sequence     *sequence
	generated    int // answer tokens
	computed     int // prompt tokens computed and not counted as wasted
	startedAt    time.Duration
	firstTokenAt time.Duration
	lastTokenAt  time.Duration
	longGaps     int // gaps between tokens above maxInterTokenLatency
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

// ended reports whether the request was answered, refused or lost or its client
// has disconnected.
func (j *job) ended() bool { return j.state >= jobAnswered }

// meetsObjectives reports whether an answer completed at endedAt meets the
// objectives: the deadline and, unless the request is patient or ran at a plain
// service, maxTimeToFirstToken and maxInterTokenLatency, the latter for 95% of the
// gaps between tokens.
func (j *job) meetsObjectives(endedAt time.Duration) bool {
	if endedAt > j.deadline {
		return false
	}
	if j.req.Tier == request.Patient || j.atService {
		return true
	}
	return j.firstTokenAt-j.arrival <= maxTimeToFirstToken && j.longGaps*20 <= j.generated-1
}

// complete reports whether an engine has generated the last token of the answer.
func (j *job) complete() bool { return j.answerTokens > 0 && j.generated >= j.answerTokens }

// recomputedTokens returns the number of tokens that an engine with the given
// number of cached blocks of the prompt would compute again if it resumed the
// request now.
func (j *job) recomputedTokens(cachedBlocks int) int {
	return min(max(1, j.promptTokens-cachedBlocks*blockTokens), j.computed) + j.generated
}
