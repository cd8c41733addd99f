package moves

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sardinefront.dev/platform"
)

// heldLease is a lease that this host has acquired. expiry is on the host's
// monotonic clock and never later than the store's own expiry.
type heldLease struct {
	id           platform.LeaseID
	fencingToken int64
	expiry       time.Time
	renewAt      time.Time
	// commandsFrom is the time from which this host may send commands. Unless
	// the targets check fencing tokens, it is late enough that the previous
	// holder can send none any more.
	commandsFrom time.Time
}

// leaseKey returns the store's key of the controller lease. The key must not change:
// hosts that use different keys could control the same move.
func (c *Controller) leaseKey() string { return "moves/" + c.cfg.Pool + "/steerer" }
func (c *Controller) stateKey() string { return StateKey(c.cfg.Pool) }

// leaseValid reports whether this host holds the lease at this instant.
func (c *Controller) leaseValid() bool {
	return c.lease != nil && c.cfg.Now().Before(c.lease.expiry)
}

// ensureLease acquires or renews the lease if due. It reports whether this host
// holds it.
func (c *Controller) ensureLease(ctx context.Context) bool {
	now := c.cfg.Now()
	if c.lease != nil && !now.Before(c.lease.expiry) {
		c.dropLease()
	}
	if c.lease != nil {
		c.renewLease(ctx)
		return c.leaseValid()
	}
	if now.Before(c.nextAcquire) {
		return false
	}
	c.nextAcquire = now.Add(c.cfg.LeaseTTL / 2)
	if err := c.acquireLease(ctx); err != nil {
		c.reportError(err)
		return false
	}
	return c.leaseValid()
}

func (c *Controller) dropLease() {
	c.lease = nil
	c.stateCurrent = false
	c.lastSent = sentLoad{}
}

func (c *Controller) renewLease(ctx context.Context) {
	now := c.cfg.Now()
	if now.Before(c.lease.renewAt) {
		return
	}
	c.lease.renewAt = now.Add(c.cfg.LeaseTTL / 3)
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	err := c.cfg.KV.KeepAlive(callCtx, c.lease.id)
	switch {
	case err == nil:
		c.lease.expiry = now.Add(c.cfg.LeaseTTL)
	case errors.Is(err, platform.ErrLeaseLost):
		c.dropLease()
	default:
		c.reportError(fmt.Errorf("renew lease %s: %w", c.leaseKey(), err))
	}
}

// acquireLease creates the lease key if it is absent. If another host holds the
// lease, it returns nil and leaves c.lease nil.
func (c *Controller) acquireLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	_, err := c.cfg.KV.Get(ctx, c.leaseKey())
	if err == nil {
		return nil // held by another host
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return fmt.Errorf("read lease %s: %w", c.leaseKey(), err)
	}
	granted := c.cfg.Now()
	id, err := c.cfg.KV.Grant(ctx, c.cfg.LeaseTTL)
	if err != nil {
		return fmt.Errorf("grant lease %s: %w", c.leaseKey(), err)
	}
	holder := fmt.Sprintf("%s %d", c.cfg.Host, id)
	token, err := c.cfg.KV.CompareAndSwap(ctx, c.leaseKey(), []byte(holder), 0, id)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		token, err = c.readBackLease(ctx, holder)
	}
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("write lease %s: %w", c.leaseKey(), err)
	}
	c.lease = &heldLease{id: id, fencingToken: token,
		expiry: granted.Add(c.cfg.LeaseTTL), renewAt: granted.Add(c.cfg.LeaseTTL / 3)}
	c.lease.commandsFrom = granted
	if !c.cfg.TargetsFenced {
		c.lease.commandsFrom = c.cfg.Now().Add(c.cfg.LeaseTTL + c.cfg.CommandTimeout)
	}
	return nil
}

// readBackLease finds out whether a write without a response took effect. It
// returns the fencing token, or platform.ErrConflict if another host holds the
// lease.
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
