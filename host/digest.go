package host

import (
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/fleet"
)

// hostDigest is what a host tells its peers on probes.
type hostDigest struct {
	_     struct{} `cbor:",toarray"`
	Moves []moveDigest
	Pools []poolDigest
}

// moveDigest names the newest state of a pool's move.
type moveDigest struct {
	_    struct{} `cbor:",toarray"`
	Pool string
	Seq  uint64
}

type poolDigest struct {
	_    struct{} `cbor:",toarray"`
	Pool string
	Body []byte
}

// digest is called by the fleet for each probe. Pools that do not fit take
// their turn in a later digest.
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
	turn := int(h.digestTurn.Add(1)) % len(names)
	var body []byte
	now := time.Now()
	d := hostDigest{Moves: h.moveDigests(names)}
	for i := range names {
		name := names[(turn+i)%len(names)]
		d.Pools = append(d.Pools, poolDigest{Pool: name, Body: pools[name].sched.EncodeDigest(now)})
		next, err := cbor.Marshal(d)
		if err != nil || len(next) > fleet.MaxDigest {
			break
		}
		body = next
	}
	return body
}

func (h *Host) moveDigests(names []string) []moveDigest {
	var all []moveDigest
	for _, name := range names {
		s, ok := h.tracker.State(name)
		if !ok {
			continue
		}
		all = append(all, moveDigest{Pool: name, Seq: s.Seq})
	}
	return all
}

func (h *Host) receiveDigest(from string, body []byte) {
	var d hostDigest
	if err := cbor.Unmarshal(body, &d); err != nil {
		return
	}
	now := time.Now()
	for _, m := range d.Moves {
		h.learnMoveState(from, m.Pool, m.Seq)
	}
	for _, p := range d.Pools {
		if runner, ok := (*h.pools.Load())[p.Pool]; ok {
			_ = runner.sched.ApplyPeerDigest(from, p.Body, now)
		}
	}
}
