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
	at   time.Duration
	what string
	run  func(w *world)
}

// planner draws a schedule. All randomness is in it, so that a seed names a schedule.
type planner struct {
	rnd     *rand.Rand
	hosts   int
	actions []action
}

const (
	// faultEvery is the mean time between drawn faults, for each host.
	faultEvery = 1500 * time.Millisecond
	// seriesShare of the faults come as a series of the same fault.
	seriesShare = 0.3
)

// plan draws the faults of a run, in order of time.
func plan(seed uint64, hosts int, length time.Duration) []action {
	p := &planner{rnd: rand.New(rand.NewPCG(seed, seed+1)), hosts: hosts}
	for range int(length/faultEvery) * max(1, hosts/2) {
		at := time.Duration(p.rnd.Int64N(int64(length)))
		draw := draws[p.rnd.IntN(len(draws))]
		draw(p, at)
		for p.rnd.Float64() < seriesShare && at < length {
			at += p.between(150*time.Millisecond, 800*time.Millisecond)
			draw(p, at)
		}
	}
	slices.SortStableFunc(p.actions, func(a, b action) int { return int(a.at - b.at) })
	return p.actions
}

func (p *planner) between(least, most time.Duration) time.Duration {
	return least + time.Duration(p.rnd.Int64N(int64(most-least)))
}

func (p *planner) add(at time.Duration, what string, run func(w *world)) {
	p.actions = append(p.actions, action{at, what, run})
}

// draws are the kinds of faults.
var draws = []func(p *planner, at time.Duration){
	(*planner).killHost, (*planner).stopHost, (*planner).pauseHost, (*planner).killAll, (*planner).reloadHost,
	(*planner).storeLink, (*planner).callerLink, (*planner).serverLink, (*planner).storeFault, (*planner).badCheckpoint,
	(*planner).crashServer, (*planner).drainServer, (*planner).badServer, (*planner).badAnswers, (*planner).newConfig,
}

func (p *planner) host() (int, string) {
	i := p.rnd.IntN(p.hosts)
	return i, fmt.Sprintf("host-%d", i)
}

func (p *planner) killHost(at time.Duration) {
	i, name := p.host()
	p.add(at, "SIGKILL "+name, func(w *world) { w.kill(w.hosts[i]) })
}

func (w *world) kill(h *entryHost) {
	h.down()
	h.current().signal(syscall.SIGKILL)
}

func (p *planner) killAll(at time.Duration) {
	p.add(at, "SIGKILL all", func(w *world) {
		for _, h := range w.hosts {
			w.kill(h)
		}
	})
}

func (p *planner) stopHost(at time.Duration) {
	i, name := p.host()
	p.add(at, "SIGTERM "+name, func(w *world) { w.hosts[i].current().signal(syscall.SIGTERM) })
}

func (p *planner) pauseHost(at time.Duration) {
	i, name := p.host()
	var resume func()
	p.add(at, "SIGSTOP "+name, func(w *world) {
		h := w.hosts[i]
		end, process := h.disturbed.begin(), h.current()
		process.signal(syscall.SIGSTOP)
		resume = func() {
			process.signal(syscall.SIGCONT)
			end()
		}
	})
	p.add(at+p.between(100*time.Millisecond, 2500*time.Millisecond), "SIGCONT "+name, func(*world) { resume() })
}

// reloadHost changes the settings file and names it by SIGHUP, or leaves it to the
// host to notice.
func (p *planner) reloadHost(at time.Duration) {
	i, name := p.host()
	hup := p.rnd.IntN(2) == 0
	p.add(at, "settings of "+name, func(w *world) {
		h := w.hosts[i]
		text, err := os.ReadFile(h.settings)
		if err == nil {
			text = []byte(strings.TrimSuffix(string(text), "# changed\n") + "# changed\n")
			err = replaceFile(h.settings, text)
		}
		if err != nil {
			w.note("settings of %s: %v", name, err)
		}
		if hup {
			h.current().signal(syscall.SIGHUP)
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

func (p *planner) linkFault() linkFault { return linkFault(1 + p.rnd.IntN(len(linkFaultNames)-1)) }

func (p *planner) storeLink(at time.Duration) {
	i, name := p.host()
	f := p.linkFault()
	var end func()
	p.add(at, fmt.Sprintf("%s to the store: %s", name, f), func(w *world) {
		end = w.hosts[i].storeTrouble.begin()
		w.hosts[i].storeLink.set(f)
	})
	p.add(at+p.between(200*time.Millisecond, 3*time.Second), name+" to the store: passes", func(w *world) {
		w.hosts[i].storeLink.set(linkPasses)
		end()
	})
}

func (p *planner) callerLink(at time.Duration) {
	i, name := p.host()
	f := p.linkFault()
	var end func()
	p.add(at, fmt.Sprintf("callers to %s: %s", name, f), func(w *world) {
		end = w.hosts[i].disturbed.begin()
		w.hosts[i].callerLink.set(f)
	})
	p.add(at+p.between(100*time.Millisecond, 2*time.Second), "callers to "+name+": passes", func(w *world) {
		w.hosts[i].callerLink.set(linkPasses)
		end()
	})
}

// pick returns one of the live servers, nil if there is none.
func (w *world) pick(number int, service string) *server {
	live := w.live(service)
	if len(live) == 0 {
		return nil
	}
	return live[number%len(live)]
}

func (p *planner) serverLink(at time.Duration) {
	number, f := p.rnd.IntN(100), p.linkFault()
	var s *server
	p.add(at, fmt.Sprintf("link of server %d: %s", number, f), func(w *world) {
		if s = w.pick(number, ""); s != nil {
			s.link.set(f)
		}
	})
	p.add(at+p.between(100*time.Millisecond, 2*time.Second), fmt.Sprintf("link of server %d: passes", number), func(*world) {
		if s != nil {
			s.link.set(linkPasses)
		}
	})
}

func (p *planner) storeFault(at time.Duration) {
	faults := []kvstore.Faults{{Unavailable: true}, {NoResponse: true}, {Delay: p.between(50*time.Millisecond, 700*time.Millisecond)}, {LoseResponses: 1 + p.rnd.IntN(3)}}
	f := faults[p.rnd.IntN(len(faults))]
	forget := p.rnd.IntN(3) == 0
	var end func()
	p.add(at, fmt.Sprintf("store %+v, forgets %t", f, forget), func(w *world) {
		end = w.storeTrouble.begin()
		w.store.SetFaults(f)
		if forget {
			w.store.CompactHistory()
		}
	})
	p.add(at+p.between(200*time.Millisecond, 3*time.Second), "store healthy", func(w *world) {
		w.store.SetFaults(kvstore.Faults{})
		end()
	})
}

// badCheckpoint leaves the record of a host whose clock was wrong, or a damaged one.
func (p *planner) badCheckpoint(at time.Duration) {
	skew := time.Duration(p.rnd.Int64N(int64(48*time.Hour))) - 24*time.Hour
	damaged := p.rnd.IntN(3) == 0
	p.add(at, fmt.Sprintf("checkpoint of a clock %s off, damaged %t", skew.Round(time.Second), damaged), func(w *world) {
		r := checkpoint.New(nil, map[uint32]uint32{1: 1}, time.Now().Add(skew))
		b, err := r.Encode()
		if err != nil {
			w.note("checkpoint: %v", err)
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
func (p *planner) crashServer(at time.Duration) {
	number, lapse := p.rnd.IntN(100), p.between(0, 2*time.Second)
	p.add(at, fmt.Sprintf("server %d crashes", number), func(w *world) {
		w.replace(number, func(s *server) { w.remove(s, lapse) })
	})
}

func (w *world) replace(number int, leave func(s *server)) {
	s := w.pick(number, "")
	if s == nil {
		return
	}
	if err := w.addServer(s.service); err != nil {
		w.note("replacement of %s: %v", s.id, err)
		return
	}
	w.wg.Go(func() { leave(s) })
}

// drainTime is the time between a server's notice and its end.
const drainTime = 4 * time.Second

func (p *planner) drainServer(at time.Duration) {
	number := p.rnd.IntN(100)
	p.add(at, fmt.Sprintf("server %d leaves", number), func(w *world) {
		w.replace(number, func(s *server) {
			s.mu.Lock()
			if s.drainingAt.IsZero() {
				s.drainingAt = time.Now()
			}
			s.mu.Unlock()
			w.list(s)
			time.Sleep(drainTime)
			w.remove(s, 0)
		})
	})
}

var serverFaults = []slotengine.Fault{
	slotengine.Shed, slotengine.Fail, slotengine.Disconnect, slotengine.TruncatedStream, slotengine.NoResponse, slotengine.ExtraResponse, slotengine.MismatchedResponse, slotengine.UnframedResponse,
}

// badServer makes one server misbehave all the time for a while.
func (p *planner) badServer(at time.Duration) {
	number, f := p.rnd.IntN(100), serverFaults[p.rnd.IntN(len(serverFaults))]
	var s *server
	p.add(at, fmt.Sprintf("server %d always: %s", number, f), func(w *world) {
		if s = w.pick(number, ""); s != nil {
			s.SetPersistentFault(f)
		}
	})
	p.add(at+p.between(200*time.Millisecond, 3*time.Second), fmt.Sprintf("server %d well", number), func(*world) {
		if s != nil {
			s.SetPersistentFault("")
		}
	})
}

// badAnswers spoils single answers of all servers.
func (p *planner) badAnswers(at time.Duration) {
	f := serverFaults[p.rnd.IntN(len(serverFaults))]
	p.add(at, fmt.Sprintf("one answer of each server: %s", f), func(w *world) {
		for _, s := range w.live("") {
			s.InjectFaults(f)
		}
	})
}

func (p *planner) newConfig(at time.Duration) {
	p.add(at, "new configuration", func(w *world) { w.reconfigure() })
}

// heal ends all faults.
func (w *world) heal() {
	w.store.SetFaults(kvstore.Faults{})
	for _, h := range w.hosts {
		h.storeLink.set(linkPasses)
		h.callerLink.set(linkPasses)
		h.current().signal(syscall.SIGCONT)
	}
	for _, s := range w.live("") {
		s.link.set(linkPasses)
		s.SetPersistentFault("")
	}
	for _, service := range []string{fleetuser.EngineService, fleetuser.PlainService} {
		if len(w.live(service)) == 0 {
			w.note("no server of %s is left", service)
		}
	}
}
