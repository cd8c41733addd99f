// Package fleet combines membership, the distribution of the rules file and the peer
// transport into a Node, with which package host communicates with the other hosts.
// Package gateway uses package gateway/peers instead.
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

	"sardinefront.dev/core/supervise"
	"sardinefront.dev/core/wait"
	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/internal/core"
	"sardinefront.dev/fleet/member"
	"sardinefront.dev/fleet/peer"
	"sardinefront.dev/platform"
)

// Config holds the settings and callbacks of a Node. Callbacks may be nil.
// OnConfig, OnMemberEvent, OnDigest, OnFloor and OnHalt are called one at a time
// and in order from one goroutine. They may call methods of the Node except Stop
// and Abort. Digest is called with the Node locked, so it must not block or call
// the Node.
type Config struct {
	// Name is the host's name, as in its certificate.
	Name string
	// Zone is the host's availability zone.
	Zone string
	// Address is the host:port at which peers reach this host.
	Address string
	// Listen is the host:port of the local UDP socket. Default Address.
	Listen string
	// Incarnation must exceed that of the previous process with this name. The
	// start time in Unix milliseconds is suitable.
	Incarnation uint64
	// KV is the store of the rules file.
	KV platform.KV
	// HostList reads the platform's list of hosts and targets, the host list. Only its
	// hosts are used.
	HostList platform.EndpointList
	// Seeds are hosts to join through if the host list cannot be read and there is
	// no record of another member.
	Seeds  []platform.Endpoint
	TLS    peer.KeyFiles
	Logger *slog.Logger

	// OnConfig activates a newer rules file. If it returns an error, the
	// previous file stays active on this host, which still serves the newer
	// file to its peers.
	OnConfig func(v config.RulesFile) error
	// OnMemberEvent is called for each change of a member's state.
	OnMemberEvent func(e member.Event)
	// Digest returns the host's digest, an encoded summary of its state that is
	// attached to probes and not interpreted by the Node. A digest of more than
	// MaxDigest bytes is not sent.
	Digest func() []byte
	// OnDigest receives the digests of other hosts. OnFloor receives their tier
	// floors: the lowest tier that the hosts of a zone may start. OnHalt receives
	// their halts: instructions to send no requests to a version. from is the host
	// that sent the message first. Some messages are dropped if the callbacks are
	// slow.
	OnDigest func(from string, b []byte)
	OnFloor  func(from string, b []byte)
	OnHalt   func(from string, b []byte)
	// HandleCall returns the response to a call of a peer. It is called concurrently and may block.
	HandleCall func(kind string, body []byte) []byte

	HostListInterval time.Duration // between reads of the platform's host list; default 10 s
	// WatchTimeout limits one watch of the store; default 4 s. The read after
	// each watch detects that the store is down, that the connection is dead, or
	// that the store was rolled back to an older state.
	WatchTimeout time.Duration
	// StoreReadInterval is the time between reads of the store by a host that
	// does not watch it; default 5 min. These reads deliver the rules file even
	// if a fault in membership leaves a zone without a watcher.
	StoreReadInterval time.Duration
	CallTimeout       time.Duration // of pulls and of the join request; default 2 s
	Member            member.Config // Name, Zone, Address and Incarnation are set by the Node
	Replica           config.ReplicaConfig
	Peer              peer.Config // Listen, Keys and Logger are set by the Node
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
		errs = append(errs, errors.New("fleet: setting incarnation is 0"))
	}
	if c.KV == nil || c.HostList == nil {
		errs = append(errs, errors.New("fleet: setting KV or HostList is nil"))
	}
	return errors.Join(errs...)
}

// MaxDigest is the maximum length of a digest, in bytes. Longer ones are not sent.
const MaxDigest = core.MaxDigest

// tickInterval is the interval at which the state machines are advanced.
const tickInterval = 100 * time.Millisecond

// Node connects one host to the other hosts of the fleet. Create it with New. The
// methods are safe for concurrent use after Start has returned.
type Node struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup
	peers  *peer.Transport

	mu          sync.Mutex
	core        *core.Core
	recentHalts recentHashes
	applied     config.Version
	applyErr    error
	started     bool

	callbacks        callbackQueue
	store            storeState
	logDigestTooLong sync.Once
}

// New validates the settings and returns a Node that is not started. The error
// lists all invalid settings.
func New(c Config) (*Node, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	c = c.withDefaults()
	n := &Node{cfg: c}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.callbacks.init()
	return n, nil
}

// Start opens the transport and starts to join the fleet in the background. The
// rules file and the members are reported through the callbacks.
func (n *Node) Start() error {
	n.core = core.New(n.cfg.Member, n.cfg.Replica, n.digest, time.Now())
	// Handlers may run before peer.New returns; the lock makes them wait for n.peers.
	n.mu.Lock()
	peers, err := peer.New(n.cfg.Peer, peer.Handlers{Message: n.handleMessage, Call: n.handleCall})
	n.peers, n.started = peers, err == nil
	n.mu.Unlock()
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	n.wg.Go(n.runCallbacks)
	n.runLoop("member state", n.tick)
	n.runLoop("host list", n.pollHostList)
	n.runLoop("join", n.join)
	n.runLoop("store reads", n.followStore)
	return nil
}

// runLoop runs f in the background until it returns, again after a panic.
func (n *Node) runLoop(name string, f func()) {
	n.wg.Go(func() { supervise.Loop(n.ctx, n.cfg.Logger, name, func(context.Context) { f() }) })
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
	n.logDigestTooLong.Do(func() {
		n.cfg.Logger.Error("digest not sent: it exceeds the limit", "bytes", len(d), "limit", MaxDigest)
	})
	return nil
}

// Stop announces that the host leaves, closes all connections and waits for
// running callbacks to return. It does nothing if the Node is not running.
func (n *Node) Stop() error {
	if !n.markStopped() {
		return nil
	}
	n.step(func(c *core.Core, now time.Time) core.Actions { return c.Leave(now) })
	// The transport sends in the background. Without this pause, shutDown would
	// discard the announcement.
	time.Sleep(tickInterval)
	return n.shutDown()
}

// step passes an input to the core and executes the resulting actions. Callbacks
// are queued under the lock to keep them in order.
func (n *Node) step(input func(c *core.Core, now time.Time) core.Actions) {
	for _, p := range n.stepLocked(input) {
		n.peers.Send(p.Address, kindGossip, p.Body)
	}
}

// stepLocked takes the lock, passes an input to the core and executes the resulting actions, except
// that it returns the packets to send.
func (n *Node) stepLocked(input func(c *core.Core, now time.Time) core.Actions) []core.Packet {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := input(n.core, time.Now())
	n.queueCallbacks(a)
	if a.Pull != nil && n.ctx.Err() == nil {
		n.wg.Go(func() {
			defer supervise.Recover(n.cfg.Logger, "rules pull")
			n.pull(*a.Pull)
		})
	}
	return a.Packets
}

func (n *Node) tick() {
	wait.Every(n.ctx, tickInterval, func(time.Time) { n.step((*core.Core).Tick) })
}

// pull requests a newer rules file from a peer.
func (n *Node) pull(p config.Pull) {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.CallTimeout)
	defer cancel()
	body, err := config.EncodePullRequest(config.PullRequest{Have: p.Have})
	if err == nil {
		body, err = n.Call(ctx, p.To, kindPull, body)
	}
	n.step(func(c *core.Core, now time.Time) core.Actions { return c.HandlePullResponse(p.To, body, err, now) })
}

// pollHostList reads the platform's host list at regular intervals. If a read
// fails, the members stay as they are.
func (n *Node) pollHostList() {
	t := time.NewTicker(n.cfg.HostListInterval)
	defer t.Stop()
	for {
		n.refreshHostList()
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (n *Node) refreshHostList() {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.HostListInterval)
	defer cancel()
	rows, err := n.cfg.HostList.ListEndpoints(ctx)
	if err != nil {
		if n.hasNoPeers() {
			n.updateHostList(n.cfg.Seeds)
		}
		return
	}
	n.updateHostList(rows)
}

// hasNoPeers reports whether there is no record of another member.
func (n *Node) hasNoPeers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.core.Membership.Members()) == 1
}

func (n *Node) updateHostList(rows []platform.Endpoint) {
	var list []member.ListedHost
	for _, r := range rows {
		if r.Role == platform.RoleHost {
			list = append(list, member.ListedHost{Name: r.Name, Zone: r.Zone, Address: r.Address, Leaving: r.Leaving})
		}
	}
	n.step(func(c *core.Core, now time.Time) core.Actions { return c.UpdateHostList(list, now) })
}
