package fleet

import (
	"log/slog"
	"sync"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/supervise"
	"sardinefront.dev/fleet/internal/core"
	"sardinefront.dev/fleet/member"
)

// maxQueuedCallbacks is the queue length from which on digests, floors and halts
// are dropped because callbacks are slow. Member events and rules files are never
// dropped.
const maxQueuedCallbacks = 4096

// callbackQueue holds the callbacks that runCallbacks has yet to call.
type callbackQueue struct {
	mu     sync.Mutex
	ready  *sync.Cond
	queue  []func()
	closed bool
}

func (q *callbackQueue) init() { q.ready = sync.NewCond(&q.mu) }

// add queues a call. A droppable call is dropped if the queue is full.
func (q *callbackQueue) add(f func(), droppable bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if droppable && len(q.queue) >= maxQueuedCallbacks {
		return
	}
	q.queue = append(q.queue, f)
	q.ready.Signal()
}

func (q *callbackQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.ready.Signal()
}

// take removes and returns all queued calls. It blocks while the queue is empty
// and returns nil after close.
func (q *callbackQueue) take() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.queue) == 0 && !q.closed {
		q.ready.Wait()
	}
	if q.closed {
		return nil
	}
	calls := q.queue
	q.queue = nil
	return calls
}

// runCallbacks calls the queued callbacks in order until the queue is closed.
func (n *Node) runCallbacks() {
	for {
		calls := n.callbacks.take()
		if calls == nil {
			return
		}
		for _, f := range calls {
			n.runCallback(f)
		}
	}
}

// runCallback calls one callback. A panic in it does not keep the next ones from being called.
func (n *Node) runCallback(f func()) {
	defer supervise.Recover(n.cfg.Logger, "callback")
	f()
}

// queueCallbacks queues the callbacks for the actions. The caller holds mu.
func (n *Node) queueCallbacks(a core.Actions) {
	for _, e := range a.Events {
		n.callbacks.add(func() { n.handleMemberEvent(e) }, false)
	}
	if a.Adopted {
		n.callbacks.add(n.applyLatest, false)
	}
	if a.Digest != nil {
		n.queueDroppable(n.cfg.OnDigest, a.DigestFrom, a.Digest)
	}
}

// queueDroppable queues a callback that is dropped if the queue is full. f may be nil.
func (n *Node) queueDroppable(f func(string, []byte), from string, b []byte) {
	if f != nil {
		n.callbacks.add(func() { f(from, b) }, true)
	}
}

func (n *Node) handleMemberEvent(e member.Event) {
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

// applyLatest passes the latest rules file to OnConfig. If several files arrive
// while OnConfig runs, only the newest of them is applied.
func (n *Node) applyLatest() {
	v := n.LatestRules()
	n.mu.Lock()
	alreadyApplied := v.Version() == n.applied
	n.mu.Unlock()
	if alreadyApplied {
		return
	}
	var err error
	if n.cfg.OnConfig != nil {
		err = n.cfg.OnConfig(v)
	}
	n.mu.Lock()
	n.applyErr = err
	if err == nil {
		n.applied = v.Version()
	}
	n.mu.Unlock()
	attrs := []slog.Attr{
		slog.Int64("number", v.Number), slog.String("author", v.Author), slog.String("comment", v.Comment),
	}
	if err != nil {
		event.ConfigRejected.Log(n.cfg.Logger, append(attrs, slog.Any("error", err))...)
		return
	}
	event.ConfigApplied.Log(n.cfg.Logger, attrs...)
}
