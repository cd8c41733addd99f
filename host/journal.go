package host

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinefront.dev/fleet/member"
	"sardinefront.dev/journal"
	"sardinefront.dev/journal/claim"
)

// candidateCount is the number of hosts that try to acquire the lease of a partition or of a
// pool's rollout controller. The second one takes over as soon as the lease of the first one has
// expired.
const candidateCount = 2

// startJournal starts the journal and the takeover of requests of dead hosts.
func (h *Host) startJournal() error {
	c := journal.Config{
		Self:       h.owner,
		KV:         h.store,
		Partitions: h.settings.Journal.Partitions,
		Retention:  h.settings.Journal.Retention,
		LeaseTTL:   h.settings.Journal.LeaseTTL,
		Logger:     h.log,
	}
	if h.fleet != nil {
		c.Transport = journalTransport{h}
		c.IsCandidate = func(partition int) bool {
			return isCandidate(h.settings.Host.Name, h.fleet.Members(), partition)
		}
	}
	node, err := journal.New(c)
	if err != nil {
		return err
	}
	h.journal = node
	h.tasks.Go(func() { node.Run(h.ctx) })
	h.runLoop("takeovers", h.runTakeovers)
	return nil
}

// newOwner returns the identity of this process. Its incarnation is the start time in
// milliseconds, which is greater than that of earlier processes on the same host.
func newOwner(host string, now time.Time) claim.Owner {
	return claim.Owner{Host: host, Incarnation: uint64(now.UnixMilli())}
}

// isCandidate reports whether the host self is among the first candidateCount hosts for the key
// of a partition or pool. Lease holders are thereby spread over the availability zones, and few
// of them change when hosts join or leave.
func isCandidate(self string, members []member.Member, rankKey int) bool {
	rank := slices.IndexFunc(rankHosts(self, members, rankKey), func(m member.Member) bool { return m.Name == self })
	return rank >= 0 && rank < candidateCount
}

// rankHosts returns the live hosts in the order for the key: those in the key's preferred
// availability zone first, each group by rendezvous hash. The host self always counts as live.
func rankHosts(self string, members []member.Member, rankKey int) []member.Member {
	zone := preferredZone(members, rankKey)
	var live []member.Member
	for _, m := range members {
		if m.Name == self || (m.State == member.Alive && !m.Leaving) {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b member.Member) int {
		return cmp.Or(
			-compareBool(a.Zone == zone, b.Zone == zone),
			cmp.Compare(rendezvousHash(a.Name, rankKey), rendezvousHash(b.Name, rankKey)),
		)
	})
	return live
}

// preferredZone returns the availability zone of a key. Keys are assigned to the known zones in
// turn.
func preferredZone(members []member.Member, rankKey int) string {
	var zones []string
	for _, m := range members {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	if len(zones) == 0 {
		return ""
	}
	slices.Sort(zones)
	return zones[rankKey%len(zones)]
}

func rendezvousHash(host string, rankKey int) uint64 {
	return xxhash.Sum64String(strconv.Itoa(rankKey) + "/" + host)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
