package moves

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sardinefront.dev/platform"
)

// term is a held lease. deadline is on the host's monotonic clock and never
// later than the store's own expiry.
type term struct {
	lease    platform.LeaseID
	fence    int64
	deadline time.Time
	renew    time.Time
	// quiet is the end of the time in which a predecessor could still send a
	// command.
	quiet time.Time
}

func (c *Controller) leaseKey() string { return "moves/" + c.cfg.Pool + "/steerer" }
func (c *Controller) stateKey() string { return StateKey(c.cfg.Pool) }

// valid reports whether the lease is held at this instant.
func (c *Controller) valid() bool {
	return c.term != nil && c.cfg.Now().Before(c.term.deadline)
}

// hold acquires or renews the lease. It reports whether it is held.
func (c *Controller) hold(ctx context.Context) bool {
	now := c.cfg.Now()
	if c.term != nil && !now.Before(c.term.deadline) {
		c.drop()
	}
	if c.term != nil {
		c.renewLease(ctx)
		return c.valid()
	}
	if now.Before(c.retry) {
		return false
	}
	c.retry = now.Add(c.cfg.LeaseTTL / 2)
	if err := c.acquire(ctx); err != nil {
		c.note(err)
		return false
	}
	return c.valid()
}

func (c *Controller) drop() {
	c.term = nil
	c.known = false
	c.sent = order{}
}

func (c *Controller) renewLease(ctx context.Context) {
	now := c.cfg.Now()
	if now.Before(c.term.renew) {
		return
	}
	c.term.renew = now.Add(c.cfg.LeaseTTL / 3)
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	err := c.cfg.KV.KeepAlive(callCtx, c.term.lease)
	switch {
	case err == nil:
		c.term.deadline = now.Add(c.cfg.LeaseTTL)
	case errors.Is(err, platform.ErrLeaseLost):
		c.drop()
	default:
		c.note(err)
	}
}

// acquire creates the lease key if it is absent.
func (c *Controller) acquire(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	_, err := c.cfg.KV.Get(ctx, c.leaseKey())
	if err == nil {
		return nil // held by another host
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return fmt.Errorf("read %s: %w", c.leaseKey(), err)
	}
	granted := c.cfg.Now()
	id, err := c.cfg.KV.Grant(ctx, c.cfg.LeaseTTL)
	if err != nil {
		return fmt.Errorf("lease for %s: %w", c.leaseKey(), err)
	}
	holder := fmt.Sprintf("%s %d", c.cfg.Host, id)
	fence, err := c.cfg.KV.CompareAndSwap(ctx, c.leaseKey(), []byte(holder), 0, id)
	if errors.Is(err, platform.ErrNoAnswer) {
		fence, err = c.readBackLease(ctx, holder)
	}
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", c.leaseKey(), err)
	}
	c.term = &term{lease: id, fence: fence, deadline: granted.Add(c.cfg.LeaseTTL), renew: granted.Add(c.cfg.LeaseTTL / 3)}
	c.term.quiet = granted
	if !c.cfg.TargetsFenced {
		c.term.quiet = c.cfg.Now().Add(c.cfg.LeaseTTL + c.cfg.CommandTimeout)
	}
	return nil
}

// readBackLease finds out whether a write without an answer took effect.
func (c *Controller) readBackLease(ctx context.Context, holder string) (int64, error) {
	e, err := c.cfg.KV.Get(ctx, c.leaseKey())
	if err != nil {
		return 0, err
	}
	if string(e.Value) != holder {
		return 0, platform.ErrConflict
	}
	return e.Revision, nil
}
