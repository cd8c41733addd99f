package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/fleet/internal/core"
	"sardinefront.dev/fleet/peer"
)

// call answers calls of peers.
func (n *Node) call(ctx context.Context, _ peer.Peer, kind string, body []byte) ([]byte, error) {
	switch kind {
	case kindPull:
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.core.ServePull(body)
	case kindMembers:
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.core.ServeMembers()
	case kindRelay:
		return n.relay(ctx, body)
	}
	if n.cfg.HandleCall == nil {
		return nil, errors.New("no calls are handled here")
	}
	return n.cfg.HandleCall(kind, body), nil
}

// ErrUnknownHost means that the name is not a member. It wraps
// peer.ErrNotSent.
var ErrUnknownHost = fmt.Errorf("unknown host: %w", peer.ErrNotSent)

// Call sends a call of that kind to the host's Config.Handle and returns the
// answer. If the host cannot be connected to, up to two other members are asked
// to pass the call on; it is handled at most once. The error wraps
// peer.ErrNotSent, peer.ErrNoReply or peer.ErrRefused; only after the first is
// it certain that the call was not handled.
func (n *Node) Call(ctx context.Context, host, kind string, body []byte) ([]byte, error) {
	if host == n.cfg.Name {
		return n.call(ctx, peer.Peer{Name: host}, kind, body)
	}
	n.mu.Lock()
	m, ok := n.core.Membership.Lookup(host)
	relays := n.addresses(n.core.Membership.Relays(host))
	n.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("call %s at %s: %w", kind, host, ErrUnknownHost)
	}
	answer, err := n.peers.CallHost(ctx, host, m.Address, kind, body)
	for _, r := range relays {
		if !errors.Is(err, peer.ErrNotSent) || ctx.Err() != nil {
			break
		}
		answer, err = n.callThrough(ctx, r, host, kind, body)
	}
	return answer, err
}

// relayed is a call to pass on.
type relayed struct {
	_      struct{} `cbor:",toarray"`
	Host   string
	Kind   string
	Body   []byte
	Millis int64 // time left
}

// relayReply says how far the call came. Class indexes relayClasses.
type relayReply struct {
	_     struct{} `cbor:",toarray"`
	Class int
	Body  []byte
}

var relayClasses = []error{nil, peer.ErrNotSent, peer.ErrNoReply, peer.ErrRefused}

// relayTime is how long a relay waits on behalf of a caller without a deadline.
const relayTime = 10 * time.Second

func (n *Node) callThrough(ctx context.Context, relay, host, kind string, body []byte) ([]byte, error) {
	left := relayTime
	if d, ok := ctx.Deadline(); ok {
		left = time.Until(d)
	}
	request, err := cbor.Marshal(relayed{Host: host, Kind: kind, Body: body, Millis: left.Milliseconds()})
	if err != nil {
		return nil, fmt.Errorf("call %s at %s: %w: %w", kind, host, peer.ErrNotSent, err)
	}
	answer, err := n.peers.Call(ctx, relay, kindRelay, request)
	if err != nil {
		return nil, err
	}
	var r relayReply
	if err := cbor.Unmarshal(answer, &r); err != nil || r.Class < 0 || r.Class >= len(relayClasses) {
		return nil, fmt.Errorf("call %s at %s through %s: %w", kind, host, relay, peer.ErrNoReply)
	}
	if r.Class > 0 {
		return nil, fmt.Errorf("call %s at %s through %s: %w: %s", kind, host, relay, relayClasses[r.Class], r.Body)
	}
	return r.Body, nil
}

// relay passes a call on over a direct connection only, so that calls do not
// travel in circles.
func (n *Node) relay(ctx context.Context, body []byte) ([]byte, error) {
	var c relayed
	if err := cbor.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("relayed call: %w", err)
	}
	n.mu.Lock()
	m, ok := n.core.Membership.Lookup(c.Host)
	n.mu.Unlock()
	if !ok || c.Host == n.cfg.Name {
		return cbor.Marshal(relayReply{Class: 1, Body: []byte("unknown host")})
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.Millis)*time.Millisecond)
	defer cancel()
	answer, err := n.peers.CallHost(ctx, c.Host, m.Address, c.Kind, c.Body)
	for class, e := range relayClasses {
		if class > 0 && errors.Is(err, e) {
			return cbor.Marshal(relayReply{Class: class, Body: []byte(err.Error())})
		}
	}
	return cbor.Marshal(relayReply{Body: answer})
}

// joinTries bounds how often a starting host asks for all members. Without an
// answer it learns them from the list and from probes.
const joinTries = 20

// join asks a peer for all members once.
func (n *Node) join() {
	for range joinTries {
		n.mu.Lock()
		peers := n.addresses(n.core.Membership.SamplePeers(2, time.Now()))
		n.mu.Unlock()
		for _, a := range peers {
			if n.askMembers(a) {
				return
			}
		}
		n.sleep(tickEvery)
		if n.ctx.Err() != nil {
			return
		}
	}
}

func (n *Node) askMembers(address string) bool {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.CallTimeout)
	defer cancel()
	body, err := n.peers.Call(ctx, address, kindMembers, nil)
	if err != nil {
		return false
	}
	n.do(func(c *core.Core, now time.Time) core.Actions {
		a, loadErr := c.MergeMembers(body, now)
		err = loadErr
		return a
	})
	return err == nil
}
