package simulate

import (
	"errors"
	"time"

	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/internal/core"
	"sardinefront.dev/fleet/member"
)

// Event is a change in a host's view of the members.
type Event = member.Event

// The intervals and timeouts are those of fleet.Node.
const (
	hostListInterval  = 10 * time.Second
	watchTimeout      = 4 * time.Second
	storeReadInterval = 5 * time.Minute
	pullTimeout       = 2 * time.Second
	maxBacklog        = 256 // messages buffered for a paused host; further ones are dropped
)

// Host is one simulated entry host.
type Host struct {
	Name, Zone, Address string
	// StoreBlocked blocks this host's reads of the store and of the host list.
	StoreBlocked bool
	// Leaving marks the host as leaving in the platform's host list.
	Leaving bool
	// Unlisted removes the host from the platform's host list.
	Unlisted bool
	// Traffic holds the host's traffic totals.
	Traffic Traffic

	world      *World
	index      int
	zone       int
	up         bool
	generation uint64 // number of the process; tasks of previous processes do nothing
	core       *core.Core

	paused  bool
	backlog []func()

	watchEnd time.Time
	nextRead time.Time
	revision int64
}

// Up reports whether the host's process is running, also if it is paused.
func (h *Host) Up() bool { return h.up }

// Members returns all members as seen by this host.
func (h *Host) Members() []member.Member { return h.core.Membership.Members() }

// LookupHost returns this host's record of the host o. It reports false if there is none.
func (h *Host) LookupHost(o *Host) (member.Member, bool) { return h.core.Membership.Lookup(o.Name) }

// Version returns the version of LatestRules.
func (h *Host) Version() config.Version { return h.core.Replica.Version() }

// LatestRules returns the newest rules file that this host has received.
func (h *Host) LatestRules() config.RulesFile { return h.core.Replica.Latest() }

// Status returns the state of the configuration on this host.
func (h *Host) Status() config.Status { return h.core.Replica.Status(h.world.Now) }

// Incarnation returns the incarnation of the current process.
func (h *Host) Incarnation() uint64 { return uint64(epoch.Unix()) + h.generation }

// Start starts a new process without a rules file or known members. It ends the previous
// process.
func (h *Host) Start() {
	w := h.world
	h.up, h.paused, h.backlog = true, false, nil
	h.generation++
	w.dropConnections(h)
	h.watchEnd, h.nextRead, h.revision = time.Time{}, w.Now, 0
	digest := make([]byte, w.DigestBytes)
	h.core = core.New(member.Config{
		Name: h.Name, Zone: h.Zone, Address: h.Address, Incarnation: h.Incarnation(), Seed: w.rnd.Uint64(),
	}, config.ReplicaConfig{}, func() []byte { return digest }, w.Now)
	h.every(w.TickInterval, func() { h.perform(h.core.Tick(w.Now)) })
	h.every(hostListInterval, h.readHostList)
	h.every(time.Second, h.followStore)
	h.readHostList()
	h.followStore()
}

// Crash ends the process without announcing it.
func (h *Host) Crash() { h.up = false }

// Stop announces that the host leaves and ends the process.
func (h *Host) Stop() {
	h.perform(h.core.Leave(h.world.Now))
	h.up = false
}

// Pause stops the process until Resume. Messages are buffered, as in a socket.
func (h *Host) Pause() { h.paused = true }

// Resume continues a paused process, which first receives the buffered messages.
func (h *Host) Resume() {
	h.paused = false
	backlog := h.backlog
	h.backlog = nil
	for _, f := range backlog {
		f()
	}
}

// schedule runs f after d, or at Resume if the process is paused then. It drops f if
// the current process has ended by then.
func (h *Host) schedule(d time.Duration, f func()) {
	process := h.generation
	h.world.Schedule(d, func() {
		switch {
		case !h.up || h.generation != process:
		case h.paused:
			if len(h.backlog) < maxBacklog {
				h.backlog = append(h.backlog, f)
			}
		default:
			f()
		}
	})
}

// every runs f at interval d, with a random phase, until the current process ends. Runs
// that fall into a pause are skipped.
func (h *Host) every(d time.Duration, f func()) {
	process := h.generation
	var step func()
	step = func() {
		if !h.up || h.generation != process {
			return
		}
		if !h.paused {
			f()
		}
		h.world.Schedule(d, step)
	}
	h.world.Schedule(time.Duration(h.world.rnd.Int64N(int64(d))), step)
}

// perform executes the actions of the core.
func (h *Host) perform(a core.Actions) {
	w := h.world
	if a.Adopted && w.OnAdopt != nil {
		w.OnAdopt(h)
	}
	for _, p := range a.Packets {
		h.send(p)
	}
	if a.Pull != nil {
		h.pull(*a.Pull)
	}
	if w.OnEvent != nil {
		for _, e := range a.Events {
			w.OnEvent(h, e)
		}
	}
}

// send sends a packet to another host, unless the network drops it.
func (h *Host) send(p core.Packet) {
	w := h.world
	to := w.byName[p.To]
	w.chargeMessage(h, to, len(p.Body))
	if !w.delivers(h, to) {
		return
	}
	to.schedule(w.latency(h, to), func() {
		a, err := to.core.Receive(h.Name, p.Body, w.Now)
		if err != nil {
			panic(err) // simulated hosts send only valid messages
		}
		to.perform(a)
	})
}

var errMessageLost = errors.New("message lost")

// pull requests a newer rules file from another host.
func (h *Host) pull(p config.Pull) {
	w := h.world
	to := w.byName[p.To]
	body, err := config.EncodePullRequest(config.PullRequest{Have: p.Have})
	if err != nil {
		panic(err)
	}
	completed := false
	complete := func(response []byte, err error) {
		if !completed {
			completed = true
			h.perform(h.core.HandlePullResponse(p.To, response, err, w.Now))
		}
	}
	h.schedule(pullTimeout, func() { complete(nil, errMessageLost) })
	w.chargeCall(h, to, len(body))
	if !w.delivers(h, to) {
		return
	}
	to.schedule(w.latency(h, to), func() {
		response, err := to.core.ServePull(body)
		if err != nil {
			panic(err)
		}
		w.chargeCall(to, h, len(response))
		if w.delivers(to, h) {
			h.schedule(w.latency(to, h), func() { complete(response, nil) })
		}
	})
}

// readHostList reads the platform's host list. The list is outdated: it holds hosts that
// are down until they are unlisted.
func (h *Host) readHostList() {
	if h.StoreBlocked {
		return
	}
	var list []member.ListedHost
	for _, o := range h.world.Hosts {
		if !o.Unlisted {
			list = append(list, member.ListedHost{Name: o.Name, Zone: o.Zone, Address: o.Address, Leaving: o.Leaving})
		}
	}
	h.perform(h.core.UpdateHostList(list, h.world.Now))
}

// followStore reads the store and renews the watch when they are due.
func (h *Host) followStore() {
	w := h.world
	watching := h.core.WatchesStore()
	if watching && w.Now.Before(h.watchEnd) {
		return
	}
	if !watching && w.Now.Before(h.nextRead) {
		return
	}
	h.nextRead = w.Now.Add(storeReadInterval)
	if h.core.Replica.Latest().Number == 0 {
		h.nextRead = w.Now.Add(watchTimeout)
	}
	w.Store.read(h, func(v config.RulesFile, revision int64) {
		h.revision = revision
		h.perform(h.core.HandleStoreValue(v, w.Now))
		if watching {
			h.watchEnd = w.Now.Add(watchTimeout)
		}
	})
}

// storeChanged is called by the store after each change of the rules file. It ends the
// watch of a watching host.
func (h *Host) storeChanged(v config.RulesFile, revision int64) {
	if !h.up || h.StoreBlocked || h.world.Now.After(h.watchEnd) || revision <= h.revision {
		return
	}
	h.schedule(storeLatency(h.world), func() {
		h.revision = revision
		h.watchEnd = h.world.Now // so that followStore reads and watches again
		h.perform(h.core.HandleStoreValue(v, h.world.Now))
		h.followStore()
	})
}
