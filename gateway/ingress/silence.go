package ingress

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/supervise"
	"sardinefront.dev/core/wait"
	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/dispatch"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/gateway/upstream"
	"sardinefront.dev/sched/reserve"
)

// placement is a target that was granted to a request. Once it is ready, conn is a connection
// to it, and reservation is the id of a reservation if the service's targets grant them. If a search
// has sent the request already, response is the head of the target's response.
type placement struct {
	target      directory.Target
	conn        *upstream.Conn
	reservation string
	response    *upstream.Response
	sentAt      time.Time
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
	if !scheduler.MaySend(target) {
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
	if p.reservation == "" || !scheduler.MaySend(p.target) {
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
	// The context of the connection bounds the time.
	_, resp, err := exchangeShort(conn, x.cfg.Codec.ReleaseRequest(p.target.ID, p.reservation), 0)
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
	// unanswered is the silence after which the search starts if the response has not begun, else 0.
	unanswered time.Duration
	// searches receives the search when the timer starts it.
	searches chan *search
}

// search is a running or ended search for another target.
type search struct {
	cancel    context.CancelFunc
	startedAt time.Time
	done      chan struct{}
	found     *placement // set before done is closed; nil if no target was found
	// failedSends counts the sends to other targets that brought no response, and mayHaveRun is true
	// if one of them may have run the request. They are set before done is closed.
	failedSends int
	mayHaveRun  bool
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
	w.unanswered = 0
	if w.x.progress.firstAt.IsZero() {
		w.unanswered = silence
	}
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
	if s.found == nil {
		return
	}
	if s.found.response != nil {
		w.x.sends++
		w.x.mayHaveRun = true
	}
	w.x.release(w.d.scheduler, s.found)
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
	w.x.sends += s.failedSends
	w.x.mayHaveRun = w.x.mayHaveRun || s.mayHaveRun
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
	w.d.scheduler.RecordSilent(current.Key(), x.route.Name, w.unanswered)
	event.TargetSilent.Log(x.cfg.Log, slog.String("id", x.info.ID), slog.String("target", current.ID), slog.String("service", x.service))
	w.d.waiter.Exclude(current.Key())
	w.d.waiter.StandBy(x.deadline)
	x.avoidUnprovenVersion(w.d.waiter)
	if s.found = w.findReplacement(ctx, s); s.found != nil {
		w.current.conn.InterruptRead()
	}
}

// findReplacement waits until another target is ready to take over. A target that grants a
// reservation is ready. Others may refuse the request, so it is sent to them first, and the silent
// target is given up only when one of them responds. It returns nil if ctx ends before, or the
// request was sent as often as its route allows.
func (w *silenceWatch) findReplacement(ctx context.Context, s *search) *placement {
	x := w.x
	for x.sends+s.failedSends < x.allowedSends() {
		p := w.findAllowedPlacement(ctx)
		if p == nil || p.reservation != "" || x.route.Kind == routing.Stream {
			return p
		}
		if !w.d.scheduler.StartSend(p.target) {
			endGrant(w.d.scheduler, p.target, *closedAttempt(p.conn))
			continue
		}
		if w.sendAhead(ctx, s, p) {
			return p
		}
		s.failedSends++
		w.d.waiter.Exclude(p.target.Key())
	}
	return nil
}

// sendAhead sends the request to a placement and waits for the head of the response. If that fails, or
// is an error or the statement that the target did not run the request, it ends the grant and reports
// false. It returns as soon as ctx ends, which may be before the context of the attempt.
func (w *silenceWatch) sendAhead(ctx context.Context, s *search, p *placement) bool {
	att := attempt{outcome: reserve.Abandoned}
	defer func() {
		if p.response == nil {
			s.mayHaveRun = s.mayHaveRun || att.status != unsent
			endGrant(w.d.scheduler, p.target, att)
			w.x.recordForRollout(p.target, att)
		}
	}()
	defer p.conn.CloseOnPanic()
	// The progress that a failure is judged by if its context has ended is that of the silent target.
	failureCtx := context.WithoutCancel(ctx)
	p.sentAt = time.Now()
	w.x.logSend(p.target, w.x.sends+s.failedSends+1, p.sentAt)
	resp, err := w.x.receiveHead(ctx, p)
	switch {
	case err != nil:
		p.conn.Release(nil, false)
		att = w.x.readFailed(failureCtx, err)
	case resp.Info.NotRun:
		att = w.x.handleNotRun(p.conn, resp)
	case resp.Status >= http.StatusInternalServerError || refusal.StatusImpliesNotRun(resp.Status):
		att = w.x.handleErrorStatus(failureCtx, p, resp)
	case !p.conn.RebindContext(w.ctx):
		p.conn.Release(nil, false)
	default:
		p.response = resp
		return true
	}
	if ctx.Err() != nil {
		att.outcome = reserve.Abandoned // the silent target has responded, or the request ends
	}
	return false
}

// receiveHead sends the request to a placement and receives the head of the response. The connection
// is bound to ctx from then on.
func (x *exchange) receiveHead(ctx context.Context, p *placement) (*upstream.Response, error) {
	if !p.conn.RebindContext(ctx) {
		return nil, context.Cause(ctx)
	}
	m := x.targetRequest(p)
	if err := p.conn.Send(m); err != nil {
		return nil, err
	}
	return p.conn.Receive(m.Method, x.info.ID, 0)
}

// retryBudgetPollInterval is how often a search looks whether the retry budget allows a retry again.
const retryBudgetPollInterval = 250 * time.Millisecond

// findAllowedPlacement waits until another target is ready and the retry budget allows a retry, and
// charges it. It returns nil if ctx ends before. It looks for no target while the budget is used up,
// since that would reserve capacity in vain.
func (w *silenceWatch) findAllowedPlacement(ctx context.Context) *placement {
	budget, service := w.x.cfg.RetryBudget, w.x.service
	for ctx.Err() == nil {
		if !budget.HasRetry(service, time.Now()) {
			wait.Sleep(ctx, retryBudgetPollInterval)
			continue
		}
		p := w.findPlacement(ctx)
		if p == nil {
			return nil
		}
		if p.conn.RebindContext(w.ctx) && budget.AllowRetry(service, time.Now()) {
			return p
		}
		w.x.release(w.d.scheduler, p)
	}
	return nil
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
	if att.outcome == reserve.TimedOut || att.outcome == reserve.DeadlineReached {
		att.outcome = reserve.Silent
		att.sample.SilentAfter = w.unanswered
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
