// Package promptparts blocks requests whose prompt has a part that crashes targets. It adds
// locking, logs, metrics and the exchange with peers to sched/quarantine.
package promptparts

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinefront.dev/core/event"
	"sardinefront.dev/sched/quarantine"
)

// minReplyInterval is the time between heartbeats that only correct the evidence of a peer.
const minReplyInterval = 200 * time.Millisecond

// Peers sends this host's state to the other hosts. Its methods must not block.
type Peers interface {
	// SendHeartbeat sends the state at once to the peers that get heartbeats at the full rate.
	SendHeartbeat()
	// SendHeartbeatToAll sends the state at once to all peers.
	SendHeartbeatToAll()
	// Hosts returns the names of this host and of all hosts that are alive.
	Hosts() (self string, hosts []string)
}

// Metrics counts changes.
type Metrics interface {
	// CountPromptPart counts a change of the state of a prompt part.
	CountPromptPart(change string)
}

// Guard holds the evidence on prompt parts. It is safe for concurrent use.
type Guard struct {
	peers   Peers
	metrics Metrics
	log     *slog.Logger

	mu        sync.Mutex
	table     *quarantine.Table
	lastReply time.Time
}

// New returns a Guard without evidence.
func New(peers Peers, metrics Metrics, log *slog.Logger) *Guard {
	return &Guard{peers: peers, metrics: metrics, log: log, table: quarantine.New()}
}

// Check states whether a request with these parts may be sent to a target. Unless the verdict is
// Allowed, id is the first quarantined part that affects the request.
func (g *Guard) Check(service string, ids []string, now time.Time) (id string, verdict quarantine.Verdict) {
	if len(ids) == 0 {
		return "", quarantine.Allowed
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p, verdict := g.table.Check(parts(service, ids), g.peers.Hosts, now)
	return p.ID, verdict
}

// RecordSuccess records that a response to a request with these parts has begun: the first event
// of a stream, or another response, was received.
func (g *Guard) RecordSuccess(service string, ids []string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordServed(quarantine.NewPart(service, "").Service, now)
	if g.table.RecordSuccess(parts(service, ids), now) {
		g.publish()
	}
}

// RecordCrash records that a target crashed while a request with these parts waited there for
// the beginning of its response.
func (g *Guard) RecordCrash(service string, ids []string, targetKey string, sent, crashed time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordCrash(parts(service, ids), uint32(xxhash.Sum64String(targetKey)), sent, crashed)
	g.peers.SendHeartbeat()
	g.publish()
}

// Reports returns the evidence for the peers.
func (g *Guard) Reports(now time.Time) []quarantine.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Reports(now)
}

// Merge adds the evidence of a peer.
func (g *Guard) Merge(reports []quarantine.Report, now time.Time) {
	if len(reports) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	outdated := g.table.Merge(reports, now)
	g.publish()
	if outdated && now.Sub(g.lastReply) >= minReplyInterval {
		g.lastReply = now
		g.peers.SendHeartbeatToAll()
	}
}

// publish logs and counts the changes of the table. It sends changes that this host found to all
// peers. The caller holds g.mu.
func (g *Guard) publish() {
	for _, c := range g.table.TakeChanges() {
		line := [...]event.Event{
			quarantine.Suspected: event.PromptPartSuspected, quarantine.Quarantined: event.PromptPartQuarantined, quarantine.Released: event.PromptPartReleased,
		}[c.Kind]
		line.Log(g.log, slog.String("part", c.ID), slog.String("service", c.Service), slog.Int("crashes", c.Crashes),
			slog.Int("chain", c.Chain), slog.Duration("age", c.Age), slog.Bool("peer", c.Peer))
		g.metrics.CountPromptPart(c.Kind.String())
		if !c.Peer {
			g.peers.SendHeartbeatToAll()
		}
	}
}

func parts(service string, ids []string) []quarantine.Part {
	out := make([]quarantine.Part, 0, len(ids))
	for _, id := range ids {
		out = append(out, quarantine.NewPart(service, id))
	}
	return out
}
