package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"sardinefront.dev/rules"
)

// labels holds the calls of a scenario, grouped by label. Its methods are safe for
// concurrent use.
type labels struct {
	mu     sync.Mutex
	groups map[string]*group
}

// group holds the calls with one label.
type group struct {
	calls   []*call
	sending sync.WaitGroup // waits for loads that are being sent
}

func (l *labels) add(label string, c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.getOrCreate(label).calls = append(l.groups[label].calls, c)
}

// getOrCreate returns the group of a label and creates it if needed. l.mu must be
// held.
func (l *labels) getOrCreate(label string) *group {
	if l.groups == nil {
		l.groups = make(map[string]*group)
	}
	if l.groups[label] == nil {
		l.groups[label] = &group{}
	}
	return l.groups[label]
}

// calls waits until all calls with the label have been sent and returns them.
func (l *labels) calls(label string) ([]*call, error) {
	l.mu.Lock()
	g := l.groups[label]
	l.mu.Unlock()
	if g == nil {
		return nil, fmt.Errorf("nothing was sent as %q", label)
	}
	g.sending.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*call(nil), g.calls...), nil
}

func (l *labels) hangUpAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.groups {
		for _, c := range g.calls {
			c.hangUp()
		}
	}
}

// parseCall parses METHOD PATH from ORGANISATION to HOST[,HOST] and the options. It
// returns the request and the names of the hosts.
func (w *world) parseCall(a *arguments, label string) (callSpec, []string, error) {
	s := callSpec{
		stream: a.flag("stream"), method: a.next("a method"), path: a.next("a path"),
		id: a.stringOption("id", label), body: a.stringOption("body", ""), maxTokens: int(a.numberOption("tokens", 8)),
	}
	s.prompt = a.stringOption("prompt", "tell me about "+s.id)
	a.keyword("from")
	s.organisation = a.next("an organisation")
	a.keyword("to")
	names := strings.Split(a.next("a host"), ",")
	if err := a.finish(); err != nil {
		return s, nil, err
	}
	for _, name := range names {
		if _, err := w.findHost(name); err != nil {
			return s, nil, err
		}
	}
	class, ok := w.ruleSet.Classify(s.method, s.path, s.organisation)
	if !ok {
		return s, nil, fmt.Errorf("no rule matches %s %s", s.method, s.path)
	}
	s.class = class
	s.toEngine = isEngine(w.ruleSet, class.Pool)
	if s.body == "" && s.method != "GET" && s.method != "DELETE" {
		s.body = `{"for":"` + s.id + `"}`
	}
	return s, names, nil
}

func isEngine(set *rules.Set, pool string) bool {
	for _, p := range set.Pools() {
		if p.Name == pool {
			return p.Engine
		}
	}
	return false
}

func doStart(w *world, a *arguments) error {
	label := a.next("a label")
	s, hosts, err := w.parseCall(a, label)
	if err != nil {
		return err
	}
	w.labels.add(label, w.submit(s, hosts[0]))
	return nil
}

func doSend(w *world, a *arguments) error {
	words := a.positional
	if err := doStart(w, a); err != nil {
		return err
	}
	return w.awaitCalls(words[0])
}

// doLoad parses LABEL COUNT and a call, and sends COUNT numbered requests in the
// background, to the hosts in turn.
func doLoad(w *world, a *arguments) error {
	label := a.next("a label")
	count, err := strconv.Atoi(a.next("a number of requests"))
	if err != nil {
		return err
	}
	every := a.durationOption("every", 0)
	s, hosts, err := w.parseCall(a, label)
	if err != nil {
		return err
	}
	w.labels.mu.Lock()
	g := w.labels.getOrCreate(label)
	w.labels.mu.Unlock()
	g.sending.Go(func() {
		for i := range count {
			numbered := s
			numbered.id = fmt.Sprintf("%s-%d", s.id, i+1)
			if numbered.body != "" {
				numbered.body = `{"for":"` + numbered.id + `"}`
			}
			w.labels.add(label, w.submit(numbered, hosts[i%len(hosts)]))
			time.Sleep(every)
		}
	})
	return nil
}

// awaitCalls waits until every call with the label has ended.
func (w *world) awaitCalls(label string) error {
	calls, err := w.labels.calls(label)
	if err != nil {
		return err
	}
	for _, c := range calls {
		<-c.done
	}
	return nil
}

func doAwait(w *world, a *arguments) error {
	for _, label := range a.positional {
		if err := w.awaitCalls(label); err != nil {
			return err
		}
	}
	return nil
}

func doHangup(w *world, a *arguments) error {
	label := a.next("a label")
	calls, err := w.labels.calls(label)
	if err != nil {
		return err
	}
	for _, c := range calls {
		c.hangUp()
	}
	return a.finish()
}

// expectation is the expected result of calls. An empty reason or run state matches
// any; several reasons are separated by "|".
type expectation struct {
	end, reason, runState string
}

func (want expectation) matches(c *call) bool {
	end, reason, runState, _ := c.result()
	if end != want.end || want.runState != "" && runState != want.runState {
		return false
	}
	if want.reason == "" {
		return true
	}
	for _, r := range strings.Split(want.reason, "|") {
		if r == reason {
			return true
		}
	}
	return false
}

// doExpect parses LABEL END [REASON [RAN]] [BOUND] and checks how many of the calls
// ended that way, all if no bound is given.
func doExpect(w *world, a *arguments) error {
	label := a.next("a label")
	if err := w.awaitCalls(label); err != nil {
		return err
	}
	calls, err := w.labels.calls(label)
	if err != nil {
		return err
	}
	want := expectation{end: a.next("how the calls ended")}
	b, _ := parseCountBound("all", len(calls))
	if n := len(a.positional); n > 0 {
		if last, ok := parseCountBound(a.positional[n-1], len(calls)); ok {
			b, a.positional = last, a.positional[:n-1]
		}
	}
	if len(a.positional) > 0 {
		want.reason = a.next("a reason")
	}
	if len(a.positional) > 0 {
		want.runState = a.next("a run state")
	}
	if err := a.finish(); err != nil {
		return err
	}
	n := 0
	for _, c := range calls {
		if want.matches(c) {
			n++
		}
	}
	if b.allows(n) {
		return nil
	}
	return fmt.Errorf("%s: %d of %d calls ended as %v, expected %s; results:%s", label, n, len(calls), want, b.text, summarizeEnds(calls))
}

// summarizeEnds lists the results of calls with their counts and an example of each.
func summarizeEnds(calls []*call) string {
	counts := make(map[string]int)
	example := make(map[string]string)
	var order []string
	for _, c := range calls {
		end, reason, runState, detail := c.result()
		key := strings.TrimSpace(strings.Join([]string{end, reason, runState}, " "))
		if counts[key] == 0 {
			order = append(order, key)
			example[key] = detail
		}
		counts[key]++
	}
	var b strings.Builder
	for _, key := range order {
		fmt.Fprintf(&b, "\n    %d %s, for example: %.300s", counts[key], key, example[key])
	}
	return b.String()
}

// doRuns parses LABEL BOUND [total] [at TARGET] and checks how often each request
// ran. With total, the bound applies to the sum over the requests.
func doRuns(w *world, a *arguments) error {
	label := a.next("a label")
	total := a.flag("total")
	calls, err := w.labels.calls(label)
	if err != nil {
		return err
	}
	b, ok := parseCountBound(a.next("a count"), len(calls))
	if !ok {
		a.setError("%q is not a count", b.text)
	}
	count := w.targets.runCount
	if a.flag("at") {
		s, err := w.findTarget(a.next("a target"))
		if err != nil {
			return err
		}
		count = s.runCount
	}
	if err := a.finish(); err != nil {
		return err
	}
	sum := 0
	for _, c := range calls {
		n := count(c.spec.qualifiedID())
		sum += n
		if !total && !b.allows(n) {
			return fmt.Errorf("%s ran %d times, expected %s", c.spec.qualifiedID(), n, b.text)
		}
	}
	if total && !b.allows(sum) {
		return fmt.Errorf("%s ran %d times in total, expected %s", label, sum, b.text)
	}
	return nil
}

func doServed(w *world, a *arguments) error {
	s, err := w.findTarget(a.next("a target"))
	if err != nil {
		return err
	}
	b, ok := parseCountBound(a.next("a count"), 0)
	if !ok {
		a.setError("%q is not a count", b.text)
	}
	if err := a.finish(); err != nil {
		return err
	}
	if n := s.totalRuns(); !b.allows(n) {
		return fmt.Errorf("%s ran %d requests, expected %s", s.endpoint.Name, n, b.text)
	}
	return nil
}

// doEjected parses HOST POOL BOUND and checks how many targets of the pool the host
// has ejected.
func doEjected(w *world, a *arguments) error {
	p, err := w.findHost(a.next("a host"))
	if err != nil {
		return err
	}
	name := a.next("a pool")
	b, ok := parseCountBound(a.next("a count"), 0)
	if !ok {
		a.setError("%q is not a count", b.text)
	}
	if err := a.finish(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.host == nil {
		return fmt.Errorf("host %s is down", p.name)
	}
	for _, pool := range p.host.Status().Pools {
		if pool.Name == name && !b.allows(pool.Ejected) {
			return fmt.Errorf("host %s has ejected %d targets of %s, expected %s", p.name, pool.Ejected, name, b.text)
		}
	}
	return nil
}
