package host

import (
	"bufio"
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

// The headers of the caller interface.
const (
	headerOrganisation = "X-Organisation"
	headerIdempotency  = "Idempotency-Key"
	headerRequestID    = "X-Request-Id"
	headerReason       = "Sardinefront-Reason"
	headerRan          = "Sardinefront-Ran"
	headerOwnID        = "Sardinefront-Request-Id"
	headerTarget       = "Sardinefront-Target"
)

// idSeparator stands between organisation and id in the id that targets see.
// Neither part may contain it.
const idSeparator = "~"

// outcomePath is where callers ask for the outcome of a recorded request.
const outcomePath = "/sardinefront/requests/"

var (
	organisationForm = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
	idForm           = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)
)

// intake is a caller's request, copied out of the server's buffers.
type intake struct {
	// id is the caller's id; the request's own id is prefixed by the
	// organisation, so that organisations cannot collide.
	id           string
	organisation string
	class        rules.Class
	req          *request.Request
	call         target.Request
}

func (h *Host) startCallers() error {
	l, err := net.Listen("tcp", h.settings.Listen.Callers)
	if err != nil {
		return err
	}
	h.callerListener = callerconn.Track(l)
	h.callers = fiber.New(fiber.Config{
		BodyLimit:    h.settings.Limits.BodyBytes,
		ReadTimeout:  h.settings.Limits.ReadTimeout,
		IdleTimeout:  h.settings.Limits.IdleTimeout,
		ErrorHandler: h.serverError,
		// The header of a request must fit this buffer.
		ReadBufferSize: 16 << 10,
	})
	h.callers.Get(outcomePath+":id", h.fetchOutcome)
	h.callers.All("/*", h.serveCaller)
	h.callerAddress = l.Addr().String()
	h.tasks.Go(func() {
		_ = h.callers.Listener(h.callerListener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return nil
}

// CallerAddress returns the address that callers use, after Start.
func (h *Host) CallerAddress() string { return h.callerAddress }

// serverError maps errors of the HTTP server, before a handler ran, to typed
// refusals.
func (h *Host) serverError(c fiber.Ctx, err error) error {
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

// refuse writes a typed refusal.
func (h *Host) refuse(c fiber.Ctx, id, organisation string, tier request.Tier, ref *refusal.Refusal) error {
	h.refused(id, organisation, tier, ref)
	c.Set(headerReason, ref.Reason.String())
	c.Set(headerRan, ref.RunState.String())
	if id != "" {
		c.Set(headerOwnID, id)
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

// serveCaller handles every request that is for a target.
func (h *Host) serveCaller(c fiber.Ctx) error {
	in, ref := h.takeIn(c)
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
	return h.answer(c, in)
}

// takeIn checks, classifies and copies a request.
func (h *Host) takeIn(c fiber.Ctx) (*intake, *refusal.Refusal) {
	in := &intake{
		organisation: strings.Clone(c.Get(headerOrganisation)),
		id:           strings.Clone(c.Get(headerIdempotency, c.Get(headerRequestID))),
	}
	if h.draining.Load() {
		return in, refusal.New(refusal.ShuttingDown, "this host is shutting down")
	}
	if in.id == "" {
		in.id = uuid.NewString()
	}
	if !idForm.MatchString(in.id) {
		in.id = ""
		return in, refusal.New(refusal.BadRequest, "the request id must match %s", idForm)
	}
	if !organisationForm.MatchString(in.organisation) {
		return in, refusal.New(refusal.BadRequest, "header %s must match %s", headerOrganisation, organisationForm)
	}
	set := h.rules.Load()
	if set == nil {
		return in, refusal.New(refusal.NoRule, "no rules are in force on this host yet")
	}
	class, ok := set.rules.Classify(c.Method(), c.Path(), in.organisation)
	if !ok {
		return in, refusal.New(refusal.NoRule, "no rule matches %s %s", c.Method(), c.Path())
	}
	in.class = class
	return in, h.describe(c, in)
}

// describe fills the request and the call to the target.
func (h *Host) describe(c fiber.Ctx, in *intake) *refusal.Refusal {
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
		return describeCompletion(in)
	}
	return nil
}

// describeCompletion estimates the cost and maps the path to the engine's.
func describeCompletion(in *intake) *refusal.Refusal {
	est, err := prompt.Parse(in.call.Body)
	if err != nil {
		return refusal.New(refusal.BadRequest, "%v", err)
	}
	if limit := in.class.PromptLimit; limit > 0 && est.PromptTokens > limit {
		return refusal.New(refusal.BodyTooLarge, "the prompt has about %d tokens, the rules allow %d", est.PromptTokens, limit)
	}
	in.req.PromptTokens, in.req.MaxTokens, in.req.Prefix = est.PromptTokens, est.MaxTokens, est.Prefix
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

// answer serves a request whose caller waits for the answer.
func (h *Host) answer(c fiber.Ctx, in *intake) error {
	h.active.Add(1)
	conn := c.RequestCtx().Conn()
	ctx, cancel := context.WithCancelCause(h.ctx)
	unwatch := callerconn.Watch(conn, func() { cancel(errCallerGone) })
	done := func() {
		unwatch()
		cancel(nil)
		h.active.Add(-1)
	}
	s, ref := h.openAnswer(ctx, in)
	if ref != nil {
		done()
		return h.refuse(c, in.id, in.organisation, in.req.Tier, ref)
	}
	head := s.head()
	c.Status(head.Status)
	for key, values := range head.Header {
		if !hopByHop[key] {
			c.Set(key, strings.Join(values, ", "))
		}
	}
	c.Set(headerOwnID, in.id)
	c.Set(headerRequestID, in.id)
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer done()
		if err := copyAnswer(ctx, w, conn, s); err != nil {
			// Closing the connection keeps the caller from taking a cut answer
			// for a whole one: the last chunk is never sent.
			_ = conn.Close()
			var ref *refusal.Refusal
			if errors.As(err, &ref) {
				h.refused(in.id, in.organisation, in.req.Tier, ref)
			}
		}
	})
}

var errCallerGone = errors.New("the caller closed its connection")

// hopByHop lists response headers that belong to the connection to the target.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true,
	"Upgrade": true, "Trailer": true, "Proxy-Authenticate": true,
}

// source is an answer that is being received.
type source interface {
	head() *target.Response
	// next returns io.EOF after the verified end.
	next(ctx context.Context) ([]byte, error)
	// abandon ends the answer because its caller no longer reads it.
	abandon()
}

// callerStall bounds how long a caller may take to read a part of its answer. A
// caller that stops reading would otherwise hold its place at the target.
const callerStall = 30 * time.Second

// copyAnswer forwards each part as soon as it arrives.
func copyAnswer(ctx context.Context, w *bufio.Writer, conn net.Conn, s source) error {
	for {
		part, err := s.next(ctx)
		_ = conn.SetWriteDeadline(time.Now().Add(callerStall))
		if errors.Is(err, io.EOF) {
			return w.Flush()
		}
		if err != nil {
			return err
		}
		if err := writePart(w, part); err != nil {
			s.abandon()
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
