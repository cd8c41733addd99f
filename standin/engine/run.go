package engine

import (
	"context"
	"sync"
	"time"

	"sardinefront.dev/core/wait"
	"sardinefront.dev/target"
)

// batch holds the engine's slots, which requests acquire in order of arrival, and its
// load.
type batch struct {
	slots       chan struct{}
	prefillSlot chan struct{}

	mu                                sync.Mutex
	running, waiting, remainingTokens int
}

func newBatch(slots int) *batch {
	return &batch{slots: make(chan struct{}, slots), prefillSlot: make(chan struct{}, 1)}
}

func (b *batch) load() (running, waiting, remainingTokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, b.waiting, b.remainingTokens
}

func (b *batch) addLoad(running, waiting, remainingTokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running += running
	b.waiting += waiting
	b.remainingTokens += remainingTokens
}

// run is the execution of one request. It continues when the connection is closed.
type run struct {
	id, version  string
	chat         bool
	output       outputText
	prefixes     []uint64
	promptTokens int
	slowFactor   float64 // factor on all durations
	startDelay   time.Duration

	mu             sync.Mutex
	tokensProduced int
	active         bool // a goroutine generates tokens
	cancelRun      context.CancelFunc
	endedAt        time.Time     // end of the last active period
	changed        chan struct{} // closed and replaced on each change
}

func newRun(id, prompt string, chat bool, maxTokens int, version string) *run {
	return &run{
		id: id, version: version, chat: chat, slowFactor: 1,
		output:       newOutputText(id, prompt, maxTokens),
		prefixes:     target.PrefixHashes([]byte(prompt)),
		promptTokens: PromptTokens(prompt),
		changed:      make(chan struct{}),
	}
}

// startRun generates the remaining tokens in the background. It does nothing if the
// run is active or complete.
func (s *Server) startRun(r *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active || r.tokensProduced == r.output.tokenCount {
		return
	}
	ctx, cancel := context.WithCancel(s.Context())
	r.active, r.cancelRun = true, cancel
	s.Go(func() {
		defer cancel()
		s.executeRun(ctx, r)
		r.markEnded()
	})
}

// executeRun waits for a slot, processes the prompt and generates the tokens.
func (s *Server) executeRun(ctx context.Context, r *run) {
	offset, _ := r.state()
	tokens := r.promptTokens + r.output.tokenCount - offset
	s.batch.addLoad(0, 1, tokens)
	defer s.batch.addLoad(0, 0, -tokens)
	if !acquire(ctx, s.batch.slots) {
		s.batch.addLoad(0, -1, 0)
		return
	}
	s.batch.addLoad(1, -1, 0)
	defer func() {
		s.batch.addLoad(-1, 0, 0)
		<-s.batch.slots
	}()
	if !wait.Sleep(ctx, r.startDelay) || !s.prefill(ctx, r) {
		return
	}
	s.generate(ctx, r, offset)
}

// prefill simulates the computation of the part of the prompt that is not cached. It
// reports whether it finished before ctx ended.
func (s *Server) prefill(ctx context.Context, r *run) bool {
	if !acquire(ctx, s.batch.prefillSlot) {
		return false
	}
	defer func() { <-s.batch.prefillSlot }()
	cached := s.cache.lookupAndStore(r.prefixes) * target.PromptBlockBytes / 4
	missing := max(0, r.promptTokens-cached)
	s.stats.prefilled.Add(int64(missing))
	s.stats.cached.Add(int64(r.promptTokens - missing))
	return wait.Sleep(ctx, secondsToDuration(r.slowFactor*float64(missing)/s.cfg.PrefillTokensPerSecond))
}

// generate emits tokens on a fixed schedule, so that late timers do not lower
// the token rate.
func (s *Server) generate(ctx context.Context, r *run, offset int) {
	dueAt := time.Now()
	for range r.output.tokenCount - offset {
		running, _, _ := s.batch.load()
		factor := 1 + s.cfg.FullBatchSlowdown*float64(running)/float64(s.cfg.Slots)
		dueAt = dueAt.Add(secondsToDuration(r.slowFactor * factor / s.cfg.TokensPerSecond))
		if !wait.Sleep(ctx, time.Until(dueAt)) {
			return
		}
		s.stats.generated.Add(1)
		r.addToken()
	}
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func acquire(ctx context.Context, sem chan struct{}) bool {
	select {
	case sem <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) addToken() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokensProduced++
	r.notifyWaiters()
}

func (r *run) markEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active = false
	r.endedAt = time.Now()
	r.notifyWaiters()
}

func (r *run) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// cancel stops the generation and returns when the slot is free. startRun does nothing
// while a run is active, so a resume that follows the cancellation would otherwise not
// restart it.
func (r *run) cancel(ctx context.Context) {
	r.mu.Lock()
	if r.cancelRun != nil {
		r.cancelRun()
	}
	r.mu.Unlock()
	for {
		r.mu.Lock()
		active, changed := r.active, r.changed
		r.mu.Unlock()
		if !active {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (r *run) state() (produced int, active bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokensProduced, r.active
}

// waitForToken waits until the token at index has been generated. It reports false if
// the run stops or ctx ends first.
func (r *run) waitForToken(ctx context.Context, index int) bool {
	for {
		r.mu.Lock()
		produced, active, changed := r.tokensProduced, r.active, r.changed
		r.mu.Unlock()
		if produced > index {
			return true
		}
		if !active {
			return false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (r *run) endedBefore(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.active && !r.endedAt.IsZero() && r.endedAt.Before(t)
}
