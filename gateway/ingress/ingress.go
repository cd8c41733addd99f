// Package ingress is the HTTP handler for callers. It authorises requests, charges quotas,
// dispatches to targets with retries, and forwards the response. Every request gets either
// a target's response or a refusal that states whether the request ran.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/membudget"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/dispatch"
	"sardinefront.dev/gateway/promptparts"
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
	// CountReservation counts a reservation request by its result.
	CountReservation(service, result string)
	// RecordQueueWait records the time from arrival until a request is sent, in seconds.
	RecordQueueWait(tier request.Tier, seconds float64)
	// RecordEventPause records the longest gap between events of a stream, in seconds.
	RecordEventPause(tier request.Tier, seconds float64)
	// RecordFirstEventError records by how much the expected time from the send to the first event
	// of a stream was wrong, in seconds.
	RecordFirstEventError(tier request.Tier, seconds float64)
	// RecordFirstToken records the time to the first byte of a response, in seconds.
	RecordFirstToken(tier request.Tier, seconds float64)
	// CountClientLimit counts a client that was refused or closed at a bound of the process.
	CountClientLimit(cause string)
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
	Parts       *promptparts.Guard
	Metrics     Metrics
	Log         *slog.Logger
	// BodyMemoryBytes bounds the request bodies that are held at once. There is always room for a few
	// bodies of the configured size.
	BodyMemoryBytes int64
}

// Server is the HTTP handler for callers. It is safe for concurrent use.
type Server struct {
	cfg         Config
	eventMemory *membudget.Budget
	bodies      *bodyBudget
	stop        atomic.Pointer[stopTimes] // nil until a planned stop begins
	// running ends when a planned stop ends the requests in progress.
	running     context.Context
	endRequests context.CancelFunc
}

// New returns a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, eventMemory: membudget.NewForEvents(), bodies: newBodyBudget(cfg.BodyMemoryBytes)}
	s.running, s.endRequests = context.WithCancel(context.Background())
	return s
}

const (
	// defaultTimeout applies to requests without a deadline on routes without a timeout.
	defaultTimeout = 30 * time.Second
	// notReadyRetryAfter is the Retry-After sent before the first configuration is loaded.
	notReadyRetryAfter = 300 * time.Millisecond
	// writeDeadlineMargin is the time after a request's deadline within which its last bytes
	// must be written. A caller that stops reading does not hold its request any longer.
	writeDeadlineMargin = time.Second
)

// BodyBytes returns the memory held by request bodies.
func (s *Server) BodyBytes() int64 { return s.bodies.Used() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	s.setConnectionHeader(w.Header())
	x := &exchange{Server: s, w: w, r: r, arrived: arrived, info: s.cfg.Codec.RequestInfo(r.Header)}
	x.setWriteDeadline(arrived.Add(defaultTimeout))
	defer x.bodies.release(&x.bodyUsage)
	defer x.recoverPanic()
	if ref := x.admit(); ref != nil {
		x.refuse(ref)
		return
	}
	withDeadline, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(withDeadline)
	defer end(nil)
	defer context.AfterFunc(s.running, func() { end(errGraceEnded) })()
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
	bodyUsage    bodyUsage
	// bodyRead is true once the body was read to its end, or reading it has failed.
	bodyRead bool
	service  string
	request  *request.Request
	deadline time.Time

	// targetID, targetKey and targetVersion describe the target of the last send.
	targetID      string
	targetKey     string
	targetVersion string
	// queueWait is the time from arrival until the last send.
	queueWait time.Duration
	// expectedFirstEvent is the expected time to the first event at the target that was granted last,
	// 0 at one that took over from a silent target.
	expectedFirstEvent time.Duration
	// unsentAttempts counts attempts that ended before the request was sent: refused
	// reservations and unreachable targets.
	unsentAttempts int
	// sends counts how often the request was sent to a target.
	sends int
	// misdirectedSends counts the sends that reached another incarnation than the target's.
	misdirectedSends int
	// grantedSends is the value of sends for which the retry budget granted one more, so that
	// a retry is charged once.
	grantedSends int
	// headSent is true once the response headers were sent to the caller.
	headSent bool
	// lastEventID is the id of the last event that was sent to the caller.
	lastEventID string
	// lastEventAt is when the last event was sent to the caller.
	lastEventAt time.Time
	// notResumable is true if the caller has received bytes after which no other target can
	// continue: a part of a response that is not an event stream, or an event without an id.
	notResumable bool
	// failure is the last error response of a target; nil if there was none.
	failure *targetFailure
	// failureLogged is true if a failed attempt was logged; the final log line is then exempt
	// from sampling.
	failureLogged bool
	// partsTrial is true if the request is the trial of a quarantined prompt part.
	partsTrial bool
	// sentAt is the time of the last send.
	sentAt time.Time
	// progress is that of the last send.
	progress progress
	// began is true if the response to the last send has begun; see promptparts.Guard.
	began bool
	// mayHaveRun is true if a target may have started to run the request.
	mayHaveRun bool
}

// admit routes and authorises the request, reads its body and charges its quota.
func (x *exchange) admit() *refusal.Refusal {
	x.table = x.cfg.Routing.Load()
	if x.table == nil {
		ref := refusal.New(refusal.NotReady, "this host has not loaded a configuration yet")
		ref.RetryAfter = notReadyRetryAfter
		return ref
	}
	x.uri = originForm(x.r.RequestURI)
	path, _, _ := strings.Cut(x.uri, "?")
	if x.route = x.table.MatchRoute(x.r.Host, path); x.route == nil {
		return refusal.New(refusal.NoRule, "no route for %s%s", x.r.Host, path)
	}
	if ref := x.authorize(); ref != nil {
		return ref
	}
	if x.info.ID == "" {
		return refusal.New(refusal.BadRequest, "the request has no id header")
	}
	x.setDeadline()
	if ref := x.checkStop(); ref != nil {
		return ref
	}
	if ref := x.readBody(); ref != nil {
		return ref
	}
	x.buildRequest()
	if ref := x.checkParts(); ref != nil {
		return ref
	}
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
	if x.lacksLength() {
		x.w.Header().Set("Connection", "close")
		return refusal.New(refusal.BadRequest, "%s request of HTTP/1.0 without a content length", x.r.Method)
	}
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	// A caller that stops in the middle of its body does not hold its connection for good.
	connection := http.NewResponseController(x.w)
	body, err := x.receiveBody(connection, limit)
	x.bodyRead = int64(len(body)) <= limit
	if err == nil {
		// After an error the deadline stays, because net/http then reads the rest of the body.
		_ = connection.SetReadDeadline(time.Time{})
	}
	switch {
	case errors.Is(err, errBodyGaveWay):
		x.bodies.release(&x.bodyUsage)
		x.bodyRead = false // the rest is read and dropped, so that the refusal arrives
		x.w.Header().Set("Connection", "close")
		x.cfg.Metrics.CountClientLimit("body")
		return refusal.New(refusal.Overloaded, "%v", err)
	case int64(len(body)) > limit:
		x.bodies.release(&x.bodyUsage)
		return refusal.New(refusal.BodyTooLarge, "body exceeds the limit of %d bytes", limit)
	case err != nil:
		x.w.Header().Set("Connection", "close")
		return refusal.New(refusal.CallerTimeout, "reading the request body: %v", err)
	}
	x.body = body
	return nil
}

// lacksLength reports whether the length of the request's body is not known. net/http drops the
// transfer encoding of an HTTP/1.0 request and then takes its body for empty.
func (x *exchange) lacksLength() bool {
	if x.r.ProtoAtLeast(1, 1) || x.r.Header["Content-Length"] != nil {
		return false
	}
	return x.r.Method == http.MethodPost || x.r.Method == http.MethodPut || x.r.Method == http.MethodPatch
}

// setDeadline sets the request's deadline from the caller's and the route's timeout.
func (x *exchange) setDeadline() {
	timeout := x.info.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if t := x.route.Timeout; t > 0 {
		timeout = min(timeout, t)
	}
	x.deadline = x.arrived.Add(timeout)
	x.setWriteDeadline(x.deadline)
}

// setWriteDeadline bounds the writes of the response to shortly after the given time.
func (x *exchange) setWriteDeadline(t time.Time) {
	_ = http.NewResponseController(x.w).SetWriteDeadline(t.Add(writeDeadlineMargin)) // fails only without a connection
}

// buildRequest picks the service and builds the scheduling request.
func (x *exchange) buildRequest() {
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
		ref := refusal.New(refusal.QuotaExceeded, "quota of organisation %s does not have %.0f units left", x.organisation.Name, x.quotaUnits)
		x.quotaUnits = 0
		ref.RetryAfter = wait
		return ref
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
func (x *exchange) refuse(ref *refusal.Refusal) {
	x.releaseQuota()
	tier := request.Patient
	if x.request != nil {
		tier = x.request.Tier
	}
	x.cfg.Metrics.CountRefusal(tier, ref.Reason)
	event.RequestRefused.Log(x.cfg.Log, x.logAttrs(append(x.endAttrs(),
		slog.String("reason", ref.Reason.String()), slog.String("detail", ref.Detail), slog.String("ran", ref.RunState.String()),
		slog.Duration("retryAfter", ref.RetryAfter))...)...)
	h := x.w.Header()
	h.Set("Sardinefront-Reason", ref.Reason.String())
	h.Set("Sardinefront-Ran", ref.RunState.String())
	if ref.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(ref.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	if !x.hasUnreadBody() {
		x.w.WriteHeader(responseStatus(ref))
		return
	}
	connection := http.NewResponseController(x.w)
	_ = connection.EnableFullDuplex() // else net/http reads the body before it sends the refusal
	x.w.WriteHeader(responseStatus(ref))
	_ = connection.Flush()
	x.discardBody(connection)
}

// recoverPanic ends a request whose handler panicked with a status, or closes the connection
// if the response has begun. It is called by defer.
func (x *exchange) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler {
		panic(p)
	}
	event.RequestPanicked.Log(x.cfg.Log, slog.String("id", x.info.ID), slog.String("panic", fmt.Sprint(p)), slog.String("stack", string(debug.Stack())))
	if x.headSent {
		panic(http.ErrAbortHandler)
	}
	ref := refusal.New(refusal.InternalError, "the handler of the request panicked")
	if x.sends == 0 {
		ref.RunState = refusal.NotRun
	}
	x.refuse(ref)
}

// abortResponse closes the connection of a caller whose response has begun, so that the
// truncated response does not look complete. It does not return.
func (x *exchange) abortResponse(reason refusal.Reason, why error) {
	event.ResponseAborted.Log(x.cfg.Log, x.logAttrs(append(x.endAttrs(),
		slog.String("reason", reason.String()), slog.Any("error", why), slog.String("lastEvent", x.lastEventID))...)...)
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
	if service := x.table.Service(x.service); service != nil && service.Engine != nil {
		w.EventTokens = service.Engine.EventTokens
	}
	w.Homes.Route = x.route.HomeRegions
	if x.organisation != nil {
		w.Homes.Organisation = x.organisation.HomeRegions
	}
	if split := x.cfg.Rollouts.Split(x.service, x.arrived); split.Version != "" {
		w.RolloutVersion, w.AvoidRolloutVersion, w.RolledBack = split.Version, rand.Float64() >= split.Share, split.RolledBack
	}
	return w
}

// callerDisconnected reports whether the caller has closed its connection.
func (x *exchange) callerDisconnected() bool { return errors.Is(x.r.Context().Err(), context.Canceled) }

// attemptHeader returns the metadata that is added to the request for target t.
func (x *exchange) attemptHeader(t directory.Target, reservation string) protocol.Attempt {
	a := protocol.Attempt{Instance: t.ID, Remaining: time.Until(x.deadline), Reservation: reservation, LastEventID: x.lastEventID}
	if x.organisation != nil {
		a.Organisation = x.organisation.Name
	}
	return a
}
