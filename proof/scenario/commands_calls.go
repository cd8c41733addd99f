package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"sardinefront.dev/rules"
)

// labels holds the calls of a scenario by label.
type labels struct {
	mu  sync.Mutex
	all map[string]*group
}

// group is the calls under one label.
type group struct {
	calls   []*call
	sending sync.WaitGroup // open while a load is being sent
}

func (l *labels) add(label string, c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group(label).calls = append(l.all[label].calls, c)
}

// group returns the group of a label; l.mu must be held.
func (l *labels) group(label string) *group {
	if l.all == nil {
		l.all = make(map[string]*group)
	}
	if l.all[label] == nil {
		l.all[label] = &group{}
	}
	return l.all[label]
}

// calls returns the calls under a label, after all of them were sent.
func (l *labels) calls(label string) ([]*call, error) {
	l.mu.Lock()
	g := l.all[label]
	l.mu.Unlock()
	if g == nil {
		return nil, fmt.Errorf("nothing was sent as %q", label)
	}
	g.sending.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*call(nil), g.calls...), nil
}

func (l *labels) hangAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.all {
		for _, c := range g.calls {
			c.hang()
		}
	}
}

// readCall reads METHOD PATH from ORGANISATION to HOST[,HOST] and the options.
func (w *world) readCall(a *arguments, label string) (callSpec, []string, error) {
	s := callSpec{
		stream: a.flag("stream"), method: a.next("a method"), path: a.next("a path"),
		id: a.text("id", label), body: a.text("body", ""), tokens: int(a.number("tokens", 8)),
	}
	s.prompt = a.text("prompt", "tell me about "+s.id)
	a.keyword("from")
	s.organisation = a.next("an organisation")
	a.keyword("to")
	names := strings.Split(a.next("a host"), ",")
	if err := a.end(); err != nil {
		return s, nil, err
	}
	for _, name := range names {
		if _, err := w.hostNamed(name); err != nil {
			return s, nil, err
		}
	}
	class, ok := w.set.Classify(s.method, s.path, s.organisation)
	if !ok {
		return s, nil, fmt.Errorf("no rule matches %s %s", s.method, s.path)
	}
	s.class = class
	s.engine = isEngine(w.set, class.Pool)
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
	s, hosts, err := w.readCall(a, label)
	if err != nil {
		return err
	}
	w.labels.add(label, w.submit(s, hosts[0]))
	return nil
}

func doSend(w *world, a *arguments) error {
	label := a.words
	if err := doStart(w, a); err != nil {
		return err
	}
	return w.await(label[0])
}

// doLoad sends COUNT requests in the background, to the hosts in turn.
func doLoad(w *world, a *arguments) error {
	label := a.next("a label")
	count, err := strconv.Atoi(a.next("a number of requests"))
	if err != nil {
		return err
	}
	every := a.duration("every", 0)
	s, hosts, err := w.readCall(a, label)
	if err != nil {
		return err
	}
	w.labels.mu.Lock()
	g := w.labels.group(label)
	w.labels.mu.Unlock()
	g.sending.Go(func() {
		for i := range count {
			one := s
			one.id = fmt.Sprintf("%s-%d", s.id, i+1)
			if one.body != "" {
				one.body = `{"for":"` + one.id + `"}`
			}
			w.labels.add(label, w.submit(one, hosts[i%len(hosts)]))
			time.Sleep(every)
		}
	})
	return nil
}

// await waits until every call under the label has ended.
func (w *world) await(label string) error {
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
	for _, label := range a.words {
		if err := w.await(label); err != nil {
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
		c.hang()
	}
	return a.end()
}

// wanted is how calls should have ended. Empty fields match everything.
type wanted struct {
	end, reason, ran string
}

func (want wanted) matches(c *call) bool {
	end, reason, ran, _ := c.result()
	if end != want.end || want.ran != "" && ran != want.ran {
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

// doExpect reads LABEL END [REASON [RAN]] [BOUND].
func doExpect(w *world, a *arguments) error {
	label := a.next("a label")
	if err := w.await(label); err != nil {
		return err
	}
	calls, err := w.labels.calls(label)
	if err != nil {
		return err
	}
	want := wanted{end: a.next("how the calls ended")}
	b, _ := parseBound("all", len(calls))
	if n := len(a.words); n > 0 {
		if last, ok := parseBound(a.words[n-1], len(calls)); ok {
			b, a.words = last, a.words[:n-1]
		}
	}
	if len(a.words) > 0 {
		want.reason = a.next("a reason")
	}
	if len(a.words) > 0 {
		want.ran = a.next("a run state")
	}
	if err := a.end(); err != nil {
		return err
	}
	n := 0
	for _, c := range calls {
		if want.matches(c) {
			n++
		}
	}
	if b.holds(n) {
		return nil
	}
	return fmt.Errorf("%s: %d of %d calls ended as %v, expected %s; they ended as:%s", label, n, len(calls), want, b.word, endings(calls))
}

// endings lists how often calls ended in each way, with one detail each.
func endings(calls []*call) string {
	counts := make(map[string]int)
	example := make(map[string]string)
	var order []string
	for _, c := range calls {
		end, reason, ran, detail := c.result()
		key := strings.TrimSpace(strings.Join([]string{end, reason, ran}, " "))
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

// doRuns reads LABEL BOUND [at TARGET]: how often each request ran. With total,
// the bound is on the sum.
func doRuns(w *world, a *arguments) error {
	label := a.next("a label")
	total := a.flag("total")
	calls, err := w.labels.calls(label)
	if err != nil {
		return err
	}
	b, ok := parseBound(a.next("a count"), len(calls))
	if !ok {
		a.fail("not a count")
	}
	count := w.targets.runs
	if a.flag("at") {
		s, err := w.targetNamed(a.next("a target"))
		if err != nil {
			return err
		}
		count = s.runs
	}
	if err := a.end(); err != nil {
		return err
	}
	sum := 0
	for _, c := range calls {
		n := count(c.spec.key())
		sum += n
		if !total && !b.holds(n) {
			return fmt.Errorf("%s ran %d times, expected %s", c.spec.key(), n, b.word)
		}
	}
	if total && !b.holds(sum) {
		return fmt.Errorf("%s ran %d times in total, expected %s", label, sum, b.word)
	}
	return nil
}

func doServed(w *world, a *arguments) error {
	s, err := w.targetNamed(a.next("a target"))
	if err != nil {
		return err
	}
	b, ok := parseBound(a.next("a count"), 0)
	if !ok {
		a.fail("not a count")
	}
	if err := a.end(); err != nil {
		return err
	}
	if n := s.total(); !b.holds(n) {
		return fmt.Errorf("%s ran %d requests, expected %s", s.info.Name, n, b.word)
	}
	return nil
}

// doEjected reads HOST POOL BOUND: how many targets of the pool the host has
// ejected.
func doEjected(w *world, a *arguments) error {
	p, err := w.hostNamed(a.next("a host"))
	if err != nil {
		return err
	}
	name := a.next("a pool")
	b, ok := parseBound(a.next("a count"), 0)
	if !ok {
		a.fail("not a count")
	}
	if err := a.end(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.host == nil {
		return fmt.Errorf("host %s is down", p.name)
	}
	for _, pool := range p.host.Status().Pools {
		if pool.Name == name && !b.holds(pool.Ejected) {
			return fmt.Errorf("host %s has ejected %d targets of %s, expected %s", p.name, pool.Ejected, name, b.word)
		}
	}
	return nil
}
