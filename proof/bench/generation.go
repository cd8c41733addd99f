package bench

import "time"

// blockTokens is the number of prompt tokens in one cached block.
const blockTokens = 256

// maxInterTokenLatency is the objective for the time between two tokens, from
// section 1.5 of docs/design.md.
const maxInterTokenLatency = 30 * time.Millisecond

// maxTimeToFirstToken is the objective for the time to first token of urgent and
// interactive requests, from section 1.5 of docs/design.md.
const maxTimeToFirstToken = 590 * time.Millisecond

// generation describes the speed and memory of one hardware generation. A
// batching step takes baseTime, timePerSeq for each generated token and
// timePerPromptToken for each computed prompt token.
type generation struct {
	name               string
	baseTime           time.Duration
	timePerSeq         time.Duration
	timePerPromptToken time.Duration
	maxChunkTokens     int // prompt tokens per step
	maxSeqs            int // sequences per batch
	maxKVTokens        int // tokens of all running sequences
	cacheBlocks        int // capacity of the prefix cache
}

// generations are three hardware generations, oldest first. In each, a step with
// a full chunk of prompt tokens meets maxInterTokenLatency up to about two thirds
// of maxSeqs: an engine admits more requests than it can serve in time.
var generations = [3]generation{
	{"first", 16 * time.Millisecond, 800 * time.Microsecond, 50 * time.Microsecond, 128, 14, 50_000, 160},
	{"second", 13 * time.Millisecond, 600 * time.Microsecond, 35 * time.Microsecond, 192, 26, 100_000, 320},
	{"third", 10 * time.Millisecond, 450 * time.Microsecond, 20 * time.Microsecond, 320, 45, 200_000, 640},
}

// seqLimit returns the largest number of sequences for which a step with a full
// chunk of prompt tokens meets maxInterTokenLatency.
func (g *generation) seqLimit() int {
	decodeTime := maxInterTokenLatency - g.baseTime - time.Duration(g.maxChunkTokens)*g.timePerPromptToken
	return int(decodeTime / g.timePerSeq)
}

// requestRate returns the requests per second that an engine serves with seqLimit
// sequences, for the given mean numbers of computed prompt tokens and of answer
// tokens per request. maxChunkTokens limits the prompt tokens of each step.
func (g *generation) requestRate(prompt, answer float64) float64 {
	batch := float64(g.seqLimit())
	perStep := min(batch/answer*prompt, float64(g.maxChunkTokens)) // prompt tokens
	step := g.baseTime.Seconds() + batch*g.timePerSeq.Seconds() + perStep*g.timePerPromptToken.Seconds()
	return min(batch/answer, float64(g.maxChunkTokens)/prompt) / step
}
