package trial

import (
	"context"
	"fmt"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/moves"
	"sardinefront.dev/moves/steer"
	"sardinefront.dev/platform"
	"sardinefront.dev/platform/memkv"
)

// host is one entry host with its tracker and controller.
type host struct {
	f          *fleet
	index      int
	name       string
	tracker    *moves.Tracker
	controller *moves.Controller
	reports    []steer.Report

	partitioned  bool // reaches neither the store nor peers
	partitionEnd time.Time
	dead         bool
	pausedUntil  time.Time
	// pauseInLoad stops the host in its next control command.
	pauseAtNextLoad bool
	ticks           int
}

func newHost(f *fleet, i int) *host {
	h := &host{f: f, index: i, name: fmt.Sprintf("h%d", i)}
	h.tracker = moves.NewTracker(h.name)
	if f.c.Ablation.UngroupedSamples {
		h.tracker = moves.NewUngroupedTracker(h.name)
	}
	h.controller = moves.NewController(moves.Config{
		Pool: pool, Model: pool, Host: h.name, KV: &hostStore{h}, Weights: f, Loader: h, Tracker: h.tracker,
		Now: func() time.Time { return f.now }, TargetsFenced: f.c.Fenced || f.c.Ablation.NoPredecessorWait, LoadTime: f.c.LoadTime,
		Rules:       func() []steer.Move { return f.rules },
		Targets:     f.targetList,
		IsCandidate: func() bool { return h.index < 3 },
		OnReport: func(_ event.Event, r steer.Report) {
			h.reports = append(h.reports, r)
			f.res.recordReport(f, r)
		},
	})
	return h
}

// Load implements moves.Loader.
func (h *host) Load(_ context.Context, name string, o moves.LoadCommand) error {
	delay := 20 * time.Millisecond
	if h.pauseAtNextLoad {
		h.pauseAtNextLoad = false
		delay = 11 * time.Second
		h.pausedUntil = h.f.now.Add(45 * time.Second)
	}
	h.f.after(delay, func() { h.f.load(name, o) })
	return nil
}

func (f *fleet) targetList() []steer.Target {
	out := make([]steer.Target, 0, len(f.targets))
	for _, t := range f.targets {
		out = append(out, t.Target)
	}
	return out
}

// tick is the host's second: the check and the controller, and every other
// second a digest and the state to one peer.
func (h *host) tick() {
	f := h.f
	if h.dead {
		return
	}
	if f.now.Before(h.pausedUntil) {
		f.schedule(h.pausedUntil, h.tick)
		return
	}
	f.after(time.Second, h.tick)
	h.ticks++
	if !f.c.Ablation.NoEvaluation && (h.ticks+h.index*f.c.EvaluationSeconds/f.c.Hosts)%f.c.EvaluationSeconds == 0 {
		for _, halt := range h.tracker.Evaluate(f.now) {
			f.res.recordHalt(f, h, halt)
			h.broadcast(halt)
		}
	}
	if h.partitioned {
		return
	}
	for _, halt := range h.tracker.PendingHalts() {
		h.send(f.hosts[f.rnd.IntN(len(f.hosts))], halt)
	}
	if h.ticks%2 == 0 {
		h.gossip(f.hosts[f.rnd.IntN(len(f.hosts))])
	}
	h.controller.Tick(context.Background())
	f.res.observeState(f, h)
}

// gossip sends the digest and the state to a peer.
func (h *host) gossip(p *host) {
	f := h.f
	if p == h || p.partitioned || p.dead {
		return
	}
	b, err := h.tracker.Digest(pool, f.now, 1500)
	if err != nil {
		f.res.Errors++
		return
	}
	f.res.recordDigestSize(len(b))
	s, _, err := h.tracker.EncodedState(pool)
	if err != nil {
		f.res.Errors++
	}
	f.after(f.messageDelay(), func() {
		if len(b) > 0 && p.tracker.MergeDigest(b, f.now) != nil {
			f.res.Errors++
		}
		if len(s) == 0 {
			return
		}
		if _, err := p.tracker.ApplyEncodedState(pool, s, f.now); err != nil {
			f.res.Errors++
		}
	})
}

func (f *fleet) messageDelay() time.Duration {
	return time.Duration(20+f.rnd.IntN(180)) * time.Millisecond
}

// broadcast sends a halt to all peers three times, 300 ms apart.
func (h *host) broadcast(halt moves.Halt) {
	if h.f.c.Ablation.NoHalts {
		return
	}
	for i := range 3 {
		h.f.after(time.Duration(i)*300*time.Millisecond, func() {
			for _, p := range h.f.hosts {
				h.send(p, halt)
			}
		})
	}
}

// send delivers a halt; 5% of the messages are lost.
func (h *host) send(p *host, halt moves.Halt) {
	f := h.f
	if h.f.c.Ablation.NoHalts || p == h || h.partitioned || p.partitioned || h.dead || p.dead || f.rnd.Float64() < 0.05 {
		return
	}
	f.after(f.messageDelay(), func() {
		if p.tracker.ApplyHalt(halt) {
			p.broadcast(halt)
		}
	})
}

// store is the platform's store with outages and lost answers.
type store struct {
	f    *fleet
	kv   *memkv.Store
	down bool
	// lose is the share of writes whose answer is lost.
	lostAnswerShare float64
}

// hostStore is the store as one host reaches it.
type hostStore struct{ h *host }

func (s *hostStore) unavailable() error {
	if s.h.partitioned || s.h.f.store.down {
		return platform.ErrUnavailable
	}
	return nil
}

func (s *hostStore) answerLost() bool { return s.h.f.rnd.Float64() < s.h.f.store.lostAnswerShare }

func (s *hostStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.unavailable(); err != nil {
		return platform.Entry{}, err
	}
	return s.h.f.store.kv.Get(ctx, key)
}

func (s *hostStore) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	if err := s.unavailable(); err != nil {
		return nil, err
	}
	return s.h.f.store.kv.List(ctx, prefix)
}

func (s *hostStore) CompareAndSwap(ctx context.Context, key string, v []byte, prev int64, l platform.LeaseID) (int64, error) {
	if err := s.unavailable(); err != nil {
		return 0, err
	}
	rev, err := s.h.f.store.kv.CompareAndSwap(ctx, key, v, prev, l)
	if err == nil && s.answerLost() {
		return 0, platform.ErrNoAnswer
	}
	return rev, err
}

func (s *hostStore) Delete(ctx context.Context, key string, prev int64) error {
	if err := s.unavailable(); err != nil {
		return err
	}
	return s.h.f.store.kv.Delete(ctx, key, prev)
}

func (s *hostStore) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.unavailable(); err != nil {
		return 0, err
	}
	return s.h.f.store.kv.Grant(ctx, ttl)
}

func (s *hostStore) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if err := s.unavailable(); err != nil {
		return err
	}
	return s.h.f.store.kv.KeepAlive(ctx, id)
}

func (s *hostStore) Revoke(ctx context.Context, id platform.LeaseID) error {
	if err := s.unavailable(); err != nil {
		return err
	}
	return s.h.f.store.kv.Revoke(ctx, id)
}

func (s *hostStore) Watch(ctx context.Context, prefix string, after int64) ([]platform.Entry, int64, error) {
	return s.h.f.store.kv.Watch(ctx, prefix, after)
}
