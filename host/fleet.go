package host

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/core/request"
	"sardinefront.dev/fleet"
	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/member"
	"sardinefront.dev/fleet/peer"
	"sardinefront.dev/journal/claim"
	"sardinefront.dev/sched/pool"
)

// The kinds of calls between hosts that this package answers.
const (
	kindJournal = "journal"
	// kindRelay asks the receiver to pass a journal call on to a host that the
	// sender cannot reach.
	kindRelay = "journal-relay"
)

// relays is how many peers are tried for a journal call that failed directly.
const relays = 2

// relayTimeout bounds the relayed call at the peer that passes it on.
const relayTimeout = 2 * time.Second

// startFleet joins the other hosts. A host without a peer address runs alone.
func (h *Host) startFleet() error {
	if h.settings.Listen.Peers == "" {
		return nil
	}
	node, err := fleet.New(fleet.Config{
		Name:        h.settings.Host.Name,
		Zone:        h.settings.Host.Zone,
		Address:     h.settings.Listen.Peers,
		Incarnation: h.owner.Incarnation,
		KV:          h.store,
		Hosts:       h.hosts,
		TLS: peer.KeyFiles{
			CA: h.settings.Keys.Authority, Cert: h.settings.Keys.Certificate, Key: h.settings.Keys.Key,
		},
		Logger:   h.log,
		OnConfig: func(v config.Value) error { return h.adopt(v.Text, v.Number, v.Author) },
		Digest:   h.digest,
		OnDigest: h.receiveDigest,
		OnFloor:  h.receiveFloor,
		OnHalt:   h.receiveHalt,
		Handle:   h.handlePeer,
	})
	if err != nil {
		return err
	}
	h.fleet = node
	return node.Start()
}

// handlePeer answers calls of other hosts.
func (h *Host) handlePeer(kind string, body []byte) []byte {
	ctx, cancel := context.WithTimeout(h.ctx, relayTimeout)
	defer cancel()
	switch kind {
	case kindJournal:
		return h.journal.Handle(ctx, body)
	case kindRelay:
		return h.relay(ctx, body)
	case kindMoveState:
		return h.serveMoveState(string(body))
	case kindEvidence:
		_ = h.tracker.Merge(body, time.Now())
		return nil
	default:
		return nil
	}
}

// relayed is a journal call on its way through another host.
type relayed struct {
	_    struct{} `cbor:",toarray"`
	Host string
	Body []byte
}

// relay passes a journal call on. An empty answer means that it failed, after
// which the sender looks the state up.
func (h *Host) relay(ctx context.Context, body []byte) []byte {
	var r relayed
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil
	}
	answer, err := h.fleet.Call(ctx, r.Host, kindJournal, r.Body)
	if err != nil {
		return nil
	}
	return answer
}

// journalCaller reaches partition writers on other hosts.
type journalCaller struct{ h *Host }

// errNoRelay means that neither the host nor a relay could be reached.
var errNoRelay = errors.New("no relay reached the host")

// Call implements journal.Caller. A record that arrives twice takes effect
// once, so a call without an answer may be repeated through a relay.
func (c journalCaller) Call(ctx context.Context, host string, req []byte) ([]byte, error) {
	answer, err := c.h.fleet.Call(ctx, host, kindJournal, req)
	if err == nil || ctx.Err() != nil {
		return answer, err
	}
	if answer, ok := c.relay(ctx, host, req); ok {
		return answer, nil
	}
	return nil, errors.Join(err, errNoRelay)
}

func (c journalCaller) relay(ctx context.Context, host string, req []byte) ([]byte, bool) {
	body, err := cbor.Marshal(relayed{Host: host, Body: req})
	if err != nil {
		return nil, false
	}
	for _, via := range c.h.randomPeers(host, relays) {
		answer, err := c.h.fleet.Call(ctx, via, kindRelay, body)
		if err == nil && len(answer) > 0 {
			return answer, true
		}
	}
	return nil, false
}

// randomPeers returns up to n live hosts other than this one and the given one.
func (h *Host) randomPeers(except string, n int) []string {
	var names []string
	for _, m := range h.fleet.Members() {
		if m.State == member.Alive && m.Name != except && m.Name != h.settings.Host.Name {
			names = append(names, m.Name)
		}
	}
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(n, len(names))]
}

// deadMembers returns the processes that membership holds to have ended: those
// of dead hosts, and the predecessors of live ones. It grants no permission to
// dispatch: the journal's log order decides.
func (h *Host) deadMembers() []claim.Owner {
	if h.fleet == nil {
		return nil
	}
	var dead []claim.Owner
	for _, m := range h.fleet.Members() {
		if m.Name == h.settings.Host.Name {
			continue
		}
		if last := lastEnded(m, time.Now()); last > 0 {
			dead = append(dead, claim.Owner{Host: m.Name, Incarnation: last})
		}
	}
	return dead
}

// lastEnded returns the last incarnation of a member that has ended, 0 if none
// is known to have. A member that was never heard has incarnation 0; once it is
// dead, every process of it that started before now has ended.
func lastEnded(m member.Member, now time.Time) uint64 {
	switch {
	case m.State.Gone() && m.Incarnation == 0:
		return uint64(now.UnixMilli())
	case m.State.Gone():
		return m.Incarnation
	case m.Incarnation > 0:
		return m.Incarnation - 1
	default:
		return 0
	}
}

// floorNotice tells peers about a tier floor. The remaining time is sent, not a
// point in time, because clocks of hosts differ.
type floorNotice struct {
	_      struct{} `cbor:",toarray"`
	Pool   string
	Tier   request.Tier
	Millis int64
}

// SendFloor implements floorSender.
func (h *Host) SendFloor(poolName string, tier request.Tier, until time.Time) {
	if h.fleet == nil {
		return
	}
	body, err := cbor.Marshal(floorNotice{Pool: poolName, Tier: tier, Millis: time.Until(until).Milliseconds()})
	if err == nil {
		h.fleet.BroadcastFloor(body)
	}
}

// maxFloor bounds how long a peer's floor lasts, so that a wrong notice does
// little harm.
const maxFloor = 10 * time.Second

func (h *Host) receiveFloor(from string, body []byte) {
	var f floorNotice
	if err := cbor.Unmarshal(body, &f); err != nil || f.Tier >= request.TierCount {
		return
	}
	runner, ok := (*h.pools.Load())[f.Pool]
	if !ok {
		return
	}
	left := min(time.Duration(f.Millis)*time.Millisecond, maxFloor)
	runner.do(func(now time.Time) []pool.Action { return runner.sched.Floor(f.Tier, now.Add(left), from, now) })
}
