// Package ingress takes callers' requests, finds who may do what with them, and
// answers each one: with a target's answer, or with a refusal that says truly
// whether the request ran.
package ingress

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/dispatch"
	"sardinefront.dev/gateway/protocol"
	"sardinefront.dev/gateway/quota"
	"sardinefront.dev/gateway/retry"
	"sardinefront.dev/gateway/rollout"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/gateway/upstream"
	"sardinefront.dev/sched/reserve"
)

// Metrics counts what happens to requests.
type Metrics interface {
	Request(tier request.Tier, service string)
	Answer(tier request.Tier, service string)
	Refusal(tier request.Tier, reason refusal.Reason)
	Retry(reason refusal.Retry)
	// Reservation counts a reservation that was asked for.
	Reservation(service, result string)
	// QueueWait records the time from arrival until a request is sent, in seconds.
	QueueWait(tier request.Tier, seconds float64)
	// EventPause records the longest pause of a stream, in seconds.
	EventPause(tier request.Tier, seconds float64)
	// FirstToken records the time to the first byte of an answer, in seconds.
	FirstToken(tier request.Tier, seconds float64)
}

// Config connects a Server.
type Config struct {
	Codec    protocol.Codec
	Current  *routing.ActiveTable
	Quota    *quota.Meter
	Budget   *retry.Budget
	Services *dispatch.Services
	Upstream *upstream.Pool
	Rollouts *rollout.Tracker
	Metrics  Metrics
	Log      *slog.Logger
}

// Server is the HTTP handler for callers.
type Server struct {
	cfg      Config
	stopping atomic.Bool
}

// New returns a handler.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Stop makes every further answer close its connection.
func (s *Server) Stop() { s.stopping.Store(true) }

const (
	// defaultPatience is the time given to a request that states none on a route
	// without a timeout.
	defaultPatience = 30 * time.Second
	// notReadyRetry is told to callers that come before the configuration.
	notReadyRetry = 300 * time.Millisecond
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{Server: s, w: w, r: r, arrived: arrived, call: s.cfg.Codec.RequestInfo(r.Header)}
	if f := x.admit(); f != nil {
		x.refuse(f)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.run(ctx)
}

// exchange is one request of a caller.
type exchange struct {
	*Server
	w       http.ResponseWriter
	r       *http.Request
	call    protocol.RequestInfo
	arrived time.Time

	table    *routing.Table
	route    *routing.Route
	org      *routing.Organisation
	units    float64 // taken from the organisation's quota
	uri      string
	body     []byte
	service  string
	request  *request.Request
	deadline time.Time

	// target is the one that the request is at, or was at last.
	target    string
	targetKey string
	// waited is the time from arrival until the request was sent.
	waited time.Duration
	// tries counts the reservations that were refused and the targets that could not
	// be reached.
	tries int
	// sends counts the targets that the request was sent to.
	sends int
	// granted is the number of sends after which the retry budget allowed another one.
	granted int
	// started says that the head of an answer has gone to the caller.
	started bool
	// lastEvent is the id of the last event that has gone to the caller.
	lastEvent string
	// troubled says that the log names a target that failed the request.
	troubled bool
	// mayHaveRun says that a target may have begun to work on the request.
	mayHaveRun bool
}

// admit checks the request and reads its body.
func (x *exchange) admit() *refusal.Refusal {
	x.table = x.cfg.Current.Load()
	if x.table == nil {
		f := refusal.New(refusal.NotReady, "no configuration yet")
		f.RetryAfter = notReadyRetry
		return f
	}
	x.uri = originForm(x.r.RequestURI)
	path, _, _ := strings.Cut(x.uri, "?")
	if x.route = x.table.MatchRoute(x.r.Host, path); x.route == nil {
		return refusal.New(refusal.NoRule, "no route for %s%s", x.r.Host, path)
	}
	if f := x.authorize(); f != nil {
		return f
	}
	if x.call.ID == "" {
		return refusal.New(refusal.BadRequest, "request without an id")
	}
	if f := x.readBody(); f != nil {
		return f
	}
	x.describe()
	return x.takeQuota()
}

// originForm cuts scheme and host off a request target in absolute form.
func originForm(uri string) string {
	if strings.HasPrefix(uri, "/") {
		return uri
	}
	if _, rest, ok := strings.Cut(uri, "://"); ok {
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			return rest[i:]
		}
	}
	return "/"
}

func (x *exchange) authorize() *refusal.Refusal {
	if x.table.NeedsKey(x.route) {
		if x.org = x.table.OrganisationByKey(x.call.APIKey); x.org == nil {
			return refusal.New(refusal.Unauthorized, "unknown key")
		}
	}
	return nil
}

func (x *exchange) readBody() *refusal.Refusal {
	most := int64(x.table.Limits.BodyBytes)
	if most <= 0 {
		most = 4 << 20
	}
	if x.r.ContentLength > most {
		return refusal.New(refusal.BodyTooLarge, "%d bytes, at most %d", x.r.ContentLength, most)
	}
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	body, err := readAll(x.r, most+1)
	switch {
	case int64(len(body)) > most:
		return refusal.New(refusal.BodyTooLarge, "over %d bytes", most)
	case err != nil:
		x.w.Header().Set("Connection", "close")
		return refusal.New(refusal.CallerTimeout, "the body did not arrive: %v", err)
	}
	x.body = body
	return nil
}

func readAll(r *http.Request, most int64) ([]byte, error) {
	if n := r.ContentLength; n >= 0 && n < most {
		b := make([]byte, n)
		_, err := io.ReadFull(r.Body, b)
		return b, err
	}
	return io.ReadAll(io.LimitReader(r.Body, most))
}

// describe fills in what scheduling needs to know.
func (x *exchange) describe() {
	patience := x.call.Timeout
	if patience <= 0 {
		patience = defaultPatience
	}
	if t := x.route.Timeout; t > 0 {
		patience = min(patience, t)
	}
	x.deadline = x.arrived.Add(patience)
	x.service = x.route.PickService(rand.Float64())
	effect := request.NonIdempotent
	if x.route.Idempotent() {
		effect = request.Idempotent
	}
	x.request = &request.Request{
		ID: x.call.ID, Tier: x.table.Tier(x.route, x.org), Effect: effect, Pool: x.service, Route: x.route.Name,
		Arrived: x.arrived, Deadline: x.deadline, FirstToken: x.route.LatencyGoal,
		PromptTokens: x.call.PromptTokens, MaxTokens: x.call.MaxTokens,
	}
	if x.org != nil {
		x.request.Organisation = x.org.Name
	}
	x.cfg.Metrics.Request(x.request.Tier, x.service)
}

func (x *exchange) takeQuota() *refusal.Refusal {
	if x.org == nil || x.org.Rate <= 0 {
		return nil
	}
	x.units = 1
	if x.org.CountsTokens {
		x.units = x.org.DefaultCost
		if x.call.HasTokenCounts {
			x.units = float64(x.call.PromptTokens + x.call.MaxTokens)
		}
	}
	if wait := x.cfg.Quota.Acquire(x.org.Name, x.units, x.arrived); wait > 0 {
		f := refusal.New(refusal.QuotaExceeded, "quota of %s: %.0f units", x.org.Name, x.units)
		x.units = 0
		f.RetryAfter = wait
		return f
	}
	return nil
}

// returnQuota gives the units back for a request that did not run.
func (x *exchange) returnQuota() {
	if x.units > 0 && x.sends == 0 {
		x.cfg.Quota.Release(x.org.Name, x.units, time.Now())
		x.units = 0
	}
}

// refuse answers with a refusal. It must be the first thing that is written.
func (x *exchange) refuse(f *refusal.Refusal) {
	x.returnQuota()
	tier := request.Patient
	if x.request != nil {
		tier = x.request.Tier
	}
	x.cfg.Metrics.Refusal(tier, f.Reason)
	event.RequestRefused.Log(x.cfg.Log, x.story(
		slog.String("reason", f.Reason.String()), slog.String("detail", f.Detail), slog.String("ran", f.Ran.String()),
		slog.Duration("retryAfter", f.RetryAfter))...)
	if x.r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	h := x.w.Header()
	h.Set("Sardinefront-Reason", f.Reason.String())
	h.Set("Sardinefront-Ran", f.Ran.String())
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	x.w.WriteHeader(f.Reason.Status())
}

// broken ends a request whose answer has begun: the caller must see that it is cut.
func (x *exchange) broken(why error) {
	event.AnswerBroken.Log(x.cfg.Log, x.story(slog.Any("error", why), slog.String("lastEvent", x.lastEvent))...)
	panic(http.ErrAbortHandler)
}

// story returns what decided about the request so far, for its last line in the log.
func (x *exchange) story(attrs ...slog.Attr) []slog.Attr {
	attrs = append(attrs, slog.String("id", x.call.ID), slog.Duration("after", time.Since(x.arrived)))
	if x.table != nil {
		attrs = append(attrs, slog.Int64("config", x.table.Version))
	}
	if x.request == nil {
		return attrs
	}
	return append(attrs,
		slog.String("route", x.route.Name), slog.String("service", x.service), slog.String("tier", x.request.Tier.String()),
		slog.String("organisation", x.request.Organisation), slog.Int("promptTokens", x.call.PromptTokens),
		slog.Int("tries", x.tries), slog.Int("sends", x.sends), slog.String("target", x.target), slog.Duration("waited", x.waited))
}

// waiter returns the request's entry for the queue of its service.
func (x *exchange) waiter() *reserve.Waiter {
	w := newWaiter(x.request, x.route)
	if split := x.cfg.Rollouts.Split(x.service, x.arrived); split.Version != "" {
		w.RolloutVersion, w.AvoidRolloutVersion = split.Version, rand.Float64() >= split.Share
	}
	return w
}

// callerLeft reports whether the caller has closed its connection.
func (x *exchange) callerLeft() bool { return errors.Is(x.r.Context().Err(), context.Canceled) }

// attempt returns what the system adds to the request for a target.
func (x *exchange) attempt(t directory.Target, reservation string) protocol.Attempt {
	a := protocol.Attempt{Instance: t.ID, Remaining: time.Until(x.deadline), Reservation: reservation, LastEventID: x.lastEvent}
	if x.org != nil {
		a.Organisation = x.org.Name
	}
	return a
}
