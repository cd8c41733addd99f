// Package core combines membership and the distribution of the rules file into one
// pure state machine. fleet.Node runs it in real time, package simulate in virtual
// time.
package core

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/member"
)

// MaxDigest is the maximum length, in bytes, of the digest that the callback passed
// to New returns. At 2.4 probes and acknowledgements per second, digests are half of
// the traffic. With 600 bytes, floors, halts and churn exceeded 5 KB/s at 360 hosts.
const MaxDigest = 512

// adoptionFanout is how many zone members are notified at once of a newly adopted
// rules file. Three reach most of a zone of 40 within two hops; probes reach the
// rest.
const adoptionFanout = 3

// envelope is the body of a gossip message.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Message member.Message
	Advert  config.Advert
	// Digest is only set on probes and their direct acknowledgements.
	Digest []byte
}

// Packet is an encoded envelope to send to the host To.
type Packet struct {
	To, Address string
	Body        []byte
}

// Actions are what the caller must do after an input.
type Actions struct {
	Packets []Packet
	Events  []member.Event
	Pull    *config.Pull
	// Adopted means that Replica.Latest has changed.
	Adopted bool
	// DigestFrom is the peer that sent Digest, if any.
	DigestFrom string
	Digest     []byte
}

// Core combines membership and the distribution of the rules file into one pure state
// machine. It is not safe for concurrent use.
type Core struct {
	Membership *member.Machine
	Replica    *config.Replica
	digest     func() []byte
}

// New returns a Core without other members and without a rules file. digest returns the
// digest to attach to probes; it may be nil.
func New(memberConfig member.Config, replicaConfig config.ReplicaConfig, digest func() []byte, now time.Time) *Core {
	return &Core{Membership: member.New(memberConfig, now), Replica: config.NewReplica(replicaConfig, now), digest: digest}
}

// Tick advances both state machines to now.
func (c *Core) Tick(now time.Time) Actions {
	a := c.buildActions(c.Membership.Tick(now), now)
	if p, ok := c.Replica.Tick(now); ok {
		a.Pull = &p
	}
	return a
}

// errSenderMismatch means that a message names another sender than the certificate
// of the connection.
var errSenderMismatch = errors.New("the sender's name does not match its certificate")

// Receive processes a gossip message. from is the verified name of the sender.
func (c *Core) Receive(from string, body []byte, now time.Time) (Actions, error) {
	var e envelope
	if err := cbor.Unmarshal(body, &e); err != nil {
		return Actions{}, fmt.Errorf("decode gossip message of %s: %w", from, err)
	}
	if e.Message.From.Name != from {
		return Actions{}, fmt.Errorf("gossip message of %s in the name of %s: %w", from, e.Message.From.Name, errSenderMismatch)
	}
	// The advert is processed first, so that the Ack carries its effect.
	p, pull := c.Replica.HandleAdvert(from, e.Advert, now)
	a := c.buildActions(c.Membership.Receive(e.Message, now), now)
	if pull {
		a.Pull = &p
	}
	if len(e.Digest) > 0 {
		a.DigestFrom, a.Digest = from, e.Digest
	}
	return a, nil
}

// UpdateHostList processes the platform's host list.
func (c *Core) UpdateHostList(list []member.ListedHost, now time.Time) Actions {
	return c.buildActions(c.Membership.UpdateHostList(list, now), now)
}

// HandleStoreValue processes the rules file read from the store. The zero RulesFile
// means that the store holds none.
func (c *Core) HandleStoreValue(v config.RulesFile, now time.Time) Actions {
	if v.Number == 0 {
		c.Replica.HandleStoreEmpty(now)
		return Actions{}
	}
	if !c.Replica.HandleStoreValue(v, now) {
		return Actions{}
	}
	return c.gossipAdoption(now)
}

// ServePull returns the encoded response to a peer's pull request.
func (c *Core) ServePull(body []byte) ([]byte, error) {
	r, err := config.DecodePullRequest(body)
	if err != nil {
		return nil, fmt.Errorf("pull request: %w", err)
	}
	return config.EncodePullResponse(c.Replica.ServePull(r))
}

// HandlePullResponse processes the response of the peer from to a pull, or the error err
// of the call.
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
	return c.gossipAdoption(now)
}

// ServeMembers returns the encoded response to a new host's request for all members.
func (c *Core) ServeMembers() ([]byte, error) { return cbor.Marshal(c.Membership.Snapshot()) }

// MergeMembers processes a peer's response to a request for all members.
func (c *Core) MergeMembers(body []byte, now time.Time) (Actions, error) {
	var all []member.Update
	if err := cbor.Unmarshal(body, &all); err != nil {
		return Actions{}, fmt.Errorf("decode members: %w", err)
	}
	return c.buildActions(c.Membership.MergeSnapshot(all, now), now), nil
}

// gossipAdoption notifies some peers of the new version.
func (c *Core) gossipAdoption(now time.Time) Actions {
	a := c.buildActions(c.Membership.Gossip(adoptionFanout, now), now)
	a.Adopted = true
	return a
}

// Leave announces that the host stops as planned.
func (c *Core) Leave(now time.Time) Actions { return c.buildActions(c.Membership.Leave(now), now) }

// WatchesStore reports whether this host must watch the store for its zone.
func (c *Core) WatchesStore() bool {
	self := c.Membership.Self()
	for _, w := range config.Watchers(self.Zone, c.Membership.ZoneMembers()) {
		if w == self.Name {
			return true
		}
	}
	return false
}

// buildActions encodes the messages of the membership machine, each with the current
// advert.
func (c *Core) buildActions(out member.Output, now time.Time) Actions {
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
			continue // all types in an envelope can be encoded
		}
		a.Packets = append(a.Packets, Packet{s.To, s.Address, body})
	}
	return a
}

func (c *Core) currentDigest() []byte {
	if c.digest == nil {
		return nil
	}
	return c.digest()
}
