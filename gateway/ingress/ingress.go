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
	Codec       protocol.Codec
	Routing     *routing.Current
	Quota       *quota.Meter
	RetryBudget *retry.Budget
	Schedulers  *dispatch.Schedulers
	Upstream    *upstream.Pool
	Rollouts    *rollout.Tracker
	Metrics     Metrics
	Log         *slog.Logger
}

// Server is the HTTP handler for callers.
type Server struct {
	cfg      Config
	stopping atomic.Bool
}

// New returns a handler.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Stop makes every further answer close its connection.
func (s *Server) StopKeepAlives() { s.stopping.Store(true) }

const (
	// defaultPatience is the time given to a request that states none on a route
	// without a timeout.
	defaultTimeout = 30 * time.Second
	// notReadyRetry is told to callers that come before the configuration.
	notReadyRetryAfter = 300 * time.Millisecond
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{Server: s, w: w, r: r, arrived: arrived, info: s.cfg.Codec.RequestInfo(r.Header)}
	if f := x.admit(); f != nil {
		x.refuse(f)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.serve(ctx)
}

// exchange is one request of a caller.
type exchange struct {
	*Server
	w       http.ResponseWriter
	r       *http.Request
	info    protocol.RequestInfo
	arrived time.Time

	table        *routing.Table
	route        *routing.Route
	organisation *routing.Organisation
	quotaUnits   float64 // taken from the organisation's quota
	uri          string
	body         []byte
	service      string
	request      *request.Request
	deadline     time.Time

	// target is the one that the request is at, or was at last.
	targetID  string
	targetKey string
	// waited is the time from arrival until the request was sent.
	queueWait time.Duration
	// tries counts the reservations that were refused and the targets that could not
	// be reached.
	unsentAttempts int
	// sends counts the targets that the request was sent to.
	sends int
	// granted is the number of sends after which the retry budget allowed another one.
	grantedSends int
	// started says that the head of an answer has gone to the caller.
	headSent bool
	// lastEvent is the id of the last event that has gone to the caller.
	lastEventID string
	// troubled says that the log names a target that failed the request.
	failureLogged bool
	// mayHaveRun says that a target may have begun to work on the request.
	mayHaveRun bool
}

// admit checks the request and reads its body.
func (x *exchange) admit() *refusal.Refusal {
	x.table = x.cfg.Routing.Load()
	if x.table == nil {
		f := refusal.New(refusal.NotReady, "no configuration yet")
		f.RetryAfter = notReadyRetryAfter
		return f
	}
	x.uri = originForm(x.r.RequestURI)
	path, _, _ := strings.Cut(x.uri, "?")
	if x.route = x.table.Route(x.r.Host, path); x.route == nil {
		return refusal.New(refusal.NoRule, "no route for %s%s", x.r.Host, path)
	}
	if f := x.authorize(); f != nil {
		return f
	}
	if x.info.ID == "" {
		return refusal.New(refusal.BadRequest, "request without an id")
	}
	if f := x.readBody(); f != nil {
		return f
	}
	x.buildRequest()
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
		if x.organisation = x.table.OrganisationByKey(x.info.APIKey); x.organisation == nil {
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
func (x *exchange) buildRequest() {
	patience := x.info.Timeout
	if patience <= 0 {
		patience = defaultTimeout
	}
	if t := x.route.Timeout; t > 0 {
		patience = min(patience, t)
	}
	x.deadline = x.arrived.Add(patience)
	x.service = x.route.Pick(rand.Float64())
	effect := request.NonIdempotent
	if x.route.Idempotent() {
		effect = request.Idempotent
	}
	x.request = &request.Request{
		ID: x.info.ID, Tier: x.table.Tier(x.route, x.organisation), Effect: effect, Pool: x.service, Route: x.route.Name,
		Arrived: x.arrived, Deadline: x.deadline, FirstToken: x.route.Goal,
		PromptTokens: x.info.PromptTokens, MaxTokens: x.info.MaxTokens,
	}
	if x.organisation != nil {
		x.request.Organisation = x.organisation.Name
	}
	x.cfg.Metrics.Request(x.request.Tier, x.service)
}

func (x *exchange) takeQuota() *refusal.Refusal {
	if x.organisation == nil || x.organisation.Rate <= 0 {
		return nil
	}
	x.quotaUnits = 1
	if x.organisation.CountsTokens {
		x.quotaUnits = x.organisation.PlainUnits
		if x.info.HasTokenCounts {
			x.quotaUnits = float64(x.info.PromptTokens + x.info.MaxTokens)
		}
	}
	if wait := x.cfg.Quota.Take(x.organisation.Name, x.quotaUnits, x.arrived); wait > 0 {
		f := refusal.New(refusal.QuotaExceeded, "quota of %s: %.0f units", x.organisation.Name, x.quotaUnits)
		x.quotaUnits = 0
		f.RetryAfter = wait
		return f
	}
	return nil
}

// returnQuota gives the units back for a request that did not run.
func (x *exchange) refundQuota() {
	if x.quotaUnits > 0 && x.sends == 0 {
		x.cfg.Quota.Return(x.organisation.Name, x.quotaUnits, time.Now())
		x.quotaUnits = 0
	}
}

// refuse answers with a refusal. It must be the first thing that is written.
func (x *exchange) refuse(f *refusal.Refusal) {
	x.refundQuota()
	tier := request.Patient
	if x.request != nil {
		tier = x.request.Tier
	}
	x.cfg.Metrics.Refusal(tier, f.Reason)
	event.RequestRefused.Log(x.cfg.Log, x.logAttrs(
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
func (x *exchange) abortResponse(why error) {
	event.AnswerBroken.Log(x.cfg.Log, x.logAttrs(slog.Any("error", why), slog.String("lastEvent", x.lastEventID))...)
	panic(http.ErrAbortHandler)
}

// story returns what decided about the request so far, for its last line in the log.
func (x *exchange) logAttrs(attrs ...slog.Attr) []slog.Attr {
	attrs = append(attrs, slog.String("id", x.info.ID), slog.Duration("after", time.Since(x.arrived)))
	if x.table != nil {
		attrs = append(attrs, slog.Int64("config", x.table.Version))
	}
	if x.request == nil {
		return attrs
	}
	return append(attrs,
		slog.String("route", x.route.Name), slog.String("service", x.service), slog.String("tier", x.request.Tier.String()),
		slog.String("organisation", x.request.Organisation), slog.Int("promptTokens", x.info.PromptTokens),
		slog.Int("tries", x.unsentAttempts), slog.Int("sends", x.sends), slog.String("target", x.targetID), slog.Duration("waited", x.queueWait))
}

// waiter returns the request's entry for the queue of its service.
func (x *exchange) waiter() *reserve.Waiter {
	w := newWaiter(x.request, x.route)
	if split := x.cfg.Rollouts.Split(x.service, x.arrived); split.Target != "" {
		w.RolloutVersion, w.AvoidRolloutVersion = split.Target, rand.Float64() >= split.Share
	}
	return w
}

// callerLeft reports whether the caller has closed its connection.
func (x *exchange) callerGone() bool { return errors.Is(x.r.Context().Err(), context.Canceled) }

// attempt returns what the system adds to the request for a target.
func (x *exchange) attemptHeader(t directory.Target, reservation string) protocol.Attempt {
	a := protocol.Attempt{Instance: t.ID, Remaining: time.Until(x.deadline), Reservation: reservation, LastEventID: x.lastEventID}
	if x.organisation != nil {
		a.Organisation = x.organisation.Name
	}
	return a
}
