package engine

import (
	"context"
	"sync"
	"time"

	"sardinefront.dev/target"
)

// batch is the engine's slots. Requests take them in order of arrival.
type batch struct {
	slots   chan struct{}
	prefill chan struct{}

	mu                       sync.Mutex
	running, waiting, tokens int
}

func newBatch(slots int) *batch {
	return &batch{slots: make(chan struct{}, slots), prefill: make(chan struct{}, 1)}
}

func (b *batch) load() (running, waiting, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, b.waiting, b.tokens
}

func (b *batch) count(running, waiting, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running += running
	b.waiting += waiting
	b.tokens += tokens
}

// run is one request. It goes on without a connection.
type run struct {
	id, version  string
	chat         bool
	text         text
	prefixes     []uint64
	promptTokens int
	slow         float64 // factor on all durations
	delay        time.Duration

	mu       sync.Mutex
	produced int
	active   bool // a goroutine produces tokens
	stop     context.CancelFunc
	ended    time.Time     // when it was last active
	changed  chan struct{} // closed on each change
}

func newRun(id, prompt string, chat bool, maxTokens int, version string) *run {
	return &run{
		id: id, version: version, chat: chat, slow: 1,
		text:         newText(id, prompt, maxTokens),
		prefixes:     target.PrefixHashes([]byte(prompt)),
		promptTokens: PromptTokens(prompt),
		changed:      make(chan struct{}),
	}
}

// start produces the remaining tokens in the background unless that is already
// going on.
func (s *Server) start(r *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active || r.produced == r.text.count {
		return
	}
	ctx, stop := context.WithCancel(s.Context())
	r.active, r.stop = true, stop
	s.Go(func() {
		defer stop()
		s.produce(ctx, r)
		r.end()
	})
}

// produce waits for a slot, processes the prompt and generates the tokens.
func (s *Server) produce(ctx context.Context, r *run) {
	from, _ := r.state()
	cost := r.promptTokens + r.text.count - from
	s.batch.count(0, 1, cost)
	defer s.batch.count(0, 0, -cost)
	if !acquire(ctx, s.batch.slots) {
		s.batch.count(0, -1, 0)
		return
	}
	s.batch.count(1, -1, 0)
	defer func() {
		s.batch.count(-1, 0, 0)
		<-s.batch.slots
	}()
	if !pause(ctx, r.delay) || !s.process(ctx, r) {
		return
	}
	s.generate(ctx, r, from)
}

// process computes the part of the prompt that is not cached.
func (s *Server) process(ctx context.Context, r *run) bool {
	if !acquire(ctx, s.batch.prefill) {
		return false
	}
	defer func() { <-s.batch.prefill }()
	cached := s.cache.use(r.prefixes) * target.PromptBlockBytes / 4
	missing := max(0, r.promptTokens-cached)
	s.stats.Prefilled.Add(int64(missing))
	s.stats.Cached.Add(int64(r.promptTokens - missing))
	return pause(ctx, seconds(r.slow*float64(missing)/s.cfg.PrefillTokensPerSecond))
}

// generate emits tokens on a fixed schedule, so that late timers do not lower
// the rate.
func (s *Server) generate(ctx context.Context, r *run, from int) {
	due := time.Now()
	for range r.text.count - from {
		running, _, _ := s.batch.load()
		factor := 1 + s.cfg.FullBatchSlowdown*float64(running)/float64(s.cfg.Slots)
		due = due.Add(seconds(r.slow * factor / s.cfg.TokensPerSecond))
		if !pause(ctx, time.Until(due)) {
			return
		}
		s.stats.Generated.Add(1)
		r.advance()
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func acquire(ctx context.Context, sem chan struct{}) bool {
	select {
	case sem <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) advance() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.produced++
	r.notify()
}

func (r *run) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active = false
	r.ended = time.Now()
	r.notify()
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// cancel stops the production of tokens and returns when the slot is free, so
// that a resume that follows starts it again.
func (r *run) cancel(ctx context.Context) {
	r.mu.Lock()
	if r.stop != nil {
		r.stop()
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
	return r.produced, r.active
}

// await waits until more than n tokens are there, and returns false if the run
// has stopped before that.
func (r *run) await(ctx context.Context, n int) bool {
	for {
		r.mu.Lock()
		produced, active, changed := r.produced, r.active, r.changed
		r.mu.Unlock()
		if produced > n {
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
	return !r.active && !r.ended.IsZero() && r.ended.Before(t)
}
