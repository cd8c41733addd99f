package simulate

import (
	"context"
	"fmt"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/moves"
	"sardinefront.dev/moves/control"
	"sardinefront.dev/platform"
	"sardinefront.dev/platform/memkv"
)

// host is one entry host with its tracker and controller.
type host struct {
	fleet      *fleet
	index      int
	name       string
	tracker    *moves.Tracker
	controller *moves.Controller
	reports    []control.Report

	partitioned  bool // cannot reach the store and the peers
	partitionEnd time.Time
	dead         bool
	pausedUntil  time.Time
	// pauseAtNextLoad pauses the host during its next control command.
	pauseAtNextLoad bool
	ticks           int
}

func newHost(f *fleet, i int) *host {
	h := &host{fleet: f, index: i, name: fmt.Sprintf("h%d", i)}
	h.tracker = moves.NewTracker(h.name)
	if f.cfg.Ablation.UngroupedSamples {
		h.tracker = moves.NewUngroupedTracker(h.name)
	}
	h.controller = moves.NewController(moves.Config{
		Pool: pool, Model: pool, Host: h.name, KV: &hostStore{h}, Weights: f, Loader: h, Tracker: h.tracker,
		Now: func() time.Time { return f.now }, TargetsFenced: f.cfg.Fenced || f.cfg.Ablation.NoPredecessorWait, LoadTime: f.cfg.LoadTime,
		Rules:       func() []control.Move { return f.rules },
		Targets:     f.targetList,
		IsCandidate: func() bool { return h.index < 3 },
		OnReport: func(_ event.Event, r control.Report) {
			h.reports = append(h.reports, r)
			f.result.recordReport(f, r)
		},
	})
	return h
}

// Load implements moves.Loader.
func (h *host) Load(_ context.Context, name string, command moves.LoadCommand) error {
	delay := 20 * time.Millisecond
	if h.pauseAtNextLoad {
		h.pauseAtNextLoad = false
		delay = 11 * time.Second
		h.pausedUntil = h.fleet.now.Add(45 * time.Second)
	}
	h.fleet.after(delay, func() { h.fleet.deliverCommand(name, command) })
	return nil
}

func (f *fleet) targetList() []control.Target {
	out := make([]control.Target, 0, len(f.targets))
	for _, t := range f.targets {
		out = append(out, t.Target)
	}
	return out
}

// tick runs every second. It evaluates the versions if due, sends halts and runs
// the controller. Every other second it sends a digest and the state to one peer.
func (h *host) tick() {
	f := h.fleet
	if h.dead {
		return
	}
	if f.now.Before(h.pausedUntil) {
		f.schedule(h.pausedUntil, h.tick)
		return
	}
	f.after(time.Second, h.tick)
	h.ticks++
	if !f.cfg.Ablation.NoEvaluation && (h.ticks+h.index*f.cfg.EvaluationSeconds/f.cfg.Hosts)%f.cfg.EvaluationSeconds == 0 {
		for _, halt := range h.tracker.Evaluate(f.now) {
			f.result.recordHalt(f, h, halt)
			h.broadcastHalt(halt)
		}
	}
	if h.partitioned {
		return
	}
	for _, halt := range h.tracker.PendingHalts() {
		h.sendHalt(f.hosts[f.rnd.IntN(len(f.hosts))], halt)
	}
	if h.ticks%2 == 0 {
		h.gossip(f.hosts[f.rnd.IntN(len(f.hosts))])
	}
	h.controller.Tick(context.Background())
	f.result.observeState(f, h)
}

// gossip sends the digest and the state to a peer.
func (h *host) gossip(peer *host) {
	f := h.fleet
	if peer == h || peer.partitioned || peer.dead {
		return
	}
	digest, err := h.tracker.Digest(pool, f.now, 1500)
	if err != nil {
		f.result.Errors++
		return
	}
	f.result.recordDigestSize(len(digest))
	state, _, err := h.tracker.EncodedState(pool)
	if err != nil {
		f.result.Errors++
	}
	f.after(f.messageDelay(), func() {
		if len(digest) > 0 && peer.tracker.MergeDigest(digest, f.now) != nil {
			f.result.Errors++
		}
		if len(state) == 0 {
			return
		}
		if _, err := peer.tracker.ApplyEncodedState(pool, state, f.now); err != nil {
			f.result.Errors++
		}
	})
}

func (f *fleet) messageDelay() time.Duration {
	return time.Duration(20+f.rnd.IntN(180)) * time.Millisecond
}

// broadcastHalt sends a halt to all peers three times, 300 ms apart.
func (h *host) broadcastHalt(halt moves.Halt) {
	if h.fleet.cfg.Ablation.NoHalts {
		return
	}
	for i := range 3 {
		h.fleet.after(time.Duration(i)*300*time.Millisecond, func() {
			for _, peer := range h.fleet.hosts {
				h.sendHalt(peer, halt)
			}
		})
	}
}

// sendHalt delivers a halt to a peer. 5% of the messages are lost.
func (h *host) sendHalt(peer *host, halt moves.Halt) {
	f := h.fleet
	if h.fleet.cfg.Ablation.NoHalts || peer == h || h.partitioned || peer.partitioned || h.dead || peer.dead || f.rnd.Float64() < 0.05 {
		return
	}
	f.after(f.messageDelay(), func() {
		if peer.tracker.ApplyHalt(halt) {
			peer.broadcastHalt(halt)
		}
	})
}

// store simulates the platform's store with outages and lost responses.
type store struct {
	fleet *fleet
	kv    *memkv.Store
	down  bool
	// lostResponseShare is the share of writes whose response is lost, 0 to 1.
	lostResponseShare float64
}

// hostStore is the connection of one host to the store.
type hostStore struct{ host *host }

func (s *hostStore) unavailable() error {
	if s.host.partitioned || s.host.fleet.store.down {
		return platform.ErrUnavailable
	}
	return nil
}

func (s *hostStore) answerLost() bool {
	return s.host.fleet.rnd.Float64() < s.host.fleet.store.lostResponseShare
}

func (s *hostStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.unavailable(); err != nil {
		return platform.Entry{}, err
	}
	return s.host.fleet.store.kv.Get(ctx, key)
}

func (s *hostStore) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	if err := s.unavailable(); err != nil {
		return nil, err
	}
	return s.host.fleet.store.kv.List(ctx, prefix)
}

func (s *hostStore) CompareAndSwap(ctx context.Context, key string, v []byte, prev int64, l platform.LeaseID) (int64, error) {
	if err := s.unavailable(); err != nil {
		return 0, err
	}
	rev, err := s.host.fleet.store.kv.CompareAndSwap(ctx, key, v, prev, l)
	if err == nil && s.answerLost() {
		return 0, platform.ErrOutcomeUnknown
	}
	return rev, err
}

func (s *hostStore) Delete(ctx context.Context, key string, prev int64) error {
	if err := s.unavailable(); err != nil {
		return err
	}
	return s.host.fleet.store.kv.Delete(ctx, key, prev)
}

func (s *hostStore) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.unavailable(); err != nil {
		return 0, err
	}
	return s.host.fleet.store.kv.Grant(ctx, ttl)
}

func (s *hostStore) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if err := s.unavailable(); err != nil {
		return err
	}
	return s.host.fleet.store.kv.KeepAlive(ctx, id)
}

func (s *hostStore) Revoke(ctx context.Context, id platform.LeaseID) error {
	if err := s.unavailable(); err != nil {
		return err
	}
	return s.host.fleet.store.kv.Revoke(ctx, id)
}

func (s *hostStore) Watch(ctx context.Context, prefix string, after int64) ([]platform.Entry, int64, error) {
	return s.host.fleet.store.kv.Watch(ctx, prefix, after)
}
