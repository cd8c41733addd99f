package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/member"
	"sardinefront.dev/host"
	"sardinefront.dev/proof/invariant"
	"sardinefront.dev/standin/engine"
)

// parseHostArgument parses the only argument of a command, the name of a host.
func (w *world) parseHostArgument(a *arguments) (*hostProcess, error) {
	name := a.next("a host")
	if err := a.finish(); err != nil {
		return nil, err
	}
	return w.findHost(name)
}

func (w *world) parseTargetArgument(a *arguments) (*standin, error) {
	name := a.next("a target")
	if err := a.finish(); err != nil {
		return nil, err
	}
	return w.findTarget(name)
}

// doLeave parses TARGET [unlisted]. The target states in its responses that it is leaving, and
// so does the platform's list unless the target is unlisted.
func doLeave(w *world, a *arguments) error {
	unlisted := a.flag("unlisted")
	s, err := w.parseTargetArgument(a)
	if err != nil {
		return err
	}
	s.server.SetLeaving(true)
	w.markLeaving(s, !unlisted)
	return nil
}

// doPushBack parses TARGET DURATION [date] [unstated]. The target turns all requests away.
func doPushBack(w *world, a *arguments) error {
	push := engine.PushBack{AsDate: a.flag("date"), Unstated: a.flag("unstated")}
	name := a.next("a target")
	d, err := time.ParseDuration(a.next("a duration"))
	if err != nil {
		return err
	}
	if err := a.finish(); err != nil {
		return err
	}
	s, err := w.findTarget(name)
	if err != nil {
		return err
	}
	push.DurationMS = int(d.Milliseconds())
	s.server.SetPushBack(push)
	return nil
}

// doRejected parses TARGET [late] BOUND and checks how many requests the target turned away; with
// late, those more than half a second after the first one of a push-back.
func doRejected(w *world, a *arguments) error {
	lateOnly := a.flag("late")
	name, word := a.next("a target"), a.next("a count")
	if err := a.finish(); err != nil {
		return err
	}
	s, err := w.findTarget(name)
	if err != nil {
		return err
	}
	n, late := s.server.Rejected()
	if lateOnly {
		n = late
	}
	if b, ok := parseCountBound(word, 0); !ok || !b.allows(n) {
		return fmt.Errorf("%s turned %d requests away, expected %s", name, n, word)
	}
	return nil
}

func doUnlist(w *world, a *arguments) error {
	name := a.next("a target or host")
	w.removeEndpoint(name)
	return a.finish()
}

// doCrash ends the processes of hosts and targets without a planned stop.
func doCrash(w *world, a *arguments) error {
	for _, name := range a.positional {
		if p := w.hosts.get(name); p != nil {
			w.rec.Record(invariant.Event{Kind: invariant.HostDown, Host: name})
			p.crash()
			continue
		}
		s, err := w.findTarget(name)
		if err != nil {
			return err
		}
		w.setReachableFromAll(name, false)
		s.crash(w.rec)
	}
	return nil
}

// setReachableFromAll opens or closes the relays of all hosts to a target.
func (w *world) setReachableFromAll(target string, reachable bool) {
	w.hosts.forEach(func(p *hostProcess) { _ = p.setReachable(target, reachable) })
}

// doRestart starts hosts and targets that have crashed or stopped.
func doRestart(w *world, a *arguments) error {
	for _, name := range a.positional {
		if p := w.hosts.get(name); p != nil {
			if err := w.startHost(p); err != nil {
				return err
			}
			if err := w.waitUntilServing(name); err != nil {
				return err
			}
			continue
		}
		s, err := w.findTarget(name)
		if err != nil {
			return err
		}
		if err := w.restartTarget(s); err != nil {
			return err
		}
		w.setReachableFromAll(name, true)
	}
	return nil
}

// doShutdown starts a planned stop, which completes in the background, and waits
// until the host is no longer ready.
func doShutdown(w *world, a *arguments) error {
	p, err := w.parseHostArgument(a)
	if err != nil {
		return err
	}
	w.rec.Record(invariant.Event{Kind: invariant.ShutdownStarted, Host: p.name})
	w.calls.Go(func() {
		if interrupted := p.shutdown(); interrupted > 0 {
			w.rec.Record(invariant.Event{Kind: invariant.ConnectionCut, Host: p.name, RequestCount: int(interrupted)})
		}
	})
	return waitFor("host "+p.name+" is no longer ready", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.host == nil || !p.host.Status().Ready
	})
}

func doPause(w *world, a *arguments) error {
	p, err := w.parseHostArgument(a)
	if err != nil {
		return err
	}
	p.proxy.pause()
	return nil
}

func doResume(w *world, a *arguments) error {
	p, err := w.parseHostArgument(a)
	if err != nil {
		return err
	}
	p.proxy.resume()
	return nil
}

// parseHostAndTarget parses HOST TARGET.
func (w *world) parseHostAndTarget(a *arguments) (*hostProcess, string, error) {
	name, target := a.next("a host"), a.next("a target")
	if err := a.finish(); err != nil {
		return nil, "", err
	}
	if _, err := w.findTarget(target); err != nil {
		return nil, "", err
	}
	p, err := w.findHost(name)
	return p, target, err
}

func doCut(w *world, a *arguments) error {
	p, target, err := w.parseHostAndTarget(a)
	if err != nil {
		return err
	}
	return p.setReachable(target, false)
}

func doJoin(w *world, a *arguments) error {
	p, target, err := w.parseHostAndTarget(a)
	if err != nil {
		return err
	}
	return p.setReachable(target, true)
}

func doSilence(w *world, a *arguments) error {
	p, target, err := w.parseHostAndTarget(a)
	if err != nil {
		return err
	}
	p.blackholeConnections(target)
	return nil
}

// doPush parses FILE [base=N] [conflict] and pushes a rules file of the scenario. With
// conflict, the push must fail with a conflict.
func doPush(w *world, a *arguments) error {
	conflict := a.flag("conflict")
	name, base := a.next("a rules file"), int64(a.numberOption("base", 0))
	if err := a.finish(); err != nil {
		return err
	}
	_, err := w.push(name, base)
	var conflictErr *config.ConflictError
	switch {
	case conflict && errors.As(err, &conflictErr):
		return nil
	case conflict && err == nil:
		return errors.New("the push was accepted, expected a conflict")
	}
	return err
}

// conditions maps the conditions of the until command to functions that parse the
// arguments and return a check of the condition.
var conditions = map[string]func(w *world, a *arguments) (func() bool, error){
	"running":   whenRunning,
	"streaming": whenStreaming,
	"idle":      whenIdle,
	"down":      whenDown,
	"adopted":   whenAdopted,
	"past":      whenPast,
	"claimed":   whenClaimed,
	"joined":    whenJoined,
	"writes":    whenWrites,
}

func doUntil(w *world, a *arguments) error {
	name := a.next("a condition")
	parse, ok := conditions[name]
	if !ok {
		return fmt.Errorf("unknown condition %q", name)
	}
	description := fmt.Sprint(name, " ", a.positional)
	met, err := parse(w, a)
	if err != nil {
		return err
	}
	if err := a.finish(); err != nil {
		return err
	}
	return waitFor(description, met)
}

// whenRunning parses LABEL [BOUND]. The condition is met when the number of requests
// with the label that have been dispatched satisfies the bound, all if none is given.
func whenRunning(w *world, a *arguments) (func() bool, error) {
	calls, err := w.labels.calls(a.next("a label"))
	if err != nil {
		return nil, err
	}
	word := "all"
	if len(a.positional) > 0 {
		word = a.next("a count")
	}
	b, ok := parseCountBound(word, len(calls))
	if !ok {
		return nil, fmt.Errorf("%q is not a count", word)
	}
	return func() bool {
		n := 0
		for _, c := range calls {
			if w.targets.runCount(c.spec.qualifiedID()) > 0 {
				n++
			}
		}
		return b.allows(n)
	}, nil
}

// whenStreaming parses LABEL. The condition is met when each caller with the label has
// received the first event of its stream.
func whenStreaming(w *world, a *arguments) (func() bool, error) {
	calls, err := w.labels.calls(a.next("a label"))
	return func() bool {
		for _, c := range calls {
			if !c.hasStarted() {
				return false
			}
		}
		return true
	}, err
}

// whenIdle parses ENGINE. The condition is met when no request runs or waits at the
// engine.
func whenIdle(w *world, a *arguments) (func() bool, error) {
	s, err := w.findTarget(a.next("an engine"))
	return func() bool {
		n, err := s.activeRequests()
		return err == nil && n == 0
	}, err
}

// whenDown parses HOST. The condition is met when the process of the host has ended.
func whenDown(w *world, a *arguments) (func() bool, error) {
	p, err := w.findHost(a.next("a host"))
	return func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.host == nil
	}, err
}

// whenAdopted parses HOST NUMBER. The condition is met when the active configuration
// of the host has at least the given number.
func whenAdopted(w *world, a *arguments) (func() bool, error) {
	name := a.next("a host")
	n, err := strconv.ParseInt(a.next("a number"), 10, 64)
	if err != nil {
		return nil, err
	}
	return whenStatus(w, &arguments{positional: []string{name}}, func(s host.Status) bool { return s.Revision >= n })
}

// whenStatus parses HOST. The condition is met when the host is up and its status
// satisfies ok.
func whenStatus(w *world, a *arguments, ok func(s host.Status) bool) (func() bool, error) {
	p, err := w.findHost(a.next("a host"))
	return func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.host != nil && ok(p.host.Status())
	}, err
}

// whenJoined parses HOST NUMBER. The condition is met when the host has received
// messages from at least NUMBER live peers. A peer that is only in the platform's list
// has incarnation 0 and does not count.
func whenJoined(w *world, a *arguments) (func() bool, error) {
	name := a.next("a host")
	n, err := strconv.Atoi(a.next("a number of peers"))
	if err != nil {
		return nil, err
	}
	return whenStatus(w, &arguments{positional: []string{name}}, func(s host.Status) bool {
		alivePeers := 0
		for _, m := range s.Members {
			if m.Name != name && m.State == member.Alive.String() && m.Incarnation > 0 {
				alivePeers++
			}
		}
		return alivePeers >= n
	})
}

// whenWrites parses HOST. The condition is met when the host is the writer of at least
// one partition of the journal.
func whenWrites(w *world, a *arguments) (func() bool, error) {
	return whenStatus(w, a, func(s host.Status) bool { return len(s.Partitions) > 0 })
}

// leavingGrace is the time after which a leaving target receives no new requests.
const leavingGrace = 3 * time.Second

// whenPast parses TARGET leaving. The condition is met when the target has been
// leaving for longer than leavingGrace.
func whenPast(w *world, a *arguments) (func() bool, error) {
	s, err := w.findTarget(a.next("a target"))
	a.keyword("leaving")
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !s.leavingSince.IsZero() && time.Since(s.leavingSince) > leavingGrace
	}, err
}
