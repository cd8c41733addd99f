package fleet

import (
	"log/slog"
	"sync"

	"sardinefront.dev/core/event"
	"sardinefront.dev/fleet/internal/core"
	"sardinefront.dev/fleet/member"
)

// maxNotices bounds the digests, floors and halts that wait for a slow
// callback. Member events and configurations always wait.
const maxNotices = 4096

// deliveries is the queue between the state machines and the callbacks.
type deliveries struct {
	mu      sync.Mutex
	ready   *sync.Cond
	queue   []func()
	closing bool
}

func (d *deliveries) init() { d.ready = sync.NewCond(&d.mu) }

// add queues a call. It drops a call that may be lost if too many wait.
func (d *deliveries) add(f func(), droppable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if droppable && len(d.queue) >= maxNotices {
		return
	}
	d.queue = append(d.queue, f)
	d.ready.Signal()
}

func (d *deliveries) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closing = true
	d.ready.Signal()
}

// take waits for the queued calls. It returns nil after close.
func (d *deliveries) take() []func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.queue) == 0 && !d.closing {
		d.ready.Wait()
	}
	if d.closing {
		return nil
	}
	q := d.queue
	d.queue = nil
	return q
}

func (n *Node) deliver() {
	for {
		calls := n.deliveries.take()
		if calls == nil {
			return
		}
		for _, f := range calls {
			f()
		}
	}
}

// queue queues the callbacks of actions. The caller holds mu.
func (n *Node) queue(a core.Actions) {
	for _, e := range a.Events {
		n.deliveries.add(func() { n.memberChanged(e) }, false)
	}
	if a.Adopted {
		n.deliveries.add(n.putInForce, false)
	}
	if a.Digest != nil {
		n.queueNotice(n.cfg.OnDigest, a.DigestFrom, a.Digest)
	}
}

func (n *Node) queueNotice(f func(string, []byte), from string, b []byte) {
	if f != nil {
		n.deliveries.add(func() { f(from, b) }, true)
	}
}

func (n *Node) memberChanged(e member.Event) {
	attrs := []slog.Attr{
		slog.String("host", e.Member.Name),
		slog.String("zone", e.Member.Zone),
		slog.Uint64("incarnation", e.Member.Incarnation),
	}
	switch e.Kind {
	case member.BecameAlive:
		event.MemberAlive.Log(n.cfg.Logger, attrs...)
	case member.BecameSuspect:
		event.MemberSuspected.Log(n.cfg.Logger, attrs...)
	case member.BecameDead, member.BecameLeft:
		event.MemberDead.Log(n.cfg.Logger, append(attrs, slog.Bool("planned", e.Kind == member.BecameLeft))...)
	}
	if n.cfg.OnMemberEvent != nil {
		n.cfg.OnMemberEvent(e)
	}
}

// putInForce hands the rules file held to OnConfig. Files adopted while an
// earlier one was being put into force are passed over.
func (n *Node) putInForce() {
	v := n.LatestRules()
	n.mu.Lock()
	done := v.Version() == n.inForce
	n.mu.Unlock()
	if done {
		return
	}
	var err error
	if n.cfg.OnConfig != nil {
		err = n.cfg.OnConfig(v)
	}
	n.mu.Lock()
	n.rejected = err
	if err == nil {
		n.inForce = v.Version()
	}
	n.mu.Unlock()
	attrs := []slog.Attr{slog.Int64("number", v.Number), slog.String("author", v.Author), slog.String("comment", v.Comment)}
	if err != nil {
		event.ConfigRejected.Log(n.cfg.Logger, append(attrs, slog.Any("error", err))...)
		return
	}
	event.ConfigApplied.Log(n.cfg.Logger, attrs...)
}
