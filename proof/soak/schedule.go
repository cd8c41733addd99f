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

// action is one step of a schedule, at a time after its start.
type action struct {
	offset      time.Duration
	description string
	run         func(w *world)
}

// planner draws a schedule. All randomness is in it, so that a seed names a schedule.
type planner struct {
	rnd     *rand.Rand
	hosts   int
	actions []action
}

const (
	// faultEvery is the mean time between drawn faults, for each host.
	faultInterval = 1500 * time.Millisecond
	// seriesShare of the faults come as a series of the same fault.
	repeatProbability = 0.3
)

// plan draws the faults of a run, in order of time.
func planFaults(seed uint64, hosts int, length time.Duration) []action {
	p := &planner{rnd: rand.New(rand.NewPCG(seed, seed+1)), hosts: hosts}
	for range int(length/faultInterval) * max(1, hosts/2) {
		at := time.Duration(p.rnd.Int64N(int64(length)))
		draw := faultPlanners[p.rnd.IntN(len(faultPlanners))]
		draw(p, at)
		for p.rnd.Float64() < repeatProbability && at < length {
			at += p.durationBetween(150*time.Millisecond, 800*time.Millisecond)
			draw(p, at)
		}
	}
	slices.SortStableFunc(p.actions, func(a, b action) int { return int(a.offset - b.offset) })
	return p.actions
}

func (p *planner) durationBetween(lower, upper time.Duration) time.Duration {
	return lower + time.Duration(p.rnd.Int64N(int64(upper-lower)))
}

func (p *planner) add(at time.Duration, description string, run func(w *world)) {
	p.actions = append(p.actions, action{at, description, run})
}

// draws are the kinds of faults.
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
	p.add(at, "SIGKILL all", func(w *world) {
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

// reloadHost changes the settings file and names it by SIGHUP, or leaves it to the
// host to notice.
func (p *planner) planSettingsReload(at time.Duration) {
	i, name := p.pickHost()
	hup := p.rnd.IntN(2) == 0
	p.add(at, "settings of "+name, func(w *world) {
		h := w.hosts[i]
		text, err := os.ReadFile(h.settingsFile)
		if err == nil {
			text = []byte(strings.TrimSuffix(string(text), "# changed\n") + "# changed\n")
			err = replaceFile(h.settingsFile, text)
		}
		if err != nil {
			w.logf("settings of %s: %v", name, err)
		}
		if hup {
			h.currentProcess().signal(syscall.SIGHUP)
		}
	})
}

// replaceFile puts a whole file in the place of another, as the platform does: a process
// that starts meanwhile reads either.
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
	p.add(at+p.durationBetween(200*time.Millisecond, 3*time.Second), name+" to the store: passes", func(w *world) {
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
	p.add(at+p.durationBetween(100*time.Millisecond, 2*time.Second), "callers to "+name+": passes", func(w *world) {
		w.hosts[i].callerLink.setFault(linkHealthy)
		end()
	})
}

// pick returns one of the live servers, nil if there is none.
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
	p.add(at+p.durationBetween(100*time.Millisecond, 2*time.Second), fmt.Sprintf("link of server %d: passes", number), func(*world) {
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
	p.add(at, fmt.Sprintf("store %+v, forgets %t", f, compact), func(w *world) {
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

// badCheckpoint leaves the record of a host whose clock was wrong, or a damaged one.
func (p *planner) planBadCheckpoint(at time.Duration) {
	skew := time.Duration(p.rnd.Int64N(int64(48*time.Hour))) - 24*time.Hour
	damaged := p.rnd.IntN(3) == 0
	p.add(at, fmt.Sprintf("checkpoint of a clock %s off, damaged %t", skew.Round(time.Second), damaged), func(w *world) {
		r := checkpoint.New(nil, map[uint32]uint32{1: 1}, time.Now().Add(skew))
		b, err := r.Encode()
		if err != nil {
			w.logf("checkpoint: %v", err)
			return
		}
		if damaged {
			b = b[:len(b)/2]
		}
		w.store.Put(wire.KeyCheckpoint, b)
	})
}

// crashServer ends a server without notice; its entry lapses later, and an empty one
// takes its place.
func (p *planner) planServerCrash(at time.Duration) {
	number, expiryDelay := p.rnd.IntN(100), p.durationBetween(0, 2*time.Second)
	p.add(at, fmt.Sprintf("server %d crashes", number), func(w *world) {
		w.replaceServer(number, func(s *server) { w.removeServer(s, expiryDelay) })
	})
}

func (w *world) replaceServer(number int, retire func(s *server)) {
	s := w.pickServer(number, "")
	if s == nil {
		return
	}
	if err := w.addServer(s.service); err != nil {
		w.logf("replacement of %s: %v", s.id, err)
		return
	}
	w.wg.Go(func() { retire(s) })
}

// drainTime is the time between a server's notice and its end.
const drainTime = 4 * time.Second

func (p *planner) planServerDrain(at time.Duration) {
	number := p.rnd.IntN(100)
	p.add(at, fmt.Sprintf("server %d leaves", number), func(w *world) {
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

// badServer makes one server misbehave all the time for a while.
func (p *planner) planPersistentServerFault(at time.Duration) {
	number, f := p.rnd.IntN(100), serverFaults[p.rnd.IntN(len(serverFaults))]
	var s *server
	p.add(at, fmt.Sprintf("server %d always: %s", number, f), func(w *world) {
		if s = w.pickServer(number, ""); s != nil {
			s.SetPersistentFault(f)
		}
	})
	p.add(at+p.durationBetween(200*time.Millisecond, 3*time.Second), fmt.Sprintf("server %d well", number), func(*world) {
		if s != nil {
			s.SetPersistentFault("")
		}
	})
}

// badAnswers spoils single answers of all servers.
func (p *planner) planSingleResponseFaults(at time.Duration) {
	f := serverFaults[p.rnd.IntN(len(serverFaults))]
	p.add(at, fmt.Sprintf("one answer of each server: %s", f), func(w *world) {
		for _, s := range w.liveServers("") {
			s.InjectFaults(f)
		}
	})
}

func (p *planner) planNewConfig(at time.Duration) {
	p.add(at, "new configuration", func(w *world) { w.publishNextConfig() })
}

// heal ends all faults.
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
	}
	for _, service := range []string{fleetuser.EngineService, fleetuser.PlainService} {
		if len(w.liveServers(service)) == 0 {
			w.logf("no server of %s is left", service)
		}
	}
}
