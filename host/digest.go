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
	Pools []poolDigest
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
	var d hostDigest
	now := time.Now()
	for i := range names {
		name := names[(turn+i)%len(names)]
		d.Pools = append(d.Pools, poolDigest{Pool: name, Body: pools[name].sched.Digest(now)})
		next, err := cbor.Marshal(d)
		if err != nil || len(next) > fleet.MaxDigest {
			break
		}
		body = next
	}
	return body
}

func (h *Host) receiveDigest(from string, body []byte) {
	var d hostDigest
	if err := cbor.Unmarshal(body, &d); err != nil {
		return
	}
	now := time.Now()
	for _, p := range d.Pools {
		if runner, ok := (*h.pools.Load())[p.Pool]; ok {
			_ = runner.sched.PeerDigest(from, p.Body, now)
		}
	}
}
