// Package core joins membership and the spread of the configuration as one
// pure state machine, which the Node drives in real time and the simulation in
// virtual time.
package core

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/member"
)

// MaxDigest is the longest digest, in bytes, that a caller of New may return.
// At 2.4 probes and acknowledgements a second it makes up half of the traffic;
// 600 bytes left no room under 5 KB/s for floors, halts and churn at 360 hosts.
const MaxDigest = 512

// hintFanout is how many zone members hear of a newly adopted rules file at
// once. Three reach most of a zone of 40 within two hops; probes reach the
// rest.
const hintFanout = 3

// envelope is the one-way message between hosts.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Message member.Message
	Advert  config.Advert
	// Digest is only attached to probes and their acknowledgements.
	Digest []byte
}

// Packet is an encoded envelope to send.
type Packet struct {
	To, Address string
	Body        []byte
}

// Actions is what an input leads to.
type Actions struct {
	Packets []Packet
	Events  []member.Event
	Pull    *config.Pull
	// Adopted means that the spread holds a newer rules file.
	Adopted    bool
	DigestFrom string
	Digest     []byte
}

// Core joins membership and the spread of the configuration as one pure state
// machine. It is not safe for concurrent use.
type Core struct {
	Membership *member.Machine
	Replica    *config.Replica
	digest     func() []byte
}

// New returns a core that knows only its own host. digest may be nil.
func New(mc member.Config, sc config.ReplicaConfig, digest func() []byte, now time.Time) *Core {
	return &Core{Membership: member.New(mc, now), Replica: config.NewReplica(sc, now), digest: digest}
}

// Tick advances both machines.
func (c *Core) Tick(now time.Time) Actions {
	a := c.finish(c.Membership.Tick(now), now)
	if p, ok := c.Replica.Tick(now); ok {
		a.Pull = &p
	}
	return a
}

// errSender means that a message names another sender than its certificate.
var errSender = errors.New("the sender's name is not the one in its certificate")

// Receive takes in a one-way message from the peer of that verified name.
func (c *Core) Receive(from string, body []byte, now time.Time) (Actions, error) {
	var e envelope
	if err := cbor.Unmarshal(body, &e); err != nil {
		return Actions{}, fmt.Errorf("message of %s: %w", from, err)
	}
	if e.Message.From.Name != from {
		return Actions{}, fmt.Errorf("message of %s in the name of %s: %w", from, e.Message.From.Name, errSender)
	}
	// The advert comes first, so that the answer is up to date.
	p, pull := c.Replica.HandleAdvert(from, e.Advert, now)
	a := c.finish(c.Membership.Receive(e.Message, now), now)
	if pull {
		a.Pull = &p
	}
	if len(e.Digest) > 0 {
		a.DigestFrom, a.Digest = from, e.Digest
	}
	return a, nil
}

// Hosts takes in the platform's host list.
func (c *Core) UpdateHostList(list []member.ListedHost, now time.Time) Actions {
	return c.finish(c.Membership.UpdateHostList(list, now), now)
}

// Stored takes in the store's rules file; the zero Value stands for none.
func (c *Core) HandleStoreValue(v config.RulesFile, now time.Time) Actions {
	if v.Number == 0 {
		c.Replica.HandleStoreEmpty(now)
		return Actions{}
	}
	if !c.Replica.HandleStoreValue(v, now) {
		return Actions{}
	}
	return c.adopted(now)
}

// Serve answers a pull of a peer.
func (c *Core) ServePull(body []byte) ([]byte, error) {
	r, err := config.DecodePullRequest(body)
	if err != nil {
		return nil, fmt.Errorf("pull request: %w", err)
	}
	return config.EncodePullResponse(c.Replica.ServePull(r))
}

// Pulled takes in the answer to a pull, or err if there was none.
func (c *Core) HandlePullResponse(from string, body []byte, err error, now time.Time) Actions {
	var r config.PullResponse
	if err == nil {
		r, err = config.DecodePullResponse(body)
	}
	if err != nil {
		c.Replica.HandlePullFailure(from, now)
		return Actions{}
	}
	if !c.Replica.HandlePullResponse(from, r, now) {
		return Actions{}
	}
	return c.adopted(now)
}

// ServeMembers answers a new host's request for all members.
func (c *Core) ServeMembers() ([]byte, error) { return cbor.Marshal(c.Membership.Snapshot()) }

// LoadMembers takes in the answer of ServeMembers.
func (c *Core) MergeMembers(body []byte, now time.Time) (Actions, error) {
	var all []member.Update
	if err := cbor.Unmarshal(body, &all); err != nil {
		return Actions{}, fmt.Errorf("members: %w", err)
	}
	return c.finish(c.Membership.MergeSnapshot(all, now), now), nil
}

// adopted tells some peers of the new number.
func (c *Core) adopted(now time.Time) Actions {
	a := c.finish(c.Membership.Gossip(hintFanout, now), now)
	a.Adopted = true
	return a
}

// Leave announces a planned stop.
func (c *Core) Leave(now time.Time) Actions { return c.finish(c.Membership.Leave(now), now) }

// Watches reports whether this host is to watch the store.
func (c *Core) WatchesStore() bool {
	self := c.Membership.Self()
	for _, w := range config.Watchers(self.Zone, c.Membership.ZoneMembers()) {
		if w == self.Name {
			return true
		}
	}
	return false
}

// finish encodes the messages of the membership machine.
func (c *Core) finish(out member.Output, now time.Time) Actions {
	a := Actions{Events: out.Events}
	if len(out.Messages) == 0 {
		return a
	}
	advert, digest := c.Replica.Advert(now), c.currentDigest()
	for _, s := range out.Messages {
		e := envelope{Message: s.Message, Advert: advert}
		if s.Message.Kind == member.Probe || (s.Message.Kind == member.Ack && s.Message.Target.Name == "") {
			e.Digest = digest
		}
		body, err := cbor.Marshal(e)
		if err != nil {
			continue // no type in an envelope can fail to encode
		}
		a.Packets = append(a.Packets, Packet{s.Name, s.Address, body})
	}
	return a
}

func (c *Core) currentDigest() []byte {
	if c.digest == nil {
		return nil
	}
	return c.digest()
}
