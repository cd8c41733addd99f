package host

import (
	"time"

	"sardinefront.dev/journal"
	"sardinefront.dev/journal/claim"
)

// startJournal joins the journal's partitions.
func (h *Host) startJournal() error {
	node, err := journal.New(journal.Config{
		Self:       h.owner,
		KV:         h.store,
		Partitions: h.settings.Journal.Partitions,
		Retention:  h.settings.Journal.Retention,
		LeaseTTL:   h.settings.Journal.Lease,
		Logger:     h.log,
	})
	if err != nil {
		return err
	}
	h.journal = node
	h.tasks.Go(func() { node.Run(h.ctx) })
	h.tasks.Go(h.runTakeOver)
	return nil
}

// newOwner names this process. The start time orders it after its predecessors
// on the same host.
func newOwner(host string, now time.Time) claim.Owner {
	return claim.Owner{Host: host, Incarnation: uint64(now.UnixMilli())}
}

// deadMembers is empty on a host without peers.
func (h *Host) deadMembers() []claim.Owner { return nil }
