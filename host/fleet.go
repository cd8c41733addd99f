package host

import (
	"context"
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

// kindJournal is the kind of calls to the writer of a journal partition.
const kindJournal = "journal"

// peerCallTimeout bounds calls between hosts, for the caller and in the handler.
const peerCallTimeout = 2 * time.Second

// startFleet joins the fleet. A host without a peer address runs alone.
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
		HostList:    h.hostList,
		TLS: peer.KeyFiles{
			CA: h.settings.KeyFiles.CA, Cert: h.settings.KeyFiles.Cert, Key: h.settings.KeyFiles.Key,
		},
		Logger:     h.log,
		OnConfig:   func(v config.RulesFile) error { return h.applyRules(v.Text, v.Number, v.Author) },
		Digest:     h.digest,
		OnDigest:   h.receiveDigest,
		OnFloor:    h.receiveFloor,
		OnHalt:     h.receiveHalt,
		HandleCall: h.handlePeerCall,
	})
	if err != nil {
		return err
	}
	h.fleet = node
	return node.Start()
}

// handlePeerCall handles calls of other hosts. An unknown kind gets an empty response.
func (h *Host) handlePeerCall(kind string, body []byte) []byte {
	ctx, cancel := context.WithTimeout(h.ctx, peerCallTimeout)
	defer cancel()
	switch kind {
	case kindJournal:
		return h.journal.Handle(ctx, body)
	case kindMoveState:
		return h.serveMoveState(string(body))
	case kindMoveSamples:
		_ = h.moveTracker.MergeDigest(body, time.Now())
		return nil
	default:
		return nil
	}
}

// journalTransport sends journal calls to other hosts.
type journalTransport struct{ host *Host }

// Call implements journal.Transport.
func (c journalTransport) Call(ctx context.Context, host string, req []byte) ([]byte, error) {
	return c.host.fleet.Call(ctx, host, kindJournal, req)
}

// deadPeerOwners returns the processes of other hosts that have ended according to membership: those
// of dead hosts and earlier processes of live ones. Membership may be wrong, so a dead owner does
// not permit a dispatch; only the order of records in the journal does.
func (h *Host) deadPeerOwners() []claim.Owner {
	if h.fleet == nil {
		return nil
	}
	var dead []claim.Owner
	for _, m := range h.fleet.Members() {
		if m.Name == h.settings.Host.Name {
			continue
		}
		if last := lastEndedIncarnation(m, time.Now()); last > 0 {
			dead = append(dead, claim.Owner{Host: m.Name, Incarnation: last})
		}
	}
	return dead
}

// lastEndedIncarnation returns the last incarnation of a member that has ended, or 0 if none is
// known to have ended. A member from which no message was received has incarnation 0. If it is
// declared dead, all its processes that started before now count as ended.
func lastEndedIncarnation(m member.Member, now time.Time) uint64 {
	switch {
	case m.State.DeadOrLeft() && m.Incarnation == 0:
		return uint64(now.UnixMilli())
	case m.State.DeadOrLeft():
		return m.Incarnation
	case m.Incarnation > 0:
		return m.Incarnation - 1
	default:
		return 0
	}
}

// floorNotice announces a tier floor to peers. It holds the remaining time instead of the end,
// because the clocks of hosts differ.
type floorNotice struct {
	_           struct{} `cbor:",toarray"`
	Pool        string
	Tier        request.Tier
	RemainingMs int64
}

// broadcastFloor implements floorBroadcaster.
func (h *Host) broadcastFloor(poolName string, tier request.Tier, until time.Time) {
	if h.fleet == nil {
		return
	}
	body, err := cbor.Marshal(floorNotice{Pool: poolName, Tier: tier, RemainingMs: time.Until(until).Milliseconds()})
	if err == nil {
		h.fleet.BroadcastFloor(body)
	}
}

// maxPeerFloor bounds the duration of a peer's floor, to limit the effect of a wrong notice.
const maxPeerFloor = 10 * time.Second

// receiveFloor applies a tier floor announced by a peer.
func (h *Host) receiveFloor(from string, body []byte) {
	var f floorNotice
	if err := cbor.Unmarshal(body, &f); err != nil || f.Tier >= request.TierCount {
		return
	}
	runner, ok := (*h.pools.Load())[f.Pool]
	if !ok {
		return
	}
	remaining := min(time.Duration(f.RemainingMs)*time.Millisecond, maxPeerFloor)
	runner.decide(func(now time.Time) []pool.Action {
		return runner.scheduler.ApplyPeerFloor(f.Tier, now.Add(remaining), from, now)
	})
}
