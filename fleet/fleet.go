// Package fleet joins membership, the spread of the configuration and the peer
// transport into the Node of a running host.
package fleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/internal/core"
	"sardinefront.dev/fleet/member"
	"sardinefront.dev/fleet/peer"
	"sardinefront.dev/platform"
)

// Config holds the settings and callbacks of a Node. Callbacks may be nil.
// OnConfig, OnMember, OnDigest, OnFloor and OnHalt are called one at a time and
// in order from one goroutine; they may call the Node but not Stop. Digest is
// called with the Node locked and must return at once.
type Config struct {
	// Name is the host's name, as in its certificate.
	Name string
	// Zone is the availability zone.
	Zone string
	// Address is host:port at which peers reach this host.
	Address string
	// Listen is the local socket, Address if empty.
	Listen string
	// Incarnation must exceed that of the previous process of this name; the
	// start time in milliseconds will do.
	Incarnation uint64
	KV          platform.KV
	HostList    platform.EndpointList
	// Seeds are further hosts to join through when the platform's list cannot
	// be read.
	Seeds  []platform.Endpoint
	TLS    peer.KeyFiles
	Logger *slog.Logger

	// OnConfig puts a newer rules file into force. After an error the earlier
	// file stays in force on this host, which still passes the newer one on.
	OnConfig      func(v config.RulesFile) error
	OnMemberEvent func(e member.Event)
	// Digest returns the host's current digest of at most MaxDigest bytes; a
	// longer one is not sent.
	Digest   func() []byte
	OnDigest func(from string, b []byte)
	OnFloor  func(from string, b []byte)
	OnHalt   func(from string, b []byte)
	// Handle answers calls of peers. It runs concurrently and may block.
	HandleCall func(kind string, body []byte) []byte

	HostListInterval time.Duration // reading of the platform's list; 10 s
	// WatchFor is the longest a watch waits; 4 s. The read after it notices a
	// store that is down, a silent connection and a store set back.
	WatchTimeout time.Duration
	// ReadEvery is how often hosts that do not watch read the store as well;
	// 5 min. It bounds the harm of a fault in membership.
	StoreReadInterval time.Duration
	CallTimeout       time.Duration // of pulls; 2 s
	Member            member.Config // tuning; Name, Zone, Address and Incarnation are set by the Node
	Replica           config.ReplicaConfig
	Peer              peer.Config // tuning; Listen, Keys and Logger are set by the Node
}

func (c Config) withDefaults() Config {
	c.HostListInterval = cmp.Or(c.HostListInterval, 10*time.Second)
	c.WatchTimeout = cmp.Or(c.WatchTimeout, 4*time.Second)
	c.StoreReadInterval = cmp.Or(c.StoreReadInterval, 5*time.Minute)
	c.CallTimeout = cmp.Or(c.CallTimeout, 2*time.Second)
	c.Listen = cmp.Or(c.Listen, c.Address)
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	c.Member.Name, c.Member.Zone, c.Member.Address = c.Name, c.Zone, c.Address
	c.Member.Incarnation = c.Incarnation
	c.Peer.Listen, c.Peer.Keys, c.Peer.Logger = c.Listen, c.TLS, c.Logger
	return c
}

func (c Config) validate() error {
	var errs []error
	for _, s := range []struct{ name, value string }{{"name", c.Name}, {"zone", c.Zone}, {"address", c.Address}} {
		if s.value == "" {
			errs = append(errs, fmt.Errorf("fleet: setting %s is empty", s.name))
		}
	}
	if c.Incarnation == 0 {
		errs = append(errs, errors.New("fleet: the incarnation is 0"))
	}
	if c.KV == nil || c.HostList == nil {
		errs = append(errs, errors.New("fleet: the store or the host list is missing"))
	}
	return errors.Join(errs...)
}

// MaxDigest is the longest digest, in bytes, that is sent.
const MaxDigest = core.MaxDigest

// tickEvery is the step of the state machines.
const tickEvery = 100 * time.Millisecond

// Node is the fleet side of one host. Use New; all methods are safe for
// concurrent use.
type Node struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup
	peers  *peer.Transport

	mu       sync.Mutex
	core     *core.Core
	halts    seen
	inForce  config.Version
	rejected error
	started  bool

	deliveries deliveries
	store      storeState
	longDigest sync.Once
}

// New validates the settings. It opens nothing.
func New(c Config) (*Node, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	c = c.withDefaults()
	n := &Node{cfg: c}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.deliveries.init()
	return n, nil
}

// Start opens the transport and joins the fleet. Configuration and members
// arrive through the callbacks.
func (n *Node) Start() error {
	n.core = core.New(n.cfg.Member, n.cfg.Replica, n.digest, time.Now())
	// Handlers may run before New returns; they wait for the lock.
	n.mu.Lock()
	peers, err := peer.New(n.cfg.Peer, peer.Handlers{Message: n.message, Call: n.call})
	n.peers, n.started = peers, err == nil
	n.mu.Unlock()
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	n.wg.Go(n.deliver)
	n.wg.Go(n.tick)
	n.wg.Go(n.readHosts)
	n.wg.Go(n.join)
	n.wg.Go(n.followStore)
	return nil
}

// digest returns the host's digest, or nil if it is too long to send.
func (n *Node) digest() []byte {
	if n.cfg.Digest == nil {
		return nil
	}
	d := n.cfg.Digest()
	if len(d) <= MaxDigest {
		return d
	}
	n.longDigest.Do(func() {
		n.cfg.Logger.Error("digest not sent: too long", "bytes", len(d), "limit", MaxDigest)
	})
	return nil
}

// Stop announces the planned stop, ends all connections and waits for the
// callbacks. A Node that was not started needs no Stop.
func (n *Node) Stop() error {
	n.mu.Lock()
	started := n.started
	n.started = false
	n.mu.Unlock()
	if !started {
		return nil
	}
	n.do(func(c *core.Core, now time.Time) core.Actions { return c.Leave(now) })
	// The transport sends in the background; without this pause Close would
	// discard the announcement.
	time.Sleep(tickEvery)
	return n.shutDown()
}

// do runs an input of the core and carries out the actions. Callbacks are
// queued under the lock, which keeps their order.
func (n *Node) do(input func(c *core.Core, now time.Time) core.Actions) {
	n.mu.Lock()
	a := input(n.core, time.Now())
	n.queue(a)
	if a.Pull != nil && n.ctx.Err() == nil {
		n.wg.Go(func() { n.pull(*a.Pull) })
	}
	n.mu.Unlock()
	for _, p := range a.Packets {
		n.peers.Send(p.Address, kindGossip, p.Body)
	}
}

func (n *Node) tick() {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
			n.do((*core.Core).Tick)
		}
	}
}

// pull asks a peer for a newer rules file.
func (n *Node) pull(p config.Pull) {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.CallTimeout)
	defer cancel()
	body, err := config.EncodePullRequest(config.PullRequest{Have: p.Have})
	if err == nil {
		body, err = n.Call(ctx, p.To, kindPull, body)
	}
	n.do(func(c *core.Core, now time.Time) core.Actions { return c.HandlePullResponse(p.To, body, err, now) })
}

// readHosts keeps the platform's list current. A list that cannot be read
// changes nothing.
func (n *Node) readHosts() {
	t := time.NewTicker(n.cfg.HostListInterval)
	defer t.Stop()
	for {
		n.readHostsOnce()
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (n *Node) readHostsOnce() {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.HostListInterval)
	defer cancel()
	rows, err := n.cfg.HostList.ListEndpoints(ctx)
	if err != nil {
		if n.alone() {
			n.takeHosts(n.cfg.Seeds)
		}
		return
	}
	n.takeHosts(rows)
}

// alone reports whether no other member is known.
func (n *Node) alone() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.core.Membership.Members()) == 1
}

func (n *Node) takeHosts(rows []platform.Endpoint) {
	var list []member.ListedHost
	for _, r := range rows {
		if r.Role == platform.RoleHost {
			list = append(list, member.ListedHost{Name: r.Name, Zone: r.Zone, Address: r.Address, Leaving: r.Leaving})
		}
	}
	n.do(func(c *core.Core, now time.Time) core.Actions { return c.UpdateHostList(list, now) })
}
