package scenario

import (
	"fmt"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"sardinefront.dev/platform"
	"sardinefront.dev/proof/invariant"
	"sardinefront.dev/standin/engine"
	"sardinefront.dev/standin/platformd"
	"sardinefront.dev/standin/service"
)

// worldKey finds the world of a running script.
type worldKey struct{}

// command is one verb of the language.
type command func(w *world, a *arguments) error

// commands are the verbs, as listed in docs/decisions/scenarios.md.
var commands = map[string]command{
	"rules":    doRules,
	"engine":   doEngine,
	"service":  doService,
	"host":     doHost,
	"send":     doSend,
	"start":    doStart,
	"load":     doLoad,
	"await":    doAwait,
	"hangup":   doHangup,
	"expect":   doExpect,
	"runs":     doRuns,
	"served":   doServed,
	"ejected":  doEjected,
	"outcome":  doOutcome,
	"until":    doUntil,
	"holds":    doHolds,
	"store":    doStore,
	"platform": doPlatform,
	"fault":    doFault,
	"leave":    doLeave,
	"unlist":   doUnlist,
	"crash":    doCrash,
	"restart":  doRestart,
	"shutdown": doShutdown,
	"pause":    doPause,
	"resume":   doResume,
	"cut":      doCut,
	"join":     doJoin,
	"silence":  doSilence,
	"push":     doPush,
}

// scriptCommands adapts the commands to testscript.
func scriptCommands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	all := make(map[string]func(ts *testscript.TestScript, neg bool, args []string), len(commands))
	for name, run := range commands {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			if err := run(ts.Value(worldKey{}).(*world), parseArguments(args)); err != nil {
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
	return all
}

func doRules(w *world, a *arguments) error {
	name := a.next("a rules file")
	if err := a.end(); err != nil {
		return err
	}
	return w.useRules(name)
}

// targetInfo reads what engines and services have in common.
func targetInfo(a *arguments) platform.Endpoint {
	info := platform.Endpoint{
		Name: a.next("a name"), Role: platform.RoleTarget,
		Pool: a.text("pool", ""), Zone: a.text("zone", ""), Version: a.text("version", "1"),
	}
	if info.Pool == "" {
		a.fail("missing: pool=")
	}
	return info
}

func doEngine(w *world, a *arguments) error {
	info := targetInfo(a)
	cfg := engine.Config{
		Name: info.Name, Version: info.Version,
		Slots:                  int(a.number("slots", 16)),
		TokensPerSecond:        a.number("rate", 200),
		PrefillTokensPerSecond: a.number("prefill", 100_000),
		LoadDuration:           a.duration("load-time", 0),
	}
	if err := a.end(); err != nil {
		return err
	}
	return w.addTarget(info, func() server { return engine.New(cfg) })
}

func doService(w *world, a *arguments) error {
	info := targetInfo(a)
	cfg := service.Config{
		Name: info.Name, Version: info.Version,
		Slots: int(a.number("slots", 0)), Latency: a.duration("latency", 0),
	}
	if err := a.end(); err != nil {
		return err
	}
	return w.addTarget(info, func() server { return service.New(cfg) })
}

func doHost(w *world, a *arguments) error {
	name := a.next("a name")
	o := hostOptions{
		zone:       a.text("zone", "zone-a"),
		firstByte:  a.duration("first-byte", 20*time.Second),
		drain:      a.duration("drain", time.Minute),
		lease:      a.duration("lease", time.Second),
		partitions: int(a.number("partitions", 1)),
		alone:      a.flag("alone"),
		stranger:   a.flag("stranger"),
	}
	if err := a.end(); err != nil {
		return err
	}
	if w.set == nil {
		return fmt.Errorf("no rules yet")
	}
	if err := w.addHost(name, o); err != nil {
		return err
	}
	return w.untilServing(name)
}

// untilServing waits until a host has rules in force.
func (w *world) untilServing(name string) error {
	p := w.hosts.get(name)
	return eventually("host "+name+" has rules in force", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.host != nil && p.host.Status().Revision > 0
	})
}

// hostNamed returns the host or an error that names it.
func (w *world) hostNamed(name string) (*hostProcess, error) {
	if p := w.hosts.get(name); p != nil {
		return p, nil
	}
	return nil, fmt.Errorf("no host %q", name)
}

func (w *world) targetNamed(name string) (*standin, error) {
	if s := w.targets.get(name); s != nil {
		return s, nil
	}
	return nil, fmt.Errorf("no target %q", name)
}

func doHolds(w *world, a *arguments) error {
	var ids []invariant.ID
	for _, word := range a.words {
		if word == "all" {
			ids = invariant.All()
			continue
		}
		id, err := invariant.Parse(word)
		if err != nil {
			return err
		}
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return fmt.Errorf("missing: all or the names of invariants")
	}
	for _, id := range ids {
		if id == invariant.I10 {
			w.fetchOutcomes()
		}
	}
	w.targets.observe(w.rec, time.Now())
	found := w.rec.Check(ids...)
	if w.noteDecisions(found) {
		found = w.rec.Check(ids...)
	}
	if len(found) == 0 {
		return nil
	}
	var b strings.Builder
	for _, v := range found {
		fmt.Fprintf(&b, "\n%s", v)
		for _, e := range v.Events {
			if e.Request != "" {
				b.WriteString(w.explain(e.Request))
			}
		}
	}
	return fmt.Errorf("%d violations%s", len(found), b.String())
}

func doStore(w *world, a *arguments) error {
	what := a.next("down, up, slow, loses, silent or cut")
	names := a.words
	var change func(f *platformd.Faults)
	switch what {
	case "down":
		w.storeDown.Store(true)
		return a.end()
	case "up":
		w.storeDown.Store(false)
		change = func(f *platformd.Faults) { *f = platformd.Faults{} }
	case "slow":
		d, err := time.ParseDuration(a.next("a duration"))
		if err != nil {
			return err
		}
		names = a.words
		change = func(f *platformd.Faults) { f.DelayMS = int(d.Milliseconds()) }
	case "loses":
		n, ok := parseBound(a.next("a number of answers"), 0)
		if !ok {
			return fmt.Errorf("not a number of answers")
		}
		names = a.words
		change = func(f *platformd.Faults) { f.LoseResponses, f.LoseResponsesTo = n.max, names }
	case "silent":
		change = func(f *platformd.Faults) { f.UnansweredCallers = names }
	case "cut":
		change = func(f *platformd.Faults) { f.DisconnectCallers = names }
	default:
		return fmt.Errorf("unknown fault %q", what)
	}
	for _, name := range names {
		if _, err := w.hostNamed(name); err != nil {
			return err
		}
	}
	w.setFaults(change)
	return nil
}

// doPlatform reads down or up: the store and the list fail together.
func doPlatform(w *world, a *arguments) error {
	state := a.next("down or up")
	if err := a.end(); err != nil {
		return err
	}
	if state != "down" && state != "up" {
		return fmt.Errorf("%q is neither down nor up", state)
	}
	w.setFaults(func(f *platformd.Faults) { f.Unavailable = state == "down" })
	return nil
}

func doFault(w *world, a *arguments) error {
	s, err := w.targetNamed(a.next("a target"))
	if err != nil {
		return err
	}
	f := engine.Fault{
		Kind: choose(a.next("a kind of fault"), engine.FaultNone, engine.FaultSlow, engine.FaultFail,
			engine.FaultNoResponse, engine.FaultTruncated, engine.FaultMismatched, engine.FaultEmpty),
		Share:      a.number("share", 0),
		PathPrefix: a.text("route", ""),
		Version:    a.text("version", ""),
		MinRunning: int(a.number("running", 0)),
		SlowFactor: a.number("factor", 0),
		DelayMS:    int(a.duration("delay", 0).Milliseconds()),
	}
	if f.Kind == "" {
		a.fail("unknown kind of fault")
	}
	if err := a.end(); err != nil {
		return err
	}
	s.server.AddFault(f)
	return nil
}

// choose returns the value with the given name, empty if there is none.
func choose[K ~string](name string, values ...K) K {
	for _, v := range values {
		if string(v) == name {
			return v
		}
	}
	return ""
}
