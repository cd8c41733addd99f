package bench

import "time"

// engine is a fake of a model engine with continuous batching and chunked
// prefill. It admits requests in arrival order, without priorities. Each step
// computes one chunk of prompt tokens, request by request, and one token of
// each request whose prompt is complete.
type engine struct {
	id            int
	zone          int
	generation    *generation
	slowdown      float64 // factor on the duration of each step; 1 is full speed
	down          bool
	w             *world
	cache         *prefixCache
	queue         []*sequence
	running       []*sequence
	kvTokensUsed  int
	requestCount  int  // requests queued and running
	pendingPrompt int  // prompt tokens still to compute; cache hits are not deducted while queued
	stepping      bool // a step is in progress
	epoch         int  // number of crashes; the end of a step of an earlier epoch is ignored
}

// sequence is one request inside an engine.
type sequence struct {
	job             *job
	remainingPrompt int  // tokens still to compute before the next token
	reservedTokens  int  // tokens of KV memory
	decoding        bool // the prompt was complete before the current step
	cancelled       bool
}

// tokensPerProgressReport is the number of tokens after which a host records
// progress.
const tokensPerProgressReport = 8

// submit queues a request. A resumed request continues after the tokens already
// generated, for which the engine recomputes the KV cache. A crash discards all
// streams, so that a request dispatched before it cannot be resumed and fails.
func (e *engine) submit(j *job) {
	if j.resumed && j.engineEpoch != e.epoch {
		e.w.fail(j)
		return
	}
	j.engineEpoch = e.epoch
	s := &sequence{
		job: j, remainingPrompt: j.promptTokens + j.generated,
		reservedTokens: j.promptTokens + j.answerTokens,
	}
	j.sequence = s
	e.queue = append(e.queue, s)
	e.requestCount++
	e.pendingPrompt += s.remainingPrompt
	if !e.stepping {
		e.step()
	}
}

// cancel removes a request that has not ended.
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

// crash fails all requests, clears the cache and rejects requests until restore.
func (e *engine) crash() {
	e.down = true
	e.epoch++
	e.stepping = false
	lost := append(append([]*sequence(nil), e.running...), e.queue...)
	e.running, e.queue = nil, nil
	e.kvTokensUsed, e.requestCount, e.pendingPrompt = 0, 0, 0
	e.cache.clear()
	for _, s := range lost {
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
			kvFull := e.kvTokensUsed+s.reservedTokens > e.generation.maxKVTokens && len(e.running) > 0
			if kvFull || len(e.running) >= e.generation.maxSeqs {
				break
			}
			e.start(s)
		}
		n++
	}
	e.queue = e.queue[n:]
}

// start looks up the prompt in the cache and adds the request to the batch. At
// least one prompt token is computed, even if all blocks are cached.
func (e *engine) start(s *sequence) {
	j := s.job
	cachedBlocks := e.cache.match(j.req.Prefix)
	e.pendingPrompt -= s.remainingPrompt
	s.remainingPrompt = max(1, j.promptTokens-cachedBlocks*blockTokens) + j.generated
	e.pendingPrompt += s.remainingPrompt
	if j.resumed {
		recomputed := j.recomputedTokens(cachedBlocks)
		e.w.meter.addWaste(wasteCancelled, recomputed)
		j.computed -= recomputed
	} else {
		missedBlocks := e.cache.holders.cachedElsewhere(j.req.Prefix, cachedBlocks)
		e.w.meter.addWaste(wasteCachedElsewhere, missedBlocks*blockTokens)
	}
	e.kvTokensUsed += s.reservedTokens
	e.running = append(e.running, s)
}

// step starts the next batching step. It does nothing if the batch is empty.
func (e *engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	budget, decodes := e.generation.maxChunkTokens, 0
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
	epoch := e.epoch
	e.w.clk.after(e.stepDuration(decodes, e.generation.maxChunkTokens-budget), func() {
		if epoch == e.epoch {
			e.finishStep()
		}
	})
}

// stepDuration returns the duration of a step that generates one token for each
// of decodes sequences and computes the given number of prompt tokens.
func (e *engine) stepDuration(decodes, prompt int) time.Duration {
	d := e.generation.baseTime + time.Duration(decodes)*e.generation.timePerSeq +
		time.Duration(prompt)*e.generation.timePerPromptToken
	return time.Duration(float64(d) * e.slowdown)
}

// finishStep emits the tokens of the step and starts the next step.
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

// currentLoad returns the load that the engine reports. The length of answers is
// estimated from MaxTokens, as on the hosts.
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
