package bench

import "time"

// blockTokens is the number of prompt tokens in one cached block.
const blockTokens = 256

// gapLimit is the longest time between two tokens that meets the objective of
// section 1.5 of the design page.
const maxInterTokenLatency = 30 * time.Millisecond

// firstTokenLimit is the objective for the time to first token of urgent and
// interactive requests, from section 1.5 of the design page.
const maxTimeToFirstToken = 590 * time.Millisecond

// generation describes the speed and memory of one kind of accelerator. One
// batching step takes base + perSeq for each sequence that receives a token +
// perPrompt for each prompt token that the step computes.
type generation struct {
	name               string
	baseTime           time.Duration
	timePerSeq         time.Duration
	timePerPromptToken time.Duration
	maxChunkTokens     int // prompt tokens per step, at most
	maxSeqs            int // sequences per batch, at most
	maxKVTokens        int // tokens of all running sequences, at most
	cacheBlocks        int // prompt blocks kept for reuse
}

// generations are three hardware generations, the oldest first. In each, a
// step with a full chunk of prompt tokens meets gapLimit up to about two
// thirds of maxSeqs: an engine admits more than it can serve in time.
var generations = [3]generation{
	{"first", 16 * time.Millisecond, 800 * time.Microsecond, 50 * time.Microsecond, 128, 14, 50_000, 160},
	{"second", 13 * time.Millisecond, 600 * time.Microsecond, 35 * time.Microsecond, 192, 26, 100_000, 320},
	{"third", 10 * time.Millisecond, 450 * time.Microsecond, 20 * time.Microsecond, 320, 45, 200_000, 640},
}

// seqLimit returns the number of sequences up to which a step with a full
// chunk of prompt tokens meets gapLimit.
func (g *generation) seqLimit() int {
	rest := maxInterTokenLatency - g.baseTime - time.Duration(g.maxChunkTokens)*g.timePerPromptToken
	return int(rest / g.timePerSeq)
}

// rate returns how many requests per second the engine serves at seqLimit
// when a request computes prompt tokens and generates answer tokens on
// average. The prompt rate is limited by the chunk of each step.
func (g *generation) requestRate(prompt, answer float64) float64 {
	batch := float64(g.seqLimit())
	perStep := min(batch/answer*prompt, float64(g.maxChunkTokens)) // prompt tokens
	step := g.baseTime.Seconds() + batch*g.timePerSeq.Seconds() + perStep*g.timePerPromptToken.Seconds()
	return min(batch/answer, float64(g.maxChunkTokens)/prompt) / step
}
