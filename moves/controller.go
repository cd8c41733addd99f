package moves

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/moves/steer"
	"sardinefront.dev/platform"
)

// Order is a control command to a target.
type LoadCommand struct {
	Model, Version string
	// Fence is the fencing number; a fenced target rejects a smaller one than
	// it has seen.
	FencingToken int64
}

// Loader sends control commands. Load returns once the target has accepted the
// command; the load is finished when the target list shows the version. It must
// send nothing after ctx has ended.
type Loader interface {
	Load(ctx context.Context, target string, o LoadCommand) error
}

// Config holds what a controller needs. All fields without a default are
// required.
type Config struct {
	Pool, Model string
	// Host names this host and its incarnation.
	Host    string
	KV      platform.KV
	Weights platform.Weights
	Loader  Loader
	Tracker *Tracker
	// Now returns the time with a monotonic reading.
	Now func() time.Time
	// Moves returns the pool's move rules in file order.
	Rules func() []steer.Move
	// Targets returns the pool's targets with the version each one serves.
	Targets func() []steer.Target
	// Candidate reports whether this host may run the controller. It limits the
	// store's load to a few hosts; safety does not depend on it.
	IsCandidate func() bool
	// Fenced says whether the pool's targets reject stale fencing numbers.
	TargetsFenced bool
	// TTL of the lease, default 10 s. CommandTimeout, default 2 s, bounds each
	// store call and control command.
	LeaseTTL, CommandTimeout time.Duration
	// LoadTime is the estimate for one load until the weight store has answered,
	// default 1 min.
	LoadTime time.Duration
	// OnReport receives each report with its log event; may be nil.
	OnReport func(event.Event, steer.Report)
	// Count receives the outcome for telemetry.Metrics.Move; may be nil.
	CountOutcome func(outcome string)
	// OnError receives failures that are tried again; may be nil.
	OnError func(error)
}

// order identifies a control command that was sent in this term.
type order struct {
	load steer.PendingLoad
	at   time.Time
}

// Controller runs the moves of one pool on one host. Of all hosts' controllers
// at most one holds the lease. It is not safe for concurrent use.
type Controller struct {
	cfg      Config
	term     *term
	retry    time.Time
	known    bool // state and revision are current as far as this host knows
	state    steer.State
	revision int64
	loadTime time.Duration
	sent     order
}

// NewController returns a controller. Call Tick every second.
func NewController(cfg Config) *Controller {
	if cfg.LeaseTTL == 0 {
		cfg.LeaseTTL = 10 * time.Second
	}
	if cfg.CommandTimeout == 0 {
		cfg.CommandTimeout = 2 * time.Second
	}
	if cfg.LoadTime == 0 {
		cfg.LoadTime = time.Minute
	}
	return &Controller{cfg: cfg, loadTime: cfg.LoadTime}
}

// Holds reports whether this host holds the pool's lease now.
func (c *Controller) HoldsLease() bool { return c.valid() }

// Tick does what is due: it acquires or renews the lease, takes the next step,
// and repeats an outstanding control command. Without the store it does
// nothing, so that shares stay as they are.
func (c *Controller) Tick(ctx context.Context) {
	if c.term == nil && c.cfg.IsCandidate != nil && !c.cfg.IsCandidate() {
		return
	}
	if !c.hold(ctx) {
		return
	}
	if !c.known && !c.read(ctx) {
		return
	}
	next, reports := steer.Next(c.state, c.input())
	if !c.write(ctx, next) {
		return
	}
	c.cfg.Tracker.ApplyState(c.cfg.Pool, c.state, c.cfg.Now())
	c.emit(reports)
	c.command(ctx)
}

// Close gives the lease up, so that a successor need not wait for its expiry.
func (c *Controller) Close(ctx context.Context) {
	if !c.valid() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	if err := c.cfg.KV.Revoke(ctx, c.term.lease); err != nil {
		c.note(err)
	}
	c.drop()
}

func (c *Controller) input() steer.Input {
	v := c.cfg.Tracker.LastEvaluation(c.cfg.Pool)
	return steer.Input{
		Now: c.cfg.Now().Round(0).UTC(), Rules: c.cfg.Rules(), Targets: c.cfg.Targets(),
		Verdict: v.Verdict, HaltReason: v.HaltReason, UrgentShare: v.UrgentShare, LoadTime: c.loadTime,
	}
}

// read fetches the state. A greater fencing number in it than this host's means
// that another controller has taken over.
func (c *Controller) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	e, err := c.cfg.KV.Get(ctx, c.stateKey())
	switch {
	case errors.Is(err, platform.ErrNotFound):
		c.state, c.revision, c.known = steer.State{}, 0, true
		return true
	case err != nil:
		c.note(fmt.Errorf("read %s: %w", c.stateKey(), err))
		return false
	}
	s, err := DecodeState(e.Value)
	if err != nil {
		c.note(err)
		return false
	}
	if s.Fence > c.term.fence {
		c.drop()
		return false
	}
	c.state, c.revision, c.known = s, e.Revision, true
	c.cfg.Tracker.ApplyState(c.cfg.Pool, s, c.cfg.Now())
	return true
}

// write stores the next state if it differs. It reports whether the state in
// the store is next. A write without an answer is read back in the next Tick.
func (c *Controller) write(ctx context.Context, next steer.State) bool {
	if same(c.state, next) {
		return true
	}
	next.Fence = c.term.fence
	next.Seq++
	b, err := EncodeState(next)
	if err != nil {
		c.note(err)
		return false
	}
	if !c.valid() {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	rev, err := c.cfg.KV.CompareAndSwap(callCtx, c.stateKey(), b, c.revision, platform.NoLease)
	if errors.Is(err, platform.ErrNoAnswer) {
		rev, err = c.readBack(ctx, b)
	}
	if err != nil {
		c.known = false
		c.note(fmt.Errorf("write %s: %w", c.stateKey(), err))
		return false
	}
	c.state, c.revision = next, rev
	return true
}

// readBack finds out whether a write without an answer took effect.
func (c *Controller) readBack(ctx context.Context, written []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	e, err := c.cfg.KV.Get(ctx, c.stateKey())
	if err != nil {
		return 0, err
	}
	if !bytes.Equal(e.Value, written) {
		return 0, platform.ErrConflict
	}
	return e.Revision, nil
}

func same(a, b steer.State) bool {
	x, errX := EncodeState(a)
	y, errY := EncodeState(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// command sends the outstanding load, and repeats it while it is not confirmed.
func (c *Controller) command(ctx context.Context) {
	l := c.state.Loading
	now := c.cfg.Now()
	if l.Target == "" || now.Before(c.term.quiet) {
		return
	}
	if c.sent.load == l && now.Before(c.sent.at.Add(c.loadTime+time.Minute)) {
		return
	}
	if c.sent.load != l && !c.reserve(ctx, l) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	if !c.valid() {
		return
	}
	err := c.cfg.Loader.Load(ctx, l.Target, LoadCommand{Model: c.cfg.Model, Version: l.Version, FencingToken: c.term.fence})
	c.sent = order{load: l, at: now}
	if err != nil {
		c.sent.at = now.Add(-c.loadTime) // tried again after a minute
		c.note(fmt.Errorf("load %s at %s: %w", l.Version, l.Target, err))
	}
}

// reserve books the transfer at the weight store and learns its rate.
func (c *Controller) reserve(ctx context.Context, l steer.PendingLoad) bool {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	d, err := c.cfg.Weights.Reserve(ctx, c.cfg.Model, l.Version)
	if err != nil {
		c.note(fmt.Errorf("reserve %s: %w", l.Version, err))
		return false
	}
	c.loadTime = d
	return true
}

func (c *Controller) note(err error) {
	if c.cfg.OnError != nil && err != nil {
		c.cfg.OnError(err)
	}
}

var reportEvents = map[steer.ReportKind]event.Event{
	steer.ReportStarted: event.MoveStarted, steer.ReportStepped: event.MoveStepped, steer.ReportFinished: event.MoveDone,
	steer.ReportRolledBack: event.MoveTakenBack, steer.ReportLate: event.MoveLate, steer.ReportRefused: event.MoveLate,
	steer.ReportRuleRemoved: event.MoveTakenBack, steer.ReportDeadlineChanged: event.MoveStarted,
}

var reportOutcomes = map[steer.ReportKind]string{
	steer.ReportFinished: "done", steer.ReportRolledBack: "taken-back", steer.ReportRuleRemoved: "taken-back", steer.ReportLate: "late",
}

func (c *Controller) emit(reports []steer.Report) {
	for _, r := range reports {
		if c.cfg.OnReport != nil {
			c.cfg.OnReport(reportEvents[r.Kind], r)
		}
		if o, ok := reportOutcomes[r.Kind]; ok && c.cfg.CountOutcome != nil {
			c.cfg.CountOutcome(o)
		}
	}
}
