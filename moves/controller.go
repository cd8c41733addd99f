package moves

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/moves/control"
	"sardinefront.dev/platform"
)

// LoadCommand is a control command to a target to load a version of a model.
type LoadCommand struct {
	Model, Version string
	// FencingToken grows with each lease. A target that checks it rejects
	// commands with a smaller token than the largest it has received.
	FencingToken int64
}

// Loader sends control commands. Load returns once the target has accepted the
// command; the load is complete when the target list shows the version. Load
// must not send anything after ctx has ended.
type Loader interface {
	Load(ctx context.Context, target string, command LoadCommand) error
}

// Config configures a Controller. All fields without a default are required,
// unless they may be nil.
type Config struct {
	Pool, Model string
	// Host is the name of this host with its incarnation.
	Host    string
	KV      platform.KV
	Weights platform.WeightStore
	Loader  Loader
	Tracker *Tracker
	// Now returns the current time with a monotonic clock reading.
	Now func() time.Time
	// Rules returns the pool's move rules in file order.
	Rules func() []control.Move
	// Targets returns the pool's targets with the versions that they serve.
	Targets func() []control.Target
	// IsCandidate reports whether this host may acquire the lease. It limits the
	// load on the store to a few hosts; safety does not depend on it. May be
	// nil, then every host may.
	IsCandidate func() bool
	// TargetsFenced means that the pool's targets reject stale fencing tokens.
	TargetsFenced bool
	// LeaseTTL is the TTL of the lease, default 10 s. CommandTimeout, default
	// 2 s, limits each store call and control command.
	LeaseTTL, CommandTimeout time.Duration
	// LoadTime is the estimated duration of one load, default 1 min. It is used
	// until the weight store has given a duration.
	LoadTime time.Duration
	// OnReport is called with each report and its log event. May be nil.
	OnReport func(event.Event, control.Report)
	// CountOutcome is called with the outcome label for telemetry.Metrics.Move.
	// May be nil.
	CountOutcome func(outcome string)
	// OnError is called with each failure of a call that is retried later. May
	// be nil.
	OnError func(error)
}

// sentLoad is the last load that was sent under the current lease.
type sentLoad struct {
	load   control.PendingLoad
	sentAt time.Time
}

// Controller runs the moves of one pool on one host. At most one of the
// controllers on all hosts holds the lease. It is not safe for concurrent use.
type Controller struct {
	cfg          Config
	lease        *heldLease
	nextAcquire  time.Time // of the next attempt to acquire the lease
	stateCurrent bool      // state and revision match the last read or write of the store
	state        control.State
	revision     int64
	loadTime     time.Duration
	lastSent     sentLoad
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

// HoldsLease reports whether this host holds the pool's lease now.
func (c *Controller) HoldsLease() bool { return c.leaseValid() }

// Tick acquires or renews the lease, takes the next step of the move and sends
// or repeats the command of a pending load, as far as they are due. If the
// store fails, Tick does nothing more, so that the shares stay as they are.
func (c *Controller) Tick(ctx context.Context) {
	if c.lease == nil && c.cfg.IsCandidate != nil && !c.cfg.IsCandidate() {
		return
	}
	if !c.ensureLease(ctx) {
		return
	}
	if !c.stateCurrent && !c.readState(ctx) {
		return
	}
	next, reports := control.Next(c.state, c.input())
	if !c.writeState(ctx, next) {
		return
	}
	c.cfg.Tracker.ApplyState(c.cfg.Pool, c.state, c.cfg.Now())
	c.publishReports(reports)
	c.sendLoad(ctx)
}

// Close releases the lease, so that the next controller does not have to wait
// for its expiry.
func (c *Controller) Close(ctx context.Context) {
	if !c.leaseValid() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	if err := c.cfg.KV.Revoke(ctx, c.lease.id); err != nil {
		c.reportError(fmt.Errorf("revoke lease %s: %w", c.leaseKey(), err))
	}
	c.dropLease()
}

func (c *Controller) input() control.Input {
	v := c.cfg.Tracker.LastEvaluation(c.cfg.Pool)
	return control.Input{
		Now: c.cfg.Now().Round(0).UTC(), Rules: c.cfg.Rules(), Targets: c.cfg.Targets(),
		Verdict: v.Verdict, HaltReason: v.HaltReason, UrgentFraction: v.UrgentFraction, LoadTime: c.loadTime,
	}
}

// readState reads the state from the store and reports whether it succeeded. A
// fencing token in the state greater than this host's means that another
// controller has taken over.
func (c *Controller) readState(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	e, err := c.cfg.KV.Get(ctx, c.stateKey())
	switch {
	case errors.Is(err, platform.ErrNotFound):
		c.state, c.revision, c.stateCurrent = control.State{}, 0, true
		return true
	case err != nil:
		c.reportError(fmt.Errorf("read move state %s: %w", c.stateKey(), err))
		return false
	}
	s, err := DecodeState(e.Value)
	if err != nil {
		c.reportError(err)
		return false
	}
	if s.Fence > c.lease.fencingToken {
		c.dropLease()
		return false
	}
	c.state, c.revision, c.stateCurrent = s, e.Revision, true
	c.cfg.Tracker.ApplyState(c.cfg.Pool, s, c.cfg.Now())
	return true
}

// writeState writes the next state if it differs from the current one. It
// reports whether the store holds next. A write without a response is read back
// at once; if that fails too, the next Tick reads the state again.
func (c *Controller) writeState(ctx context.Context, next control.State) bool {
	if equalStates(c.state, next) {
		return true
	}
	next.Fence = c.lease.fencingToken
	next.Seq++
	b, err := EncodeState(next)
	if err != nil {
		c.reportError(err)
		return false
	}
	if !c.leaseValid() {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	rev, err := c.cfg.KV.CompareAndSwap(callCtx, c.stateKey(), b, c.revision, platform.NoLease)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		rev, err = c.readBackState(ctx, b)
	}
	if err != nil {
		c.stateCurrent = false
		c.reportError(fmt.Errorf("write move state %s: %w", c.stateKey(), err))
		return false
	}
	c.state, c.revision = next, rev
	return true
}

// readBackState finds out whether a write without a response took effect. It
// returns the new revision, or platform.ErrConflict if the store holds another
// value.
func (c *Controller) readBackState(ctx context.Context, written []byte) (int64, error) {
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

func equalStates(a, b control.State) bool {
	x, errX := EncodeState(a)
	y, errY := EncodeState(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// sendLoad sends the command of the pending load, and repeats it until it is
// confirmed.
func (c *Controller) sendLoad(ctx context.Context) {
	load := c.state.Loading
	now := c.cfg.Now()
	if load.Target == "" || now.Before(c.lease.commandsFrom) {
		return
	}
	if c.lastSent.load == load && now.Before(c.lastSent.sentAt.Add(c.loadTime+time.Minute)) {
		return
	}
	if c.lastSent.load != load && !c.reserveTransfer(ctx, load) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	if !c.leaseValid() {
		return
	}
	err := c.cfg.Loader.Load(ctx, load.Target, LoadCommand{
		Model: c.cfg.Model, Version: load.Version, FencingToken: c.lease.fencingToken})
	c.lastSent = sentLoad{load: load, sentAt: now}
	if err != nil {
		c.lastSent.sentAt = now.Add(-c.loadTime) // retry after a minute
		c.reportError(fmt.Errorf("load version %s on target %s: %w", load.Version, load.Target, err))
	}
}

// reserveTransfer reserves the transfer at the weight store and sets loadTime
// to its duration.
func (c *Controller) reserveTransfer(ctx context.Context, load control.PendingLoad) bool {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	d, err := c.cfg.Weights.ReserveTransfer(ctx, c.cfg.Model, load.Version)
	if err != nil {
		c.reportError(fmt.Errorf("reserve transfer of version %s: %w", load.Version, err))
		return false
	}
	c.loadTime = d
	return true
}

func (c *Controller) reportError(err error) {
	if c.cfg.OnError != nil && err != nil {
		c.cfg.OnError(err)
	}
}

var reportEvents = map[control.ReportKind]event.Event{
	control.ReportStarted:         event.MoveStarted,
	control.ReportStepped:         event.MoveAdvanced,
	control.ReportFinished:        event.MoveCompleted,
	control.ReportRolledBack:      event.MoveRolledBack,
	control.ReportLate:            event.MoveLate,
	control.ReportRefused:         event.MoveLate,
	control.ReportRuleRemoved:     event.MoveRolledBack,
	control.ReportDeadlineChanged: event.MoveStarted,
}

var reportOutcomes = map[control.ReportKind]string{
	control.ReportFinished:    "done",
	control.ReportRolledBack:  "taken-back",
	control.ReportRuleRemoved: "taken-back",
	control.ReportLate:        "late",
}

func (c *Controller) publishReports(reports []control.Report) {
	for _, r := range reports {
		if c.cfg.OnReport != nil {
			c.cfg.OnReport(reportEvents[r.Kind], r)
		}
		if o, ok := reportOutcomes[r.Kind]; ok && c.cfg.CountOutcome != nil {
			c.cfg.CountOutcome(o)
		}
	}
}
