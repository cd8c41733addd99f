package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"sardinefront.dev/gateway/checkpoint"
	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/fleetuser"
	"sardinefront.dev/standin/kvstore"
	"sardinefront.dev/standin/slotengine"
)

// action is one step of a schedule. offset is the time since the start of the schedule.
type action struct {
	offset      time.Duration
	description string
	run         func(w *world)
}

// planner generates a schedule. All random choices of the schedule are made here, so that a
// seed determines the schedule.
type planner struct {
	rnd     *rand.Rand
	hosts   int
	actions []action
}

const (
	// faultInterval is the mean time between two faults for each pair of hosts.
	faultInterval = 1500 * time.Millisecond
	// repeatProbability is the probability that the same kind of fault follows a fault.
	repeatProbability = 0.3
)

// planFaults returns the faults of a run, sorted by time.
func planFaults(seed uint64, hosts int, length time.Duration) []action {
	p := &planner{rnd: rand.New(rand.NewPCG(seed, seed+1)), hosts: hosts}
	for range int(length/faultInterval) * max(1, hosts/2) {
		at := time.Duration(p.rnd.Int64N(int64(length)))
		planFault := faultPlanners[p.rnd.IntN(len(faultPlanners))]
		planFault(p, at)
		for p.rnd.Float64() < repeatProbability && at < length {
			at += p.durationBetween(150*time.Millisecond, 800*time.Millisecond)
			planFault(p, at)
		}
	}
	p.actions = append(p.actions, planNotices(seed, length)...)
	slices.SortStableFunc(p.actions, func(a, b action) int { return int(a.offset - b.offset) })
	return p.actions
}

func (p *planner) durationBetween(lower, upper time.Duration) time.Duration {
	return lower + time.Duration(p.rnd.Int64N(int64(upper-lower)))
}

func (p *planner) add(at time.Duration, description string, run func(w *world)) {
	p.actions = append(p.actions, action{at, description, run})
}

// faultPlanners plan one fault each, one function for each kind of fault.
var faultPlanners = []func(p *planner, at time.Duration){
	(*planner).planHostKill, (*planner).planHostStop, (*planner).planHostPause, (*planner).planAllHostsKill, (*planner).planSettingsReload,
	(*planner).planStoreLinkFault, (*planner).planCallerLinkFault, (*planner).planServerLinkFault, (*planner).planStoreFault, (*planner).planBadCheckpoint,
	(*planner).planServerCrash, (*planner).planServerDrain, (*planner).planPersistentServerFault, (*planner).planSingleResponseFaults, (*planner).planNewConfig,
}

func (p *planner) pickHost() (int, string) {
	i := p.rnd.IntN(p.hosts)
	return i, fmt.Sprintf("host-%d", i)
}

func (p *planner) planHostKill(at time.Duration) {
	i, name := p.pickHost()
	p.add(at, "SIGKILL "+name, func(w *world) { w.kill(w.hosts[i]) })
}

func (w *world) kill(h *entryHost) {
	h.markDown()
	h.currentProcess().signal(syscall.SIGKILL)
}

func (p *planner) planAllHostsKill(at time.Duration) {
	p.add(at, "SIGKILL all hosts", func(w *world) {
		for _, h := range w.hosts {
			w.kill(h)
		}
	})
}

func (p *planner) planHostStop(at time.Duration) {
	i, name := p.pickHost()
	p.add(at, "SIGTERM "+name, func(w *world) { w.hosts[i].currentProcess().signal(syscall.SIGTERM) })
}

func (p *planner) planHostPause(at time.Duration) {
	i, name := p.pickHost()
	var resume func()
	p.add(at, "SIGSTOP "+name, func(w *world) {
		h := w.hosts[i]
		end, process := h.disturbances.begin(), h.currentProcess()
		process.signal(syscall.SIGSTOP)
		resume = func() {
			process.signal(syscall.SIGCONT)
			end()
		}
	})
	p.add(at+p.durationBetween(100*time.Millisecond, 2500*time.Millisecond), "SIGCONT "+name, func(*world) { resume() })
}

// planSettingsReload changes the settings file of a host, which either receives SIGHUP or
// has to notice the change by itself.
func (p *planner) planSettingsReload(at time.Duration) {
	i, name := p.pickHost()
	hup := p.rnd.IntN(2) == 0
	p.add(at, "change of the settings of "+name, func(w *world) {
		h := w.hosts[i]
		text, err := os.ReadFile(h.settingsFile)
		if err == nil {
			text = []byte(strings.TrimSuffix(string(text), "# changed\n") + "# changed\n")
			err = replaceFile(h.settingsFile, text)
		}
		if err != nil {
			w.logf("change of the settings of %s failed: %v", name, err)
		}
		if hup {
			h.currentProcess().signal(syscall.SIGHUP)
		}
	})
}

// replaceFile replaces a file atomically, as the platform does: a process that starts
// meanwhile reads either the old or the new content.
func replaceFile(name string, text []byte) error {
	if err := os.WriteFile(name+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

func (p *planner) pickLinkFault() linkFault { return linkFault(1 + p.rnd.IntN(len(linkFaultNames)-1)) }

func (p *planner) planStoreLinkFault(at time.Duration) {
	i, name := p.pickHost()
	f := p.pickLinkFault()
	var end func()
	p.add(at, fmt.Sprintf("%s to the store: %s", name, f), func(w *world) {
		end = w.hosts[i].storeDisturbances.begin()
		w.hosts[i].storeLink.setFault(f)
	})
	p.add(at+p.durationBetween(200*time.Millisecond, 3*time.Second), name+" to the store: healthy", func(w *world) {
		w.hosts[i].storeLink.setFault(linkHealthy)
		end()
	})
}

func (p *planner) planCallerLinkFault(at time.Duration) {
	i, name := p.pickHost()
	f := p.pickLinkFault()
	var end func()
	p.add(at, fmt.Sprintf("callers to %s: %s", name, f), func(w *world) {
		end = w.hosts[i].disturbances.begin()
		w.hosts[i].callerLink.setFault(f)
	})
	p.add(at+p.durationBetween(100*time.Millisecond, 2*time.Second), "callers to "+name+": healthy", func(w *world) {
		w.hosts[i].callerLink.setFault(linkHealthy)
		end()
	})
}

// pickServer returns one of the live servers of a service, or of all if service is empty;
// nil if there is none. number, modulo the number of these servers, selects the server.
func (w *world) pickServer(number int, service string) *server {
	live := w.liveServers(service)
	if len(live) == 0 {
		return nil
	}
	return live[number%len(live)]
}

func (p *planner) planServerLinkFault(at time.Duration) {
	number, f := p.rnd.IntN(100), p.pickLinkFault()
	var s *server
	p.add(at, fmt.Sprintf("link of server %d: %s", number, f), func(w *world) {
		if s = w.pickServer(number, ""); s != nil {
			s.link.setFault(f)
		}
	})
	p.add(at+p.durationBetween(100*time.Millisecond, 2*time.Second), fmt.Sprintf("link of server %d: healthy", number), func(*world) {
		if s != nil {
			s.link.setFault(linkHealthy)
		}
	})
}

func (p *planner) planStoreFault(at time.Duration) {
	faults := []kvstore.Faults{{Unavailable: true}, {NoResponse: true}, {Delay: p.durationBetween(50*time.Millisecond, 700*time.Millisecond)}, {LoseResponses: 1 + p.rnd.IntN(3)}}
	f := faults[p.rnd.IntN(len(faults))]
	compact := p.rnd.IntN(3) == 0
	var end func()
	p.add(at, fmt.Sprintf("store faults %+v, history compacted %t", f, compact), func(w *world) {
		end = w.storeDisturbances.begin()
		w.store.SetFaults(f)
		if compact {
			w.store.CompactHistory()
		}
	})
	p.add(at+p.durationBetween(200*time.Millisecond, 3*time.Second), "store healthy", func(w *world) {
		w.store.SetFaults(kvstore.Faults{})
		end()
	})
}

// planBadCheckpoint writes a checkpoint as a host with a wrong clock would, or a truncated
// one.
func (p *planner) planBadCheckpoint(at time.Duration) {
	skew := time.Duration(p.rnd.Int64N(int64(48*time.Hour))) - 24*time.Hour
	truncated := p.rnd.IntN(3) == 0
	p.add(at, fmt.Sprintf("checkpoint with a clock skew of %s, truncated %t", skew.Round(time.Second), truncated), func(w *world) {
		r := checkpoint.New(nil, map[uint32]uint32{1: 1}, time.Now().Add(skew))
		b, err := r.Encode()
		if err != nil {
			w.logf("encoding a checkpoint failed: %v", err)
			return
		}
		if truncated {
			b = b[:len(b)/2]
		}
		w.store.Put(wire.KeyCheckpoint, b)
	})
}

// planServerCrash stops a server that was not listed as draining and starts a replacement.
// The entry of the crashed server is removed only after a delay.
func (p *planner) planServerCrash(at time.Duration) {
	number, expiryDelay := p.rnd.IntN(100), p.durationBetween(0, 2*time.Second)
	p.add(at, fmt.Sprintf("server %d crashes", number), func(w *world) {
		w.replaceServer(number, func(s *server) { w.removeServer(s, expiryDelay) })
	})
}

// replaceServer starts a replacement of a live server and calls retire with the old server
// in the background.
func (w *world) replaceServer(number int, retire func(s *server)) {
	s := w.pickServer(number, "")
	if s == nil {
		return
	}
	if err := w.addServer(s.service); err != nil {
		w.logf("replacement of server %s does not start: %v", s.id, err)
		return
	}
	w.wg.Go(func() { retire(s) })
}

// drainTime is the time between listing a server as draining and stopping it.
const drainTime = 4 * time.Second

func (p *planner) planServerDrain(at time.Duration) {
	number := p.rnd.IntN(100)
	p.add(at, fmt.Sprintf("server %d drains", number), func(w *world) {
		w.replaceServer(number, func(s *server) {
			s.mu.Lock()
			if s.drainingAt.IsZero() {
				s.drainingAt = time.Now()
			}
			s.mu.Unlock()
			w.publishEntry(s)
			time.Sleep(drainTime)
			w.removeServer(s, 0)
		})
	})
}

var serverFaults = []slotengine.Fault{
	slotengine.Shed, slotengine.Fail, slotengine.Disconnect, slotengine.TruncatedStream, slotengine.NoResponse, slotengine.ExtraResponse, slotengine.MismatchedResponse, slotengine.UnframedResponse,
}

// planPersistentServerFault injects the same fault into every response of one server
// for a while.
func (p *planner) planPersistentServerFault(at time.Duration) {
	number, f := p.rnd.IntN(100), serverFaults[p.rnd.IntN(len(serverFaults))]
	var s *server
	p.add(at, fmt.Sprintf("server %d, every response: %s", number, f), func(w *world) {
		if s = w.pickServer(number, ""); s != nil {
			s.SetPersistentFault(f)
		}
	})
	p.add(at+p.durationBetween(200*time.Millisecond, 3*time.Second), fmt.Sprintf("server %d healthy", number), func(*world) {
		if s != nil {
			s.SetPersistentFault("")
		}
	})
}

// planSingleResponseFaults injects a fault into one response of each server.
func (p *planner) planSingleResponseFaults(at time.Duration) {
	f := serverFaults[p.rnd.IntN(len(serverFaults))]
	p.add(at, fmt.Sprintf("one response of each server: %s", f), func(w *world) {
		for _, s := range w.liveServers("") {
			s.InjectFaults(f)
		}
	})
}

func (p *planner) planNewConfig(at time.Duration) {
	p.add(at, "new configuration", func(w *world) { w.publishNextConfig() })
}

// clearFaults ends all faults.
func (w *world) clearFaults() {
	w.store.SetFaults(kvstore.Faults{})
	for _, h := range w.hosts {
		h.storeLink.setFault(linkHealthy)
		h.callerLink.setFault(linkHealthy)
		h.currentProcess().signal(syscall.SIGCONT)
	}
	for _, s := range w.liveServers("") {
		s.link.setFault(linkHealthy)
		s.SetPersistentFault("")
		s.PushBack(0, false)
	}
	for _, service := range []string{fleetuser.EngineService, fleetuser.PlainService} {
		if len(w.liveServers(service)) == 0 {
			w.logf("no server of service %s is left", service)
		}
	}
}
