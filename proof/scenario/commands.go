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

// worldKey is the key of the world among the values of a running script.
type worldKey struct{}

// command executes one command of the scenario language.
type command func(w *world, a *arguments) error

// commands maps the commands described in docs/decisions/scenarios.md to their functions.
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
	"pushback": doPushBack,
	"rejected": doRejected,
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
	if err := a.finish(); err != nil {
		return err
	}
	return w.selectRules(name)
}

// parseTarget parses the arguments that the engine and service commands share.
func parseTarget(a *arguments) platform.Endpoint {
	endpoint := platform.Endpoint{
		Name: a.next("a name"), Role: platform.RoleTarget,
		Pool: a.stringOption("pool", ""), Zone: a.stringOption("zone", ""), Version: a.stringOption("version", "1"),
	}
	if endpoint.Pool == "" {
		a.setError("missing: pool=")
	}
	return endpoint
}

func doEngine(w *world, a *arguments) error {
	endpoint := parseTarget(a)
	cfg := engine.Config{
		Name: endpoint.Name, Version: endpoint.Version,
		Slots:                  int(a.numberOption("slots", 16)),
		TokensPerSecond:        a.numberOption("rate", 200),
		PrefillTokensPerSecond: a.numberOption("prefill", 100_000),
		LoadDuration:           a.durationOption("load-time", 0),
	}
	if err := a.finish(); err != nil {
		return err
	}
	return w.addTarget(endpoint, func() standinServer { return engine.New(cfg) })
}

func doService(w *world, a *arguments) error {
	endpoint := parseTarget(a)
	cfg := service.Config{
		Name: endpoint.Name, Version: endpoint.Version,
		Slots: int(a.numberOption("slots", 0)), Latency: a.durationOption("latency", 0),
	}
	if err := a.finish(); err != nil {
		return err
	}
	return w.addTarget(endpoint, func() standinServer { return service.New(cfg) })
}

func doHost(w *world, a *arguments) error {
	name := a.next("a name")
	o := hostOptions{
		zone:                 a.stringOption("zone", "zone-a"),
		firstByteTimeout:     a.durationOption("first-byte", 20*time.Second),
		drainTimeout:         a.durationOption("drain", time.Minute),
		leaseTTL:             a.durationOption("lease", time.Second),
		partitions:           int(a.numberOption("partitions", 1)),
		withoutPeers:         a.flag("alone"),
		untrustedCertificate: a.flag("stranger"),
	}
	if err := a.finish(); err != nil {
		return err
	}
	if w.ruleSet == nil {
		return fmt.Errorf("host %q needs a preceding rules command", name)
	}
	if err := w.addHost(name, o); err != nil {
		return err
	}
	return w.waitUntilServing(name)
}

// waitUntilServing waits until a host has active rules.
func (w *world) waitUntilServing(name string) error {
	p := w.hosts.get(name)
	return waitFor("host "+name+" has active rules", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.host != nil && p.host.Status().Revision > 0
	})
}

// findHost returns the host with the given name, or an error.
func (w *world) findHost(name string) (*hostProcess, error) {
	if p := w.hosts.get(name); p != nil {
		return p, nil
	}
	return nil, fmt.Errorf("no host %q", name)
}

func (w *world) findTarget(name string) (*standin, error) {
	if s := w.targets.get(name); s != nil {
		return s, nil
	}
	return nil, fmt.Errorf("no target %q", name)
}

func doHolds(w *world, a *arguments) error {
	var ids []invariant.ID
	for _, word := range a.positional {
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
			w.awaitOutcomes()
		}
	}
	w.targets.observe(w.rec, time.Now())
	found := w.rec.Check(ids...)
	if w.recordDecisionTimes(found) {
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
	fault := a.next("down, up, slow, loses, silent or cut")
	names := a.positional
	var change func(f *platformd.Faults)
	switch fault {
	case "down":
		w.storeDown.Store(true)
		return a.finish()
	case "up":
		w.storeDown.Store(false)
		change = func(f *platformd.Faults) { *f = platformd.Faults{} }
	case "slow":
		d, err := time.ParseDuration(a.next("a duration"))
		if err != nil {
			return err
		}
		names = a.positional
		change = func(f *platformd.Faults) { f.DelayMS = int(d.Milliseconds()) }
	case "loses":
		n, ok := parseCountBound(a.next("a number of responses"), 0)
		if !ok {
			return fmt.Errorf("loses: %q is not a number of responses", n.text)
		}
		names = a.positional
		change = func(f *platformd.Faults) { f.LoseResponses, f.LoseResponsesTo = n.max, names }
	case "silent":
		change = func(f *platformd.Faults) { f.UnansweredCallers = names }
	case "cut":
		change = func(f *platformd.Faults) { f.DisconnectCallers = names }
	default:
		return fmt.Errorf("unknown store fault %q", fault)
	}
	for _, name := range names {
		if _, err := w.findHost(name); err != nil {
			return err
		}
	}
	w.setFaults(change)
	return nil
}

// doPlatform parses down or up, which applies to the store and the host list together.
func doPlatform(w *world, a *arguments) error {
	state := a.next("down or up")
	if err := a.finish(); err != nil {
		return err
	}
	if state != "down" && state != "up" {
		return fmt.Errorf("%q is neither down nor up", state)
	}
	w.setFaults(func(f *platformd.Faults) { f.Unavailable = state == "down" })
	return nil
}

func doFault(w *world, a *arguments) error {
	s, err := w.findTarget(a.next("a target"))
	if err != nil {
		return err
	}
	f := engine.Fault{
		Kind: findByName(a.next("a kind of fault"), engine.FaultNone, engine.FaultSlow, engine.FaultFail,
			engine.FaultNoResponse, engine.FaultTruncated, engine.FaultMismatched, engine.FaultEmpty),
		Share:      a.numberOption("share", 0),
		PathPrefix: a.stringOption("route", ""),
		Version:    a.stringOption("version", ""),
		MinRunning: int(a.numberOption("running", 0)),
		SlowFactor: a.numberOption("factor", 0),
		DelayMS:    int(a.durationOption("delay", 0).Milliseconds()),
	}
	if f.Kind == "" {
		a.setError("unknown kind of fault")
	}
	if err := a.finish(); err != nil {
		return err
	}
	s.server.AddFault(f)
	return nil
}

// findByName returns the value equal to name, empty if there is none.
func findByName[K ~string](name string, values ...K) K {
	for _, v := range values {
		if string(v) == name {
			return v
		}
	}
	return ""
}
