package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/core/wait"
	"sardinefront.dev/fleet/internal/core"
	"sardinefront.dev/fleet/peer"
)

// handleCall returns the response to a call of a peer.
func (n *Node) handleCall(ctx context.Context, _ peer.Peer, kind string, body []byte) ([]byte, error) {
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
		return n.handleRelay(ctx, body)
	}
	if n.cfg.HandleCall == nil {
		return nil, fmt.Errorf("no handler for calls of kind %q", kind)
	}
	return n.cfg.HandleCall(kind, body), nil
}

// ErrUnknownHost means that no member has the given name. It wraps
// peer.ErrNotSent.
var ErrUnknownHost = fmt.Errorf("unknown host: %w", peer.ErrNotSent)

// Call sends a call of the given kind to the named host and returns the response
// of that host's Config.HandleCall. If the host cannot be connected to, the call
// is relayed through up to two other members; it is handled at most once. The
// error wraps peer.ErrNotSent, peer.ErrNoResponse or peer.ErrHandlerFailed.
// Only peer.ErrNotSent guarantees that the call was not handled.
func (n *Node) Call(ctx context.Context, host, kind string, body []byte) ([]byte, error) {
	if host == n.cfg.Name {
		return n.handleCall(ctx, peer.Peer{Name: host}, kind, body)
	}
	n.mu.Lock()
	m, ok := n.core.Membership.Lookup(host)
	relays := n.resolveAddresses(n.core.Membership.Relays(host))
	n.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("call %s at %s: %w", kind, host, ErrUnknownHost)
	}
	response, err := n.peers.CallHost(ctx, host, m.Address, kind, body)
	for _, r := range relays {
		if !errors.Is(err, peer.ErrNotSent) || ctx.Err() != nil {
			break
		}
		response, err = n.callViaRelay(ctx, r, host, kind, body)
	}
	return response, err
}

// relayRequest is a call to forward to another host.
type relayRequest struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Kind        string
	Body        []byte
	RemainingMs int64 // until the caller's deadline
}

// relayResponse is the outcome of a relayed call. Class is an index into relayErrors;
// Body is the response if Class is 0, and the text of the error otherwise.
type relayResponse struct {
	_     struct{} `cbor:",toarray"`
	Class int
	Body  []byte
}

var relayErrors = []error{nil, peer.ErrNotSent, peer.ErrNoResponse, peer.ErrHandlerFailed}

// defaultRelayTimeout is how long a relay waits if the caller has no deadline.
const defaultRelayTimeout = 10 * time.Second

func (n *Node) callViaRelay(ctx context.Context, relay, host, kind string, body []byte) ([]byte, error) {
	left := defaultRelayTimeout
	if d, ok := ctx.Deadline(); ok {
		left = time.Until(d)
	}
	request, err := cbor.Marshal(relayRequest{Host: host, Kind: kind, Body: body, RemainingMs: left.Milliseconds()})
	if err != nil {
		return nil, fmt.Errorf("call %s at %s: %w: %w", kind, host, peer.ErrNotSent, err)
	}
	response, err := n.peers.Call(ctx, relay, kindRelay, request)
	if err != nil {
		return nil, err
	}
	var r relayResponse
	if err := cbor.Unmarshal(response, &r); err != nil || r.Class < 0 || r.Class >= len(relayErrors) {
		return nil, fmt.Errorf("call %s at %s through %s: %w", kind, host, relay, peer.ErrNoResponse)
	}
	if r.Class > 0 {
		return nil, fmt.Errorf("call %s at %s through %s: %w: %s", kind, host, relay, relayErrors[r.Class], r.Body)
	}
	return r.Body, nil
}

// handleRelay forwards a call over a direct connection only, so that calls cannot
// loop between relays.
func (n *Node) handleRelay(ctx context.Context, body []byte) ([]byte, error) {
	var c relayRequest
	if err := cbor.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("decode relay request: %w", err)
	}
	n.mu.Lock()
	m, ok := n.core.Membership.Lookup(c.Host)
	n.mu.Unlock()
	if !ok || c.Host == n.cfg.Name {
		return cbor.Marshal(relayResponse{Class: 1, Body: []byte("unknown host")})
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.RemainingMs)*time.Millisecond)
	defer cancel()
	response, err := n.peers.CallHost(ctx, c.Host, m.Address, c.Kind, c.Body)
	for class, e := range relayErrors {
		if class > 0 && errors.Is(err, e) {
			return cbor.Marshal(relayResponse{Class: class, Body: []byte(err.Error())})
		}
	}
	return cbor.Marshal(relayResponse{Body: response})
}

// maxJoinAttempts limits how often a starting host requests the member list from
// its peers. If all attempts fail, the host gets the members from the platform's host
// list and from the updates that are attached to probes.
const maxJoinAttempts = 20

// join fetches the member list from the first peer that responds.
func (n *Node) join() {
	for range maxJoinAttempts {
		n.mu.Lock()
		peers := n.resolveAddresses(n.core.Membership.SamplePeers(2, time.Now()))
		n.mu.Unlock()
		for _, a := range peers {
			if n.fetchMembers(a) {
				return
			}
		}
		wait.Sleep(n.ctx, tickInterval)
		if n.ctx.Err() != nil {
			return
		}
	}
}

func (n *Node) fetchMembers(address string) bool {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.CallTimeout)
	defer cancel()
	body, err := n.peers.Call(ctx, address, kindMembers, nil)
	if err != nil {
		return false
	}
	n.step(func(c *core.Core, now time.Time) core.Actions {
		a, loadErr := c.MergeMembers(body, now)
		err = loadErr
		return a
	})
	return err == nil
}
