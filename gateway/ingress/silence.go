package ingress

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/supervise"
	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/dispatch"
	"sardinefront.dev/gateway/upstream"
	"sardinefront.dev/sched/reserve"
)

// placement is a target that was granted to a request. Once it is ready, conn is a connection
// to it, and reservation is the id of a reservation if the service's targets grant them.
type placement struct {
	target      directory.Target
	conn        *upstream.Conn
	reservation string
}

// place connects to the target and reserves capacity if the engine supports it. If that fails,
// it returns the failed attempt. Unlike most methods of exchange, it may run concurrently with an
// attempt.
func (x *exchange) place(ctx context.Context, scheduler *dispatch.Scheduler, target directory.Target) (*placement, *attempt) {
	conn, err := x.cfg.Upstream.Get(ctx, target.Key(), target.Address, x.info.ID)
	if err != nil {
		att := x.unreachable(ctx, err)
		return nil, &att
	}
	conn.BindContext(ctx)
	defer conn.CloseOnPanic()
	if !scheduler.MaySend(target.Key()) {
		return nil, closedAttempt(conn)
	}
	p := &placement{target: target, conn: conn}
	engine := x.table.Service(x.service).Engine
	if engine == nil || engine.MaxReservationLifetime <= 0 {
		return p, nil
	}
	var att *attempt
	if p.reservation, att = x.reserve(ctx, conn, target, engine); att != nil {
		return nil, att
	}
	scheduler.RecordReserved(target.Key())
	return p, nil
}

// release gives up a placement that is not used, with its connection and its reservation if it
// has them.
func (x *exchange) release(scheduler *dispatch.Scheduler, p *placement) {
	// A closed target must not get a cancellation either; the reservation expires shortly.
	if p.reservation == "" || !scheduler.MaySend(p.target.Key()) {
		if p.conn != nil {
			p.conn.Release(nil, false)
		}
		scheduler.EndGrant(p.target.Key(), reserve.Abandoned, reserve.Sample{})
		return
	}
	go func() {
		defer supervise.Recover(x.cfg.Log, "release of a reservation")
		defer scheduler.EndGrant(p.target.Key(), reserve.Abandoned, reserve.Sample{})
		x.cancelReservation(p)
	}()
}

// cancelReservation cancels a reservation at its target. A failure is not reported, because
// the reservation expires shortly.
func (x *exchange) cancelReservation(p *placement) {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	conn := p.conn
	if !conn.RebindContext(ctx) {
		conn.Release(nil, false)
		var err error
		if conn, err = x.cfg.Upstream.Get(ctx, p.target.Key(), p.target.Address, ""); err != nil {
			return
		}
		conn.BindContext(ctx)
	}
	m := x.cfg.Codec.ReleaseRequest(p.target.ID, p.reservation)
	if conn.Send(m) != nil {
		conn.Release(nil, false)
		return
	}
	resp, err := conn.Receive(m.Method, "", 0)
	if err != nil {
		conn.Release(nil, false)
		return
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReservationResponseBytes))
	conn.Release(resp, err == nil)
}

// silenceWatch seeks another target for an attempt whose target has been silent for some time.
// The attempt goes on meanwhile, because the target may be sound and no other one may have
// capacity. Only when another target is ready are the reads of the attempt interrupted. The
// methods are for the goroutine of the attempt.
type silenceWatch struct {
	x       *exchange
	ctx     context.Context
	d       *dispatcher
	current *placement
	timer   *time.Timer
	armed   bool // the timer was started, and end was not called since
	// searches receives the search when the timer starts it.
	searches chan *search
}

// search is a running or ended search for another target.
type search struct {
	cancel    context.CancelFunc
	startedAt time.Time
	done      chan struct{}
	found     *placement // set before done is closed; nil if no target was found
}

// watchSilence returns a watch over the attempt at a target. It is inactive until reset.
func (x *exchange) watchSilence(ctx context.Context, d *dispatcher, current *placement) *silenceWatch {
	return &silenceWatch{x: x, ctx: ctx, d: d, current: current, searches: make(chan *search, 1)}
}

// reset ends a search, because the target has made progress, and starts the next one after a
// silence of the given time; 0 means never.
func (w *silenceWatch) reset(silence time.Duration) {
	w.stop()
	if silence <= 0 {
		return
	}
	w.armed = true
	if w.timer == nil {
		w.timer = time.AfterFunc(silence, w.search)
		return
	}
	w.timer.Reset(silence)
}

// reader returns a reader of the response's body that resets the watch before the first and after
// each read of data.
func (w *silenceWatch) reader(body io.Reader, silence time.Duration) io.Reader {
	w.reset(silence)
	return &watchedReader{body, w, silence}
}

// watchedReader is the result of silenceWatch.reader.
type watchedReader struct {
	body    io.Reader
	watch   *silenceWatch
	silence time.Duration
}

func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 {
		r.watch.reset(r.silence)
	}
	return n, err
}

// stop ends the watch, because the target has made progress or the attempt ends. A placement that
// a search has found is released.
func (w *silenceWatch) stop() {
	s := w.end()
	if s == nil {
		return
	}
	w.discard(s)
	w.current.conn.ResumeRead()
}

// discard releases the result of an ended search, because the target responds.
func (w *silenceWatch) discard(s *search) {
	w.d.scheduler.RecordResponsive(w.current.target.Key())
	event.TargetResponsive.Log(w.x.cfg.Log, slog.String("id", w.x.info.ID), slog.String("target", w.current.target.ID),
		slog.Duration("sought", time.Since(s.startedAt)), slog.Bool("found", s.found != nil))
	if s.found != nil {
		w.x.release(w.d.scheduler, s.found)
	}
}

// end ends the watch and returns its search, nil if none was started. It must be called before
// the connection is returned to the pool, since a search may interrupt its reads.
func (w *silenceWatch) end() *search {
	if !w.armed {
		return nil
	}
	w.armed = false
	if w.timer.Stop() {
		return nil
	}
	s := <-w.searches
	s.cancel()
	<-s.done
	return s
}

// search is called by the timer. It interrupts the attempt when another target is ready.
func (w *silenceWatch) search() {
	x := w.x
	ctx, cancel := context.WithCancel(w.ctx)
	s := &search{cancel: cancel, startedAt: time.Now(), done: make(chan struct{})}
	w.searches <- s
	defer close(s.done)
	defer supervise.Recover(x.cfg.Log, "search for another target")
	current := w.current.target
	w.d.scheduler.RecordSilent(current.Key())
	event.TargetSilent.Log(x.cfg.Log, slog.String("id", x.info.ID), slog.String("target", current.ID), slog.String("service", x.service))
	w.d.waiter.Exclude(current.Key())
	w.d.waiter.StandBy(x.deadline)
	x.avoidUnprovenVersion(w.d.waiter)
	p := w.findPlacement(ctx)
	if p == nil {
		return
	}
	if !p.conn.RebindContext(w.ctx) || !x.cfg.RetryBudget.AllowRetry(x.service, time.Now()) {
		x.release(w.d.scheduler, p)
		return
	}
	s.found = p
	w.current.conn.InterruptRead()
}

// findPlacement waits until another target is ready. It returns nil if ctx ends before.
func (w *silenceWatch) findPlacement(ctx context.Context) *placement {
	scheduler := w.d.scheduler
	for {
		target, err := scheduler.Acquire(ctx, w.d.waiter, true)
		if err != nil {
			return nil
		}
		p, att := w.tryPlace(ctx, target)
		if att != nil {
			endGrant(scheduler, target, *att)
			continue
		}
		return p
	}
}

// tryPlace places the request at a target and ends the grant if that panics.
func (w *silenceWatch) tryPlace(ctx context.Context, target directory.Target) (*placement, *attempt) {
	ended := false
	defer func() {
		if !ended {
			w.d.scheduler.EndGrant(target.Key(), reserve.Abandoned, reserve.Sample{})
		}
	}()
	p, att := w.x.place(ctx, w.d.scheduler, target)
	ended = true
	return p, att
}

var errReplaced = errors.New("the target was silent until another one was ready")

// settle returns the attempt after its end, with the target that a search has found as its
// replacement if the request can go on there. s is the result of end.
func (w *silenceWatch) settle(s *search, att attempt) attempt {
	if s == nil {
		return att
	}
	if att.status == answered {
		w.discard(s)
		return att
	}
	if att.outcome == reserve.TimedOut {
		att.outcome = reserve.Silent
	}
	if s.found == nil {
		return att
	}
	if w.ctx.Err() != nil {
		w.x.release(w.d.scheduler, s.found)
		return att
	}
	if att.reason == refusal.TargetTimedOut {
		att.err = errReplaced
	}
	w.x.grantedSends = w.x.sends // the search has charged the retry budget
	att.replacement = s.found
	return att
}
