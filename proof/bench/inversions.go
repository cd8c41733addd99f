package bench

import (
	"fmt"
	"slices"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

// floorSpread is the time that a tier floor needs to reach all hosts of a
// zone: the largest delay between peers.
const floorSpread = peerDelayMax

// starts records when requests were started or resumed, to find those that
// were refused while a host of the same zone started work of a lower tier.
type starts struct {
	zones []map[startKey][]start // in the order of time
}

type startKey struct {
	pool int
	tier request.Tier
}

type start struct {
	at   time.Duration
	id   string
	host int
}

func newStarts(zones int) *starts {
	v := &starts{zones: make([]map[startKey][]start, zones)}
	for i := range v.zones {
		v.zones[i] = map[startKey][]start{}
	}
	return v
}

func (v *starts) started(zone int, j *job, now time.Duration) {
	k := startKey{j.pool, j.req.Tier}
	v.zones[zone][k] = append(v.zones[zone][k], start{now, j.req.ID, j.host})
}

// check looks for starts of lower tiers in the zone between the time at which
// a floor raised at the arrival has reached all hosts, and to. It describes
// the first, or returns an empty string.
func (v *starts) check(zone int, j *job, refused, to time.Duration, why refusal.Reason) string {
	from := j.at + floorSpread
	for tier := j.req.Tier + 1; tier < request.TierCount; tier++ {
		list := v.zones[zone][startKey{j.pool, tier}]
		i, _ := slices.BinarySearchFunc(list, from, func(s start, t time.Duration) int {
			return int(s.at - t)
		})
		if i < len(list) && list[i].at <= to {
			s := list[i]
			return fmt.Sprintf("%s request %s arrived at %v on host %d and was refused (%s) at %v; host %d started %s request %s at %v",
				j.req.Tier, j.req.ID, j.at, j.host, why, refused, s.host, tier, s.id, s.at)
		}
	}
	return ""
}
