package host

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/fleet/member"
	"sardinefront.dev/host/internal/keyfiles"
	"sardinefront.dev/journal/claim"
	"sardinefront.dev/sched/pool"
)

// Status is the state of one host, as shown by sardinectl status.
type Status struct {
	Host  string `json:"host"`
	Zone  string `json:"zone"`
	Ready bool   `json:"ready"`
	// Active is the number of requests in progress.
	Active int64 `json:"active"`
	// Revision, Author and Since describe the active rules file: its number, who pushed it and
	// when this host activated it.
	Revision int64        `json:"revision"`
	Author   string       `json:"author"`
	Since    time.Time    `json:"since"`
	Pools    []PoolStatus `json:"pools"`
	// Members is empty on a host without peers.
	Members []MemberStatus `json:"members,omitempty"`
	// Partitions lists the journal partitions that this host writes.
	Partitions []int `json:"partitions,omitempty"`
}

// MemberStatus is this host's view of a member of the fleet.
type MemberStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// PoolStatus is the state of one pool on one host. Waiting and Running count requests by tier.
type PoolStatus struct {
	Name    string                 `json:"name"`
	Waiting [request.TierCount]int `json:"waiting"`
	Running [request.TierCount]int `json:"running"`
	Paused  int                    `json:"paused"`
	Targets int                    `json:"targets"`
	Ejected int                    `json:"ejected"`
	Floor   string                 `json:"floor,omitempty"`
	// FloorSince is when the floor was first raised. Renewals without a gap do not change it.
	FloorSince time.Time `json:"floorSince,omitzero"`
	// Closed lists the targets that receive no new requests although they are not ejected.
	Closed []ClosedTargetStatus `json:"closed,omitempty"`
}

// ClosedTargetStatus states why a target receives no new requests.
type ClosedTargetStatus struct {
	Target string `json:"target"`
	// Reason is leaving or backed-off. Source is where this host learned it: list, response or
	// peer.
	Reason string `json:"reason"`
	Source string `json:"source"`
	// Since is when the target stated that it is leaving, Until the end of its back-off.
	Since time.Time `json:"since,omitzero"`
	Until time.Time `json:"until,omitzero"`
}

func (h *Host) startOperatorServer() error {
	l, err := net.Listen("tcp", h.settings.Listen.Operators)
	if err != nil {
		return err
	}
	h.operatorAddress = l.Addr().String()
	if l, err = h.wrapTLS(l); err != nil {
		return err
	}
	app := fiber.New()
	app.Get("/health", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/ready", h.serveReady)
	app.Get("/metrics", adaptor.HTTPHandler(h.metrics.Handler()))
	v1 := app.Group("/v1", h.requireClientCertificate)
	v1.Get("/status", func(c fiber.Ctx) error { return c.JSON(h.Status()) })
	v1.Get("/explain/:organisation/:id", h.serveExplain)
	v1.Get("/moves", func(c fiber.Ctx) error { return c.JSON(h.Moves()) })
	v1.Post("/drain", h.serveDrain)
	h.operatorServer = app
	h.tasks.Go(func() {
		_ = app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return nil
}

// wrapTLS wraps the listener in TLS if the settings name key files.
func (h *Host) wrapTLS(l net.Listener) (net.Listener, error) {
	if h.settings.KeyFiles.CA == "" {
		return l, nil
	}
	keys, err := keyfiles.New(keyfiles.Files{
		CA:   h.settings.KeyFiles.CA,
		Cert: h.settings.KeyFiles.Cert,
		Key:  h.settings.KeyFiles.Key,
	})
	if err != nil {
		return nil, err
	}
	return tls.NewListener(l, keys.Config()), nil
}

// OperatorAddress returns the address of the operator interface. It is empty before Start.
func (h *Host) OperatorAddress() string { return h.operatorAddress }

// requireClientCertificate refuses requests of operators without a verified client certificate if
// the settings name a certificate authority.
func (h *Host) requireClientCertificate(c fiber.Ctx) error {
	if h.settings.KeyFiles.CA == "" {
		return c.Next()
	}
	state := c.RequestCtx().TLSConnectionState()
	if state == nil || len(state.VerifiedChains) == 0 {
		h.metrics.CountRefusal(request.Interactive, refusal.Unauthorized)
		return c.Status(http.StatusUnauthorized).SendString("a client certificate of the operators' authority is required\n")
	}
	return c.Next()
}

func (h *Host) serveReady(c fiber.Ctx) error {
	if !h.ready.Load() {
		return c.Status(http.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

// Status returns the state of this host.
func (h *Host) Status() Status {
	s := Status{
		Host: h.settings.Host.Name, Zone: h.settings.Host.Zone,
		Ready: h.ready.Load(), Active: h.inProgress.Load(),
	}
	if set := h.rules.Load(); set != nil {
		s.Revision, s.Author, s.Since = set.number, set.author, set.activeSince
	}
	now := time.Now()
	for name, runner := range *h.pools.Load() {
		status := poolStatus(name, runner.scheduler.Stats(now), now)
		status.Closed = closedTargetStatus(runner.scheduler.ClosedTargets(now))
		s.Pools = append(s.Pools, status)
	}
	for i := range h.settings.Journal.Partitions {
		if h.journal.IsWriter(i) {
			s.Partitions = append(s.Partitions, i)
		}
	}
	if h.fleet != nil {
		s.Members = memberStatus(h.fleet.Members())
	}
	return s
}

func memberStatus(members []member.Member) []MemberStatus {
	rows := make([]MemberStatus, len(members))
	for i, m := range members {
		rows[i] = MemberStatus{Name: m.Name, Zone: m.Zone, State: m.State.String(), Incarnation: m.Incarnation, Leaving: m.Leaving}
	}
	return rows
}

func poolStatus(name string, stats pool.Stats, now time.Time) PoolStatus {
	p := PoolStatus{
		Name: name, Waiting: stats.Waiting, Running: stats.Running, Paused: stats.Paused,
		Targets: stats.Targets, Ejected: stats.Ejected,
	}
	if stats.FloorUntil.After(now) {
		p.Floor, p.FloorSince = stats.Floor.String(), stats.FloorSince
	}
	return p
}

func closedTargetStatus(closed []pool.ClosedTarget) []ClosedTargetStatus {
	rows := make([]ClosedTargetStatus, len(closed))
	for i, c := range closed {
		rows[i] = ClosedTargetStatus{Target: c.Name, Reason: c.Closure.String(), Source: c.Source.String(), Since: c.Since, Until: c.Until}
	}
	return rows
}

// Explanation holds one host's recent decisions about a request and the request's record in the
// journal.
type Explanation struct {
	// Decisions are recent decisions of this host's schedulers, oldest first.
	Decisions []pool.Decision `json:"decisions"`
	// Record is the state in the journal. It is nil if there is none or it cannot be read.
	Record *RecordStatus `json:"record,omitempty"`
}

// RecordStatus is the state of a patient or non-idempotent request in the journal.
type RecordStatus struct {
	Phase string `json:"phase"`
	// Host and Incarnation name the process that claimed the request.
	Host             string    `json:"host,omitempty"`
	Incarnation      uint64    `json:"incarnation,omitempty"`
	Target           string    `json:"target,omitempty"`
	Fence            int64     `json:"fence,omitempty"`
	ReleasedAttempts int       `json:"attempts_given_back"`
	Reason           string    `json:"reason,omitempty"`
	Changed          time.Time `json:"changed"`
}

// explainTimeout bounds the lookup in the journal.
const explainTimeout = 3 * time.Second

// serveExplain returns the Explanation of one request.
func (h *Host) serveExplain(c fiber.Ctx) error {
	organisation, id := strings.Clone(c.Params("organisation")), strings.Clone(c.Params("id"))
	var e Explanation
	for _, runner := range *h.pools.Load() {
		e.Decisions = append(e.Decisions, runner.scheduler.Explain(organisation+idSeparator+id)...)
	}
	ctx, cancel := context.WithTimeout(h.ctx, explainTimeout)
	defer cancel()
	if st, err := h.journal.Lookup(ctx, organisation, id); err == nil && st.Phase != claim.Absent {
		e.Record = recordStatus(st)
	}
	if len(e.Decisions) == 0 && e.Record == nil {
		return c.Status(http.StatusNotFound).JSON(fiber.Map{"error": "no recent decision about this request on this host and no record of it"})
	}
	return c.JSON(e)
}

func recordStatus(st claim.State) *RecordStatus {
	return &RecordStatus{
		Phase: st.Phase.String(), Host: st.Owner().Host, Incarnation: st.Owner().Incarnation, Target: st.Target,
		Fence: st.Fence, ReleasedAttempts: len(st.ReleasedAttempts), Reason: st.Reason, Changed: time.UnixMilli(st.ChangedUnixMilli),
	}
}

// serveDrain requests a graceful shutdown, like SIGTERM.
func (h *Host) serveDrain(c fiber.Ctx) error {
	h.requestDrain()
	return c.Status(http.StatusAccepted).JSON(fiber.Map{"in_progress": h.inProgress.Load()})
}

// closeListeners closes the listeners. Call it after the last response is complete.
func (h *Host) closeListeners() {
	_ = h.callerServer.ShutdownWithTimeout(time.Second)
	_ = h.operatorServer.ShutdownWithTimeout(time.Second)
}
