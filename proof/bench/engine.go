package bench

import "time"

// engine is a fake of a model engine with continuous batching. It admits
// requests in arrival order and knows no priority. It computes prompts in
// chunks, one request after the other, beside the tokens of all requests whose
// prompt is complete.
type engine struct {
	id            int
	zone          int
	gen           *generation
	slowdown      float64 // factor on the duration of each step; 1 is nominal
	down          bool
	w             *world
	cache         *prefixCache
	queue         []*sequence
	running       []*sequence
	kvTokensUsed  int
	requestCount  int  // requests in queue and running
	pendingPrompt int  // prompt tokens still to compute, counted before cache hits while queued
	stepping      bool // a step is in progress
	epoch         int  // crashes so far; a step of an earlier epoch has no effect
}

// sequence is one request inside an engine.
type sequence struct {
	job             *job
	remainingPrompt int  // tokens still to compute before the next token
	reservedTokens  int  // tokens of memory
	decoding        bool // the prompt was complete before the step in progress
	cancelled       bool
}

// progressTokens is the number of tokens after which a host notes progress.
const tokensPerProgressReport = 8

// submit takes a request in. A resumed request continues after the tokens
// that it has generated already; the engine computes these again. A crash
// makes the engine forget the streams that it had.
func (e *engine) submit(j *job) {
	if j.resumed && j.engineEpoch != e.epoch {
		e.w.fail(j)
		return
	}
	j.engineEpoch = e.epoch
	s := &sequence{job: j, remainingPrompt: j.promptTokens + j.generated, reservedTokens: j.promptTokens + j.answerTokens}
	j.sequence = s
	e.queue = append(e.queue, s)
	e.requestCount++
	e.pendingPrompt += s.remainingPrompt
	if !e.stepping {
		e.step()
	}
}

// cancel stops a request, if it has not ended.
func (e *engine) cancel(j *job) {
	s := j.sequence
	if s == nil {
		return
	}
	s.cancelled = true
	j.sequence = nil
	e.requestCount--
	e.pendingPrompt -= s.remainingPrompt
}

// crash loses all requests and the cache until restore.
func (e *engine) crash() {
	e.down = true
	e.epoch++
	e.stepping = false
	hit := append(append([]*sequence(nil), e.running...), e.queue...)
	e.running, e.queue = nil, nil
	e.kvTokensUsed, e.requestCount, e.pendingPrompt = 0, 0, 0
	e.cache.clear()
	for _, s := range hit {
		if s.cancelled {
			continue
		}
		s.job.sequence = nil
		e.w.fail(s.job)
	}
}

func (e *engine) restore() { e.down = false }

func (e *engine) up() bool { return !e.down }

// admit moves waiting requests into the batch in arrival order.
func (e *engine) admit() {
	n := 0
	for _, s := range e.queue {
		if !s.cancelled {
			full := e.kvTokensUsed+s.reservedTokens > e.gen.maxKVTokens && len(e.running) > 0
			if full || len(e.running) >= e.gen.maxSeqs {
				break
			}
			e.start(s)
		}
		n++
	}
	e.queue = e.queue[n:]
}

// start looks up the cached part of the prompt and adds the request to the
// batch. The last block of a prompt may be shorter than blockTokens, so that
// at least one token is always computed.
func (e *engine) start(s *sequence) {
	j := s.job
	held := e.cache.match(j.req.Prefix)
	e.pendingPrompt -= s.remainingPrompt
	s.remainingPrompt = max(1, j.promptTokens-held*blockTokens) + j.generated
	e.pendingPrompt += s.remainingPrompt
	if j.resumed {
		again := j.recomputedTokens(held)
		e.w.meter.addWaste(wasteCancelled, again)
		j.computed -= again
	} else {
		missed := e.cache.holders.cachedElsewhere(j.req.Prefix, held)
		e.w.meter.addWaste(wasteCachedElsewhere, missed*blockTokens)
	}
	e.kvTokensUsed += s.reservedTokens
	e.running = append(e.running, s)
}

// step starts one batching step, or none when no request is present.
func (e *engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	budget, decodes := e.gen.maxChunkTokens, 0
	for _, s := range e.running {
		if s.cancelled {
			continue
		}
		if s.remainingPrompt == 0 {
			s.decoding = true
			decodes++
			continue
		}
		n := min(budget, s.remainingPrompt)
		s.remainingPrompt -= n
		s.job.computed += n
		e.pendingPrompt -= n
		budget -= n
	}
	started := e.epoch
	e.w.clk.after(e.stepDuration(decodes, e.gen.maxChunkTokens-budget), func() {
		if started == e.epoch {
			e.finishStep()
		}
	})
}

// stepTime returns the duration of a step that emits one token for each of
// decodes sequences and computes prompt tokens.
func (e *engine) stepDuration(decodes, prompt int) time.Duration {
	d := e.gen.baseTime + time.Duration(decodes)*e.gen.timePerSeq + time.Duration(prompt)*e.gen.timePerPromptToken
	return time.Duration(float64(d) * e.slowdown)
}

// endStep emits the tokens of the step and starts the next one.
func (e *engine) finishStep() {
	kept := e.running[:0]
	for _, s := range e.running {
		if e.advance(s) {
			kept = append(kept, s)
		} else {
			e.kvTokensUsed -= s.reservedTokens
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.step()
}

// advance emits the token of one sequence, if it has one, and reports whether
// the sequence stays in the batch.
func (e *engine) advance(s *sequence) bool {
	if s.cancelled {
		return false
	}
	if s.remainingPrompt > 0 {
		return true
	}
	j := s.job
	if !s.decoding {
		e.cache.insert(j.req.Prefix)
	}
	e.w.token(j, s.decoding)
	if j.generated < j.answerTokens {
		return true
	}
	j.sequence = nil
	e.requestCount--
	e.w.answered(j)
	return false
}

// load returns what the engine knows about its work: it estimates answers in
// the same way as the host does.
func (e *engine) currentLoad() targetLoad {
	l := targetLoad{at: e.w.clk.now}
	for _, s := range e.running {
		if !s.cancelled {
			l.running++
			l.tokens += s.remainingPrompt + max(1, s.job.req.MaxTokens-s.job.generated)
		}
	}
	for _, s := range e.queue {
		if !s.cancelled {
			l.waiting++
			l.tokens += s.remainingPrompt + max(1, s.job.req.MaxTokens-s.job.generated)
		}
	}
	return l
}
