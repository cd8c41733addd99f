package fleet

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/member"
)

// MaxDigest is the longest digest, in bytes, that fits a probe. With 360 bytes
// of member updates and the headers, a probe then stays within the 1200 bytes
// that every QUIC path carries in one datagram.
const MaxDigest = 600

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

// packet is an encoded envelope to send.
type packet struct {
	name, address string
	body          []byte
}

// actions is what an input leads to.
type actions struct {
	packets []packet
	events  []member.Event
	pull    *config.Pull
	// adopted means that the spread holds a newer rules file.
	adopted    bool
	digestFrom string
	digest     []byte
}

// core joins membership and the spread of the configuration as one pure state
// machine. It is not safe for concurrent use.
type core struct {
	members *member.Machine
	spread  *config.Spread
	digest  func() []byte
}

func newCore(mc member.Config, sc config.SpreadConfig, digest func() []byte, now time.Time) *core {
	return &core{members: member.New(mc, now), spread: config.NewSpread(sc, now), digest: digest}
}

// tick advances both machines.
func (c *core) tick(now time.Time) actions {
	a := c.finish(c.members.Tick(now), now)
	if p, ok := c.spread.Tick(now); ok {
		a.pull = &p
	}
	return a
}

// errSender means that a message names another sender than its certificate.
var errSender = errors.New("the sender's name is not the one in its certificate")

// receive takes in a one-way message from the peer of that verified name.
func (c *core) receive(from string, body []byte, now time.Time) (actions, error) {
	var e envelope
	if err := cbor.Unmarshal(body, &e); err != nil {
		return actions{}, fmt.Errorf("message of %s: %w", from, err)
	}
	if e.Message.From.Name != from {
		return actions{}, fmt.Errorf("message of %s in the name of %s: %w", from, e.Message.From.Name, errSender)
	}
	// The advert comes first, so that the answer is up to date.
	p, pull := c.spread.OnAdvert(from, e.Advert, now)
	a := c.finish(c.members.Receive(e.Message, now), now)
	if pull {
		a.pull = &p
	}
	if len(e.Digest) > 0 {
		a.digestFrom, a.digest = from, e.Digest
	}
	return a, nil
}

// hosts takes in the platform's host list.
func (c *core) hosts(list []member.Listed, now time.Time) actions {
	return c.finish(c.members.Hosts(list, now), now)
}

// stored takes in the store's rules file; the zero Value stands for none.
func (c *core) stored(v config.Value, now time.Time) actions {
	if v.Number == 0 {
		c.spread.OnStoreEmpty(now)
		return actions{}
	}
	if !c.spread.OnStore(v, now) {
		return actions{}
	}
	return c.adopted(now)
}

// serve answers a pull of a peer.
func (c *core) serve(body []byte) ([]byte, error) {
	r, err := config.DecodeRequest(body)
	if err != nil {
		return nil, fmt.Errorf("pull request: %w", err)
	}
	return config.EncodeResponse(c.spread.Serve(r))
}

// pulled takes in the answer to a pull, or err if there was none.
func (c *core) pulled(from string, body []byte, err error, now time.Time) actions {
	var r config.PullResponse
	if err == nil {
		r, err = config.DecodeResponse(body)
	}
	if err != nil {
		c.spread.OnPullFailed(from, now)
		return actions{}
	}
	if !c.spread.OnPulled(from, r, now) {
		return actions{}
	}
	return c.adopted(now)
}

// adopted tells some peers of the new number.
func (c *core) adopted(now time.Time) actions {
	a := c.finish(c.members.Notify(hintFanout, now), now)
	a.adopted = true
	return a
}

// leave announces a planned stop.
func (c *core) leave(now time.Time) actions { return c.finish(c.members.Leave(now), now) }

// watches reports whether this host is to watch the store.
func (c *core) watches() bool {
	self := c.members.Self()
	for _, w := range config.Watchers(self.Zone, c.members.Zone()) {
		if w == self.Name {
			return true
		}
	}
	return false
}

// finish encodes the messages of the membership machine.
func (c *core) finish(out member.Output, now time.Time) actions {
	a := actions{events: out.Events}
	if len(out.Send) == 0 {
		return a
	}
	advert, digest := c.spread.Advert(now), c.currentDigest()
	for _, s := range out.Send {
		e := envelope{Message: s.Message, Advert: advert}
		if s.Message.Kind == member.Probe || (s.Message.Kind == member.Ack && s.Message.Target.Name == "") {
			e.Digest = digest
		}
		body, err := cbor.Marshal(e)
		if err != nil {
			continue // no type in an envelope can fail to encode
		}
		a.packets = append(a.packets, packet{s.Name, s.Address, body})
	}
	return a
}

// currentDigest returns the digest unless it is too long to send.
func (c *core) currentDigest() []byte {
	if c.digest == nil {
		return nil
	}
	if d := c.digest(); len(d) <= MaxDigest {
		return d
	}
	return nil
}
