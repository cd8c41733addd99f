package host

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/host/internal/callerconn"
	"sardinefront.dev/host/internal/prompt"
	"sardinefront.dev/rules"
	"sardinefront.dev/sched/pool"
	"sardinefront.dev/target"
)

// Headers of the caller interface.
const (
	headerOrganisation          = "X-Organisation"
	headerIdempotency           = "Idempotency-Key"
	headerRequestID             = "X-Request-Id"
	headerReason                = "Sardinefront-Reason"
	headerRan                   = "Sardinefront-Ran"
	headerSardinefrontRequestID = "Sardinefront-Request-Id"
	headerTarget                = "Sardinefront-Target"
)

// idSeparator separates the organisation from the caller's id in request ids sent to targets.
// Neither part may contain it.
const idSeparator = "~"

// outcomePath plus the caller's id is the path at which callers fetch the outcome of a recorded
// request.
const outcomePath = "/sardinefront/requests/"

var (
	organisationPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
	requestIDPattern    = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)
)

// incomingRequest is a caller's request, copied because the HTTP server reuses its buffers.
type incomingRequest struct {
	// id is the caller's id. req.ID is prefixed with the organisation, so that ids of different
	// organisations cannot collide.
	id           string
	organisation string
	class        rules.Class
	req          *request.Request
	call         target.Request
}

func (h *Host) startCallerServer() error {
	l, err := net.Listen("tcp", h.settings.Listen.Callers)
	if err != nil {
		return err
	}
	h.callerListener = callerconn.NewTrackingListener(l)
	h.callerServer = fiber.New(fiber.Config{
		BodyLimit:    h.settings.Limits.BodyBytes,
		ReadTimeout:  h.settings.Limits.ReadTimeout,
		IdleTimeout:  h.settings.Limits.IdleTimeout,
		ErrorHandler: h.handleServerError,
		// A request whose header does not fit into this buffer is rejected.
		ReadBufferSize: 16 << 10,
	})
	h.callerServer.Get(outcomePath+":id", h.serveOutcome)
	h.callerServer.All("/*", h.serveCaller)
	h.callerAddress = l.Addr().String()
	h.tasks.Go(func() {
		_ = h.callerServer.Listener(h.callerListener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return nil
}

// CallerAddress returns the address of the caller interface. It is empty before Start.
func (h *Host) CallerAddress() string { return h.callerAddress }

// handleServerError writes a refusal for an error of the HTTP server that occurs before a
// handler runs.
func (h *Host) handleServerError(c fiber.Ctx, err error) error {
	reason := refusal.BadRequest
	var fe *fiber.Error
	if errors.As(err, &fe) {
		switch fe.Code {
		case http.StatusRequestEntityTooLarge:
			reason = refusal.BodyTooLarge
		case http.StatusRequestTimeout:
			reason = refusal.CallerTimeout
		}
	}
	return h.refuse(c, "", "", request.Interactive, refusal.New(reason, "%v", err))
}

// refuse records a refusal and writes it as the response.
func (h *Host) refuse(c fiber.Ctx, id, organisation string, tier request.Tier, ref *refusal.Refusal) error {
	h.recordRefusal(id, organisation, tier, ref)
	c.Set(headerReason, ref.Reason.String())
	c.Set(headerRan, ref.RunState.String())
	if id != "" {
		c.Set(headerSardinefrontRequestID, id)
	}
	if ref.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int((ref.RetryAfter+time.Second-1)/time.Second)))
	}
	return c.Status(ref.Reason.Status()).JSON(refusalBody{
		Reason: ref.Reason.String(), Ran: ref.RunState.String(), Detail: ref.Detail, RequestID: id,
	})
}

type refusalBody struct {
	Reason    string `json:"reason"`
	Ran       string `json:"ran"`
	Detail    string `json:"detail"`
	RequestID string `json:"request_id,omitempty"`
}

// serveCaller handles requests for targets.
func (h *Host) serveCaller(c fiber.Ctx) error {
	// A stop waits for this request from before it looks whether the host is draining.
	h.admitting.Add(1)
	defer h.admitting.Add(-1)
	in, ref := h.admit(c)
	if ref != nil {
		tier := request.Interactive
		if in.req != nil {
			tier = in.req.Tier
		}
		return h.refuse(c, in.id, in.organisation, tier, ref)
	}
	h.metrics.CountRequest(in.req.Tier, in.req.Pool)
	if in.req.Tier == request.Patient {
		return h.submitPatient(c, in)
	}
	return h.respond(c, in)
}

// admit validates, copies and classifies a request. On a refusal, req is nil unless the request
// was classified.
func (h *Host) admit(c fiber.Ctx) (*incomingRequest, *refusal.Refusal) {
	in := &incomingRequest{
		organisation: strings.Clone(c.Get(headerOrganisation)),
		id:           strings.Clone(c.Get(headerIdempotency, c.Get(headerRequestID))),
	}
	if h.draining.Load() {
		return in, refusal.New(refusal.ShuttingDown, "this host is shutting down")
	}
	if bodyLengthUnknown(c) {
		c.RequestCtx().SetConnectionClose()
		return in, refusal.New(refusal.BadRequest, "the length of the request body is not known")
	}
	if in.id == "" {
		in.id = uuid.NewString()
	}
	if !requestIDPattern.MatchString(in.id) {
		in.id = ""
		return in, refusal.New(refusal.BadRequest, "the request id must match %s", requestIDPattern)
	}
	if !organisationPattern.MatchString(in.organisation) {
		return in, refusal.New(refusal.BadRequest, "header %s must match %s", headerOrganisation, organisationPattern)
	}
	set := h.rules.Load()
	if set == nil {
		return in, refusal.New(refusal.NoRule, "this host has not loaded any rules yet")
	}
	class, ok := set.rules.Classify(c.Method(), c.Path(), in.organisation)
	if !ok {
		return in, refusal.New(refusal.NoRule, "no rule matches %s %s", c.Method(), c.Path())
	}
	in.class = class
	return in, h.buildRequest(c, in)
}

// bodyLengthUnknown reports whether the length of a request's body is not known. fasthttp drops the
// transfer encoding "identity", and takes the body for empty where it knows no length.
func bodyLengthUnknown(c fiber.Ctx) bool {
	header := &c.Request().Header
	switch {
	case header.ContentLength() == -1: // in chunks
		return false
	case hasField(header.RawHeaders(), fiber.HeaderTransferEncoding):
		return true
	case header.IsHTTP11() || hasField(header.RawHeaders(), fiber.HeaderContentLength):
		return false
	}
	return header.IsPost() || header.IsPut() || header.IsPatch()
}

// hasField reports whether a field is among the lines of a head.
func hasField(lines []byte, name string) bool {
	for line := range bytes.Lines(lines) {
		if field, _, _ := bytes.Cut(line, []byte(":")); bytes.EqualFold(field, []byte(name)) {
			return true
		}
	}
	return false
}

// buildRequest sets in.req and in.call from the HTTP request and its class.
func (h *Host) buildRequest(c fiber.Ctx, in *incomingRequest) *refusal.Refusal {
	now := time.Now()
	in.req = &request.Request{
		ID:           in.organisation + idSeparator + in.id,
		Organisation: in.organisation,
		Tier:         in.class.Tier,
		Effect:       in.class.Effect,
		Pool:         in.class.Pool,
		Route:        in.class.Route,
		Arrived:      now,
		Deadline:     now.Add(in.class.ResponseTimeout),
		FirstToken:   in.class.FirstToken,
	}
	in.call = target.Request{
		ID:     in.req.ID,
		Method: strings.Clone(c.Method()),
		Path:   strings.Clone(c.OriginalURL()),
		Header: copyHeader(c),
		Body:   append([]byte(nil), c.Body()...),
	}
	if err := in.call.Validate(); err != nil {
		return refusal.New(refusal.BadRequest, "%v", err)
	}
	runner, ok := (*h.pools.Load())[in.class.Pool]
	if !ok {
		return refusal.New(refusal.UnknownPool, "pool %s is not running on this host", in.class.Pool)
	}
	if runner.kind == pool.Engine {
		return buildCompletion(in)
	}
	return nil
}

// buildCompletion sets the estimated tokens of a completion request and the method and path of
// the engine's API.
func buildCompletion(in *incomingRequest) *refusal.Refusal {
	est, err := prompt.Parse(in.call.Body)
	if err != nil {
		return refusal.New(refusal.BadRequest, "%v", err)
	}
	if limit := in.class.MaxPromptTokens; limit > 0 && est.PromptTokens > limit {
		return refusal.New(refusal.BodyTooLarge, "the prompt has about %d tokens, the rules allow %d", est.PromptTokens, limit)
	}
	in.req.PromptTokens, in.req.MaxTokens, in.req.Prefix = est.PromptTokens, est.MaxTokens, est.PrefixHashes
	in.call.Method = http.MethodPost
	in.call.Path = est.Path
	in.call.Stream = est.Stream
	return nil
}

func copyHeader(c fiber.Ctx) http.Header {
	header := make(http.Header)
	for key, value := range c.Request().Header.All() {
		header.Add(string(key), string(value))
	}
	return header
}

// respond serves a request whose caller waits for the response.
func (h *Host) respond(c fiber.Ctx, in *incomingRequest) error {
	h.inProgress.Add(1)
	conn := c.RequestCtx().Conn()
	ctx, cancel := context.WithCancelCause(h.ctx)
	unwatch := callerconn.Watch(conn, func() { cancel(errCallerDisconnected) })
	done := func() {
		unwatch()
		cancel(nil)
		h.inProgress.Add(-1)
	}
	reader, ref := h.openResponse(ctx, in)
	if ref != nil {
		done()
		return h.refuse(c, in.id, in.organisation, in.req.Tier, ref)
	}
	head := reader.head()
	c.Status(head.Status)
	for key, values := range head.Header {
		if !hopByHopHeaders[key] {
			c.Set(key, strings.Join(values, ", "))
		}
	}
	c.Set(headerSardinefrontRequestID, in.id)
	c.Set(headerRequestID, in.id)
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer done()
		if err := copyResponse(ctx, w, conn, reader); err != nil {
			// Closing the connection before the last chunk is sent lets the caller detect
			// that the response is truncated.
			_ = conn.Close()
			var ref *refusal.Refusal
			if errors.As(err, &ref) {
				h.recordRefusal(in.id, in.organisation, in.req.Tier, ref)
			}
		}
	})
}

var errCallerDisconnected = errors.New("the caller closed its connection")

// hopByHopHeaders are response headers that are not forwarded, because they describe the
// connection to the target.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true,
	"Upgrade": true, "Trailer": true, "Proxy-Authenticate": true,
}

// responseReader reads a response part by part.
type responseReader interface {
	head() *target.Response
	// next returns the next part of the body, or io.EOF after the verified end. Any other error
	// is a *refusal.Refusal.
	next(ctx context.Context) ([]byte, error)
	// abandon cancels the response because its caller no longer reads it.
	abandon()
}

// callerReadTimeout bounds how long a caller may take to read a part of its response. A caller
// that stops reading would otherwise occupy its slot at the target.
const callerReadTimeout = 30 * time.Second

// copyResponse forwards each part as soon as it arrives.
func copyResponse(ctx context.Context, w *bufio.Writer, conn net.Conn, reader responseReader) error {
	for {
		part, err := reader.next(ctx)
		_ = conn.SetWriteDeadline(time.Now().Add(callerReadTimeout))
		if errors.Is(err, io.EOF) {
			return w.Flush()
		}
		if err != nil {
			return err
		}
		if err := writePart(w, part); err != nil {
			reader.abandon()
			return err
		}
	}
}

func writePart(w *bufio.Writer, part []byte) error {
	if _, err := w.Write(part); err != nil {
		return err
	}
	return w.Flush()
}
