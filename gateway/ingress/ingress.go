// Package ingress is the HTTP handler for callers. It authorises requests, charges quotas,
// dispatches to targets with retries, and forwards the response. Every request gets either
// a target's response or a refusal that states whether the request ran.
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

// Metrics records the counters and histograms of requests.
type Metrics interface {
	CountRequest(tier request.Tier, service string)
	CountAnswered(tier request.Tier, service string)
	CountRefusal(tier request.Tier, reason refusal.Reason)
	CountRetry(reason refusal.RetryReason)
	// Reservation counts a reservation request by its result.
	CountReservation(service, result string)
	// QueueWait records the time from arrival until a request is sent, in seconds.
	RecordQueueWait(tier request.Tier, seconds float64)
	// EventPause records the longest gap between events of a stream, in seconds.
	RecordEventPause(tier request.Tier, seconds float64)
	// FirstToken records the time to the first byte of a response, in seconds.
	RecordFirstToken(tier request.Tier, seconds float64)
}

// Config holds the dependencies of a Server.
type Config struct {
	Codec       protocol.Codec
	Routing     *routing.ActiveTable
	Quota       *quota.Meter
	RetryBudget *retry.Budget
	Schedulers  *dispatch.Schedulers
	Upstream    *upstream.Pool
	Rollouts    *rollout.Tracker
	Metrics     Metrics
	Log         *slog.Logger
}

// Server is the HTTP handler for callers. It is safe for concurrent use.
type Server struct {
	cfg      Config
	stopping atomic.Bool
}

// New returns a Server.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// StopKeepAlives makes every further response close its connection.
func (s *Server) StopKeepAlives() { s.stopping.Store(true) }

const (
	// defaultTimeout applies to requests without a deadline on routes without a timeout.
	defaultTimeout = 30 * time.Second
	// notReadyRetryAfter is the Retry-After sent before the first configuration is loaded.
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

// exchange is the state of one caller's request. It is used by one goroutine.
type exchange struct {
	*Server
	w       http.ResponseWriter
	r       *http.Request
	info    protocol.RequestInfo
	arrived time.Time

	table        *routing.Table
	route        *routing.Route
	organisation *routing.Organisation
	quotaUnits   float64 // charged to the organisation's quota
	uri          string
	body         []byte
	service      string
	request      *request.Request
	deadline     time.Time

	// targetID and targetKey identify the target of the last send.
	targetID  string
	targetKey string
	// queueWait is the time from arrival until the last send.
	queueWait time.Duration
	// unsentAttempts counts attempts that ended before the request was sent: refused
	// reservations and unreachable targets.
	unsentAttempts int
	// sends counts how often the request was sent to a target.
	sends int
	// grantedSends is the value of sends for which the retry budget granted one more, so that
	// a retry is charged once.
	grantedSends int
	// headSent is true once the response headers were sent to the caller.
	headSent bool
	// lastEventID is the id of the last event that was sent to the caller.
	lastEventID string
	// failureLogged is true if a failed attempt was logged; the final log line is then not
	// sampled out.
	failureLogged bool
	// mayHaveRun is true if a target may have started to run the request.
	mayHaveRun bool
}

// admit routes and authorises the request, reads its body and charges its quota.
func (x *exchange) admit() *refusal.Refusal {
	x.table = x.cfg.Routing.Load()
	if x.table == nil {
		f := refusal.New(refusal.NotReady, "this host has not loaded a configuration yet")
		f.RetryAfter = notReadyRetryAfter
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
	if x.info.ID == "" {
		return refusal.New(refusal.BadRequest, "the request has no id header")
	}
	if f := x.readBody(); f != nil {
		return f
	}
	x.buildRequest()
	return x.acquireQuota()
}

// originForm strips scheme and host from a request target in absolute form.
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
			return refusal.New(refusal.Unauthorized, "no organisation has this API key")
		}
	}
	return nil
}

func (x *exchange) readBody() *refusal.Refusal {
	limit := int64(x.table.Limits.BodyBytes)
	if limit <= 0 {
		limit = 4 << 20 // bytes, where the configuration sets no limit
	}
	if x.r.ContentLength > limit {
		return refusal.New(refusal.BodyTooLarge, "body of %d bytes exceeds the limit of %d bytes", x.r.ContentLength, limit)
	}
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	body, err := readAll(x.r, limit+1)
	switch {
	case int64(len(body)) > limit:
		return refusal.New(refusal.BodyTooLarge, "body exceeds the limit of %d bytes", limit)
	case err != nil:
		x.w.Header().Set("Connection", "close")
		return refusal.New(refusal.CallerTimeout, "reading the request body: %v", err)
	}
	x.body = body
	return nil
}

// readAll reads at most limit bytes of the body.
func readAll(r *http.Request, limit int64) ([]byte, error) {
	if n := r.ContentLength; n >= 0 && n < limit {
		b := make([]byte, n)
		_, err := io.ReadFull(r.Body, b)
		return b, err
	}
	return io.ReadAll(io.LimitReader(r.Body, limit))
}

// buildRequest sets the deadline, picks the service and builds the scheduling request.
func (x *exchange) buildRequest() {
	timeout := x.info.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if t := x.route.Timeout; t > 0 {
		timeout = min(timeout, t)
	}
	x.deadline = x.arrived.Add(timeout)
	x.service = x.route.PickService(rand.Float64())
	effect := request.NonIdempotent
	if x.route.Idempotent() {
		effect = request.Idempotent
	}
	x.request = &request.Request{
		ID: x.info.ID, Tier: x.table.Tier(x.route, x.organisation), Effect: effect, Pool: x.service, Route: x.route.Name,
		Arrived: x.arrived, Deadline: x.deadline, FirstToken: x.route.LatencyGoal,
		PromptTokens: x.info.PromptTokens, MaxTokens: x.info.MaxTokens,
	}
	if x.organisation != nil {
		x.request.Organisation = x.organisation.Name
	}
	x.cfg.Metrics.CountRequest(x.request.Tier, x.service)
}

func (x *exchange) acquireQuota() *refusal.Refusal {
	if x.organisation == nil || x.organisation.Rate <= 0 {
		return nil
	}
	x.quotaUnits = 1
	if x.organisation.CountsTokens {
		x.quotaUnits = x.organisation.DefaultCost
		if x.info.HasTokenCounts {
			x.quotaUnits = float64(x.info.PromptTokens + x.info.MaxTokens)
		}
	}
	if wait := x.cfg.Quota.Acquire(x.organisation.Name, x.quotaUnits, x.arrived); wait > 0 {
		f := refusal.New(refusal.QuotaExceeded, "quota of organisation %s does not have %.0f units left", x.organisation.Name, x.quotaUnits)
		x.quotaUnits = 0
		f.RetryAfter = wait
		return f
	}
	return nil
}

// releaseQuota returns the quota units of a request that was never sent.
func (x *exchange) releaseQuota() {
	if x.quotaUnits > 0 && x.sends == 0 {
		x.cfg.Quota.Release(x.organisation.Name, x.quotaUnits, time.Now())
		x.quotaUnits = 0
	}
}

// refuse responds with a refusal. Nothing may have been written to the caller before.
func (x *exchange) refuse(f *refusal.Refusal) {
	x.releaseQuota()
	tier := request.Patient
	if x.request != nil {
		tier = x.request.Tier
	}
	x.cfg.Metrics.CountRefusal(tier, f.Reason)
	event.RequestRefused.Log(x.cfg.Log, x.logAttrs(
		slog.String("reason", f.Reason.String()), slog.String("detail", f.Detail), slog.String("ran", f.RunState.String()),
		slog.Duration("retryAfter", f.RetryAfter))...)
	if x.r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	h := x.w.Header()
	h.Set("Sardinefront-Reason", f.Reason.String())
	h.Set("Sardinefront-Ran", f.RunState.String())
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	x.w.WriteHeader(f.Reason.Status())
}

// abortResponse closes the connection of a caller whose response has begun, so that the
// truncated response does not look complete. It does not return.
func (x *exchange) abortResponse(why error) {
	event.ResponseAborted.Log(x.cfg.Log, x.logAttrs(slog.Any("error", why), slog.String("lastEvent", x.lastEventID))...)
	panic(http.ErrAbortHandler)
}

// logAttrs returns attrs followed by the attributes of the request's final log line.
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

// waiter returns the queue entry of the request, with the version that a rollout assigns.
func (x *exchange) waiter() *reserve.Waiter {
	w := newWaiter(x.request, x.route)
	if split := x.cfg.Rollouts.Split(x.service, x.arrived); split.Version != "" {
		w.RolloutVersion, w.AvoidRolloutVersion = split.Version, rand.Float64() >= split.Share
	}
	return w
}

// callerGone reports whether the caller has closed its connection.
func (x *exchange) callerGone() bool { return errors.Is(x.r.Context().Err(), context.Canceled) }

// attemptHeader returns the metadata that is added to the request for target t.
func (x *exchange) attemptHeader(t directory.Target, reservation string) protocol.Attempt {
	a := protocol.Attempt{Instance: t.ID, Remaining: time.Until(x.deadline), Reservation: reservation, LastEventID: x.lastEventID}
	if x.organisation != nil {
		a.Organisation = x.organisation.Name
	}
	return a
}
