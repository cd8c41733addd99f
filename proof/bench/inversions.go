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
const floorPropagation = maxPeerDelay

// starts records when requests were started or resumed, to find those that
// were refused while a host of the same zone started work of a lower tier.
type startLog struct {
	byZone []map[startKey][]startRecord // in the order of time
}

type startKey struct {
	pool int
	tier request.Tier
}

type startRecord struct {
	at   time.Duration
	id   string
	host int
}

func newStartLog(zones int) *startLog {
	v := &startLog{byZone: make([]map[startKey][]startRecord, zones)}
	for i := range v.byZone {
		v.byZone[i] = map[startKey][]startRecord{}
	}
	return v
}

func (v *startLog) record(zone int, j *job, now time.Duration) {
	k := startKey{j.pool, j.req.Tier}
	v.byZone[zone][k] = append(v.byZone[zone][k], startRecord{now, j.req.ID, j.host})
}

// check looks for starts of lower tiers in the zone between the time at which
// a floor raised at the arrival has reached all hosts, and to. It describes
// the first, or returns an empty string.
func (v *startLog) findInversion(zone int, j *job, refused, to time.Duration, why refusal.Reason) string {
	from := j.arrival + floorPropagation
	for tier := j.req.Tier + 1; tier < request.TierCount; tier++ {
		list := v.byZone[zone][startKey{j.pool, tier}]
		i, _ := slices.BinarySearchFunc(list, from, func(s startRecord, t time.Duration) int {
			return int(s.at - t)
		})
		if i < len(list) && list[i].at <= to {
			s := list[i]
			return fmt.Sprintf("%s request %s arrived at %v on host %d and was refused (%s) at %v; host %d started %s request %s at %v",
				j.req.Tier, j.req.ID, j.arrival, j.host, why, refused, s.host, tier, s.id, s.at)
		}
	}
	return ""
}
