package host

import (
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/fleet"
	"sardinefront.dev/sched/pool"
)

// hostDigest is the state that a host attaches to its probes of peers.
type hostDigest struct {
	_     struct{} `cbor:",toarray"`
	Moves []moveSeq
	Pools []poolDigest
}

// moveSeq is the sequence number of the newest known state of a pool's move.
type moveSeq struct {
	_    struct{} `cbor:",toarray"`
	Pool string
	Seq  uint64
}

// poolDigest carries the encoded digest of one pool's scheduler.
type poolDigest struct {
	_    struct{} `cbor:",toarray"`
	Pool string
	Body []byte
}

// digest returns the digest for one probe, at most fleet.MaxDigest bytes. It starts with another
// pool each time, so that pools that do not fit are sent in a later digest.
func (h *Host) digest() []byte {
	pools := *h.pools.Load()
	names := make([]string, 0, len(pools))
	for name := range pools {
		names = append(names, name)
	}
	if len(names) == 0 {
		return nil
	}
	sort.Strings(names)
	offset := int(h.digestOffset.Add(1)) % len(names)
	var digest []byte
	now := time.Now()
	d := hostDigest{Moves: h.moveSeqs(names)}
	for i := range names {
		name := names[(offset+i)%len(names)]
		d.Pools = append(d.Pools, poolDigest{Pool: name, Body: pools[name].scheduler.EncodeDigest(now)})
		encoded, err := cbor.Marshal(d)
		if err != nil || len(encoded) > fleet.MaxDigest {
			break
		}
		digest = encoded
	}
	return digest
}

func (h *Host) moveSeqs(names []string) []moveSeq {
	var seqs []moveSeq
	for _, name := range names {
		s, ok := h.moveTracker.State(name)
		if !ok {
			continue
		}
		seqs = append(seqs, moveSeq{Pool: name, Seq: s.Seq})
	}
	return seqs
}

// receiveDigest applies a peer's digest and fetches move states for which the peer has a greater
// sequence number.
func (h *Host) receiveDigest(from string, body []byte) {
	var d hostDigest
	if err := cbor.Unmarshal(body, &d); err != nil {
		return
	}
	for _, m := range d.Moves {
		h.fetchMoveState(from, m.Pool, m.Seq)
	}
	for _, p := range d.Pools {
		if runner, ok := (*h.pools.Load())[p.Pool]; ok {
			runner.decide(func(now time.Time) []pool.Action {
				// A malformed digest changes nothing.
				actions, _ := runner.scheduler.ApplyPeerDigest(from, p.Body, now)
				return actions
			})
		}
	}
}
