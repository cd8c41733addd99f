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

// The loop around the state machines has the same times as fleet.Node's.
const (
	hostsEvery  = 10 * time.Second
	watchFor    = 4 * time.Second
	readEvery   = 5 * time.Minute
	pullTimeout = 2 * time.Second
	maxBacklog  = 256
)

// Host is one simulated entry host.
type Host struct {
	Name, Zone, Address string
	// StoreCut blocks this host's calls to the store.
	StoreBlocked bool
	// Leaving marks the host in the platform's list.
	Leaving bool
	// Unlisted removes the host from the platform's list.
	Unlisted bool
	// Traffic counts the host's messages.
	Traffic Traffic

	world  *World
	index  int
	zone   int
	up     bool
	starts uint64 // processes started; tasks of earlier ones do nothing
	core   *core.Core

	paused  bool
	backlog []func()

	watchEnd time.Time
	nextRead time.Time
	revision int64
}

// Up reports whether the host's process runs.
func (h *Host) Up() bool { return h.up }

// Members returns the process's view.
func (h *Host) Members() []member.Member { return h.core.Membership.Members() }

// StateOf returns the process's view of another host.
func (h *Host) LookupHost(o *Host) (member.Member, bool) { return h.core.Membership.Lookup(o.Name) }

// Stamp returns what the process holds.
func (h *Host) Version() config.Version { return h.core.Replica.Version() }

// Held returns the rules file that the process holds.
func (h *Host) LatestRules() config.RulesFile { return h.core.Replica.Latest() }

// Status returns the state of the configuration.
func (h *Host) Status() config.Status { return h.core.Replica.Status(h.world.Now) }

// Incarnation returns the number of the process as given at its start.
func (h *Host) Incarnation() uint64 { return uint64(epoch.Unix()) + h.starts }

// Start starts a process, which holds nothing.
func (h *Host) Start() {
	w := h.world
	h.up, h.paused, h.backlog = true, false, nil
	h.starts++
	w.disconnect(h)
	h.watchEnd, h.nextRead, h.revision = time.Time{}, w.Now, 0
	digest := make([]byte, w.DigestBytes)
	h.core = core.New(member.Config{
		Name: h.Name, Zone: h.Zone, Address: h.Address, Incarnation: h.Incarnation(), Seed: w.rnd.Uint64(),
	}, config.ReplicaConfig{}, func() []byte { return digest }, w.Now)
	h.every(w.TickInterval, func() { h.act(h.core.Tick(w.Now)) })
	h.every(hostsEvery, h.readHosts)
	h.every(time.Second, h.followStore)
	h.readHosts()
	h.followStore()
}

// Crash ends the process without notice.
func (h *Host) Crash() { h.up = false }

// Stop ends the process after it has announced so.
func (h *Host) Stop() {
	h.act(h.core.Leave(h.world.Now))
	h.up = false
}

// Pause stops the process until Resume; messages wait in the socket's buffer.
func (h *Host) Pause() { h.paused = true }

// Resume continues a paused process.
func (h *Host) Resume() {
	h.paused = false
	backlog := h.backlog
	h.backlog = nil
	for _, f := range backlog {
		f()
	}
}

// later runs f in the current process after d, or at Resume if it is paused
// then.
func (h *Host) later(d time.Duration, f func()) {
	process := h.starts
	h.world.Schedule(d, func() {
		switch {
		case !h.up || h.starts != process:
		case h.paused:
			if len(h.backlog) < maxBacklog {
				h.backlog = append(h.backlog, f)
			}
		default:
			f()
		}
	})
}

// every runs f in the current process at a random phase. A pause skips the
// steps in it.
func (h *Host) every(d time.Duration, f func()) {
	process := h.starts
	var step func()
	step = func() {
		if !h.up || h.starts != process {
			return
		}
		if !h.paused {
			f()
		}
		h.world.Schedule(d, step)
	}
	h.world.Schedule(time.Duration(h.world.rnd.Int64N(int64(d))), step)
}

// act carries out what the core asks for.
func (h *Host) act(a core.Actions) {
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

func (h *Host) send(p core.Packet) {
	w := h.world
	to := w.byName[p.To]
	w.chargeMessage(h, to, len(p.Body))
	if !w.passes(h, to) {
		return
	}
	to.later(w.delay(h, to), func() {
		a, err := to.core.Receive(h.Name, p.Body, w.Now)
		if err != nil {
			panic(err) // the simulated hosts speak the protocol
		}
		to.act(a)
	})
}

var errLost = errors.New("message lost")

// pull carries out a call between two hosts.
func (h *Host) pull(p config.Pull) {
	w := h.world
	to := w.byName[p.To]
	body, err := config.EncodePullRequest(config.PullRequest{Have: p.Have})
	if err != nil {
		panic(err)
	}
	answered := false
	settle := func(answer []byte, err error) {
		if !answered {
			answered = true
			h.act(h.core.HandlePullResponse(p.To, answer, err, w.Now))
		}
	}
	h.later(pullTimeout, func() { settle(nil, errLost) })
	w.chargeCall(h, to, len(body))
	if !w.passes(h, to) {
		return
	}
	to.later(w.delay(h, to), func() {
		answer, err := to.core.ServePull(body)
		if err != nil {
			panic(err)
		}
		w.chargeCall(to, h, len(answer))
		if w.passes(to, h) {
			h.later(w.delay(to, h), func() { settle(answer, nil) })
		}
	})
}

// readHosts takes in the platform's list. It lags: it names hosts that are
// down until they are unlisted.
func (h *Host) readHosts() {
	if h.StoreBlocked {
		return
	}
	var list []member.ListedHost
	for _, o := range h.world.Hosts {
		if !o.Unlisted {
			list = append(list, member.ListedHost{Name: o.Name, Zone: o.Zone, Address: o.Address, Leaving: o.Leaving})
		}
	}
	h.act(h.core.UpdateHostList(list, h.world.Now))
}

// followStore is the step of the loop that reads and watches the store.
func (h *Host) followStore() {
	w := h.world
	watching := h.core.WatchesStore()
	if watching && w.Now.Before(h.watchEnd) {
		return
	}
	if !watching && w.Now.Before(h.nextRead) {
		return
	}
	h.nextRead = w.Now.Add(readEvery)
	if h.core.Replica.Latest().Number == 0 {
		h.nextRead = w.Now.Add(watchFor)
	}
	w.Store.read(h, func(v config.RulesFile, revision int64) {
		h.revision = revision
		h.act(h.core.HandleStoreValue(v, w.Now))
		if watching {
			h.watchEnd = w.Now.Add(watchFor)
		}
	})
}

// changed is called by the store when the rules file changes.
func (h *Host) changed(v config.RulesFile, revision int64) {
	if !h.up || h.StoreBlocked || h.world.Now.After(h.watchEnd) || revision <= h.revision {
		return
	}
	h.later(storeDelay(h.world), func() {
		h.revision = revision
		h.watchEnd = h.world.Now // the loop reads and watches again
		h.act(h.core.HandleStoreValue(v, h.world.Now))
		h.followStore()
	})
}
