package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"sardinefront.dev/standin/fleetuser"
	"sardinefront.dev/standin/slotengine"
)

// Violation is a broken promise.
type Violation struct {
	// Promise names what was broken, in a word or two.
	Guarantee string
	Detail    string
}

const (
	// answerSlack is how long after the caller's patience its exchange may end.
	answerSlack = time.Second
	// leaveTime is the time from the notice of a server to its last new request.
	leaveTime = 2500 * time.Millisecond
	// stopSlack is how long after the grace time a host may still be ending.
	stopSlack = 1500 * time.Millisecond
	// logDelay is how long a line may wait in a process that is killed.
	logDelay = 100 * time.Millisecond
	// memoryBound is the budget of a host, from the target in CAPACITY.md.
	memoryBound = 128 << 20
)

// evidence is what callers and servers saw.
type evidence struct {
	exchanges []exchange
	// runs are the runs of each request, with the servers that ran it.
	runs map[string][]slotengine.Run
}

func (w *world) evidence() evidence {
	e := evidence{exchanges: w.ledger.all(), runs: map[string][]slotengine.Run{}}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		for _, r := range s.Runs() {
			e.runs[r.RequestID] = append(e.runs[r.RequestID], r)
		}
	}
	return e
}

// check returns the promises that were broken.
func (w *world) check() []Violation {
	e := w.evidence()
	var found []Violation
	for i := range e.exchanges {
		x := &e.exchanges[i]
		found = append(found, checkRuns(x, e.runs[x.call.ID])...)
		found = append(found, checkAnswer(x)...)
		found = append(found, w.checkEnd(x)...)
	}
	found = append(found, w.checkLeaving(e)...)
	for _, h := range w.hosts {
		for _, p := range h.all() {
			found = append(found, checkProcess(h, p)...)
		}
	}
	return found
}

// promisesNotRun are the statuses that say that a request was not run.
var promisesNotRun = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// checkRuns compares an exchange with the runs of its request.
func checkRuns(x *exchange, runs []slotengine.Run) []Violation {
	var found []Violation
	most := 2
	switch {
	case strings.HasPrefix(x.call.Path, fleetuser.PathUnsafe), strings.HasPrefix(x.call.Path, fleetuser.PathOneAttemptStream):
		most = 1
	}
	if len(runs) > most {
		found = append(found, Violation{"runs at most once", fmt.Sprintf("%s %s ran %d times", x.call.ID, x.call.Path, len(runs))})
	}
	if promisesNotRun[x.answer.Status] && len(runs) > 0 {
		found = append(found, Violation{"not run", fmt.Sprintf("%s was answered %d and ran", x.call.ID, x.answer.Status)})
	}
	if x.answer.Complete && x.answer.Status == http.StatusOK && len(runs) == 0 {
		found = append(found, Violation{"own answer", fmt.Sprintf("%s was answered and never ran", x.call.ID)})
	}
	return found
}

// checkAnswer looks at what a caller got.
func checkAnswer(x *exchange) []Violation {
	a := &x.answer
	if a.Status != http.StatusOK {
		return nil
	}
	if a.ID != x.call.ID {
		return []Violation{{"own answer", fmt.Sprintf("%s got an answer to %q", x.call.ID, a.ID)}}
	}
	if !strings.HasPrefix(x.call.Path, fleetuser.PathResumableStream) && !strings.HasPrefix(x.call.Path, fleetuser.PathOneAttemptStream) {
		if a.Complete && !strings.HasPrefix(a.Body, "plain from ") {
			return []Violation{{"own answer", fmt.Sprintf("%s got %q", x.call.ID, a.Body)}}
		}
		return nil
	}
	events, err := a.EventIDs()
	if err != nil {
		return []Violation{{"whole events", fmt.Sprintf("%s: %v", x.call.ID, err)}}
	}
	for i, n := range events {
		if n != i+1 {
			return []Violation{{"each event once", fmt.Sprintf("%s got event %d at place %d", x.call.ID, n, i+1)}}
		}
	}
	if a.Complete && len(events) != streamEvents {
		return []Violation{{"cut answers look cut", fmt.Sprintf("%s ended after %d of %d events", x.call.ID, len(events), streamEvents)}}
	}
	return nil
}

// checkEnd looks at how an exchange ended on a host that nothing disturbed meanwhile.
func (w *world) checkEnd(x *exchange) []Violation {
	if x.host.disturbed.touch(x.dialled, x.ended.Add(logDelay)) {
		return nil
	}
	var found []Violation
	if took := x.ended.Sub(x.sent); took > x.call.Timeout+answerSlack {
		found = append(found, Violation{"in time", fmt.Sprintf("%s at %s took %s of %s", x.call.ID, x.host.name, took.Round(time.Millisecond), x.call.Timeout)})
	}
	if x.err != nil && !x.explained() {
		found = append(found, Violation{"no unexplained cut", fmt.Sprintf("%s at %s, sent %s: %v", x.call.ID, x.host.name, x.sent.Format("15:04:05.000"), x.err)})
	}
	return found
}

// explained reports whether a cut is the host's answer to a target's failure, or the
// close of a kept connection on which the request was not read.
func (x *exchange) explained() bool {
	for _, p := range x.host.all() {
		for _, line := range p.out.lines(`"` + x.call.ID + `"`) {
			if strings.Contains(line, "answer broken") {
				return true
			}
		}
		if f := p.fate(); !f.asked.IsZero() && x.answer.Status == 0 && x.sent.After(f.asked) && (f.ended.IsZero() || !x.sent.After(f.ended)) {
			return len(p.out.lines(`"`+x.call.ID+`"`)) == 0
		}
	}
	return false
}

// lastLine returns the last line of the host's log about the request.
func (x *exchange) lastLine() string {
	for _, line := range last(x.host.current().out.lines(`"`+x.call.ID+`"`), 1) {
		return "; " + line
	}
	return "; no line in the log"
}

// checkLeaving looks for requests that reach a server long after its notice, from hosts
// that were in touch with the store.
func (w *world) checkLeaving(e evidence) []Violation {
	hosts := map[string]*entryHost{}
	for i := range e.exchanges {
		hosts[e.exchanges[i].call.ID] = e.exchanges[i].host
	}
	var found []Violation
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.mu.Lock()
		from := s.drainingAt
		s.mu.Unlock()
		if from.IsZero() {
			continue
		}
		for _, r := range s.Runs() {
			h := hosts[r.RequestID]
			if h == nil || !r.StartedAt.After(from.Add(leaveTime)) || h.disturbed.touch(from, r.StartedAt) || h.storeTrouble.touch(from, r.StartedAt) || w.storeTrouble.touch(from, r.StartedAt) {
				continue
			}
			found = append(found, Violation{"leaving servers get nothing new", fmt.Sprintf("%s ran at %s %s after its notice", r.RequestID, s.id, r.StartedAt.Sub(from).Round(time.Millisecond))})
		}
	}
	return found
}

// checkProcess looks at the end of a process and at its memory.
func checkProcess(h *entryHost, p *process) []Violation {
	if p.running() {
		if n := p.peakMemory(); n > memoryBound {
			return []Violation{{"memory", fmt.Sprintf("%s held %d MB", h.name, n>>20)}}
		}
		return nil
	}
	f := p.fate()
	switch {
	case f.killed:
	case f.asked.IsZero():
		return []Violation{{"hosts stay up", fmt.Sprintf("%s ended with exit code %d unasked: %v", h.name, f.exitCode, last(p.out.lines(""), 5))}}
	case f.exitCode != 0 && !h.disturbed.touch(f.asked, f.ended):
		return []Violation{{"planned stops", fmt.Sprintf("%s ended with exit code %d: %v", h.name, f.exitCode, last(p.out.lines(""), 5))}}
	case f.ended.Sub(f.asked) > graceTime+stopSlack && !h.disturbed.touch(f.asked, f.ended.Add(-aftermath)):
		return []Violation{{"planned stops", fmt.Sprintf("%s took %s to stop", h.name, f.ended.Sub(f.asked).Round(time.Millisecond))}}
	}
	return nil
}

func last(lines []string, n int) []string { return lines[max(0, len(lines)-n):] }

// checkRecovery looks at what was sent after the given time, when all faults had ended
// and their effects had passed.
func (w *world) checkRecovery(from time.Time) []Violation {
	var found []Violation
	n := 0
	for _, x := range w.ledger.all() {
		if x.sent.Before(from) {
			continue
		}
		n++
		if x.answer.Status != http.StatusOK || !x.answer.Complete {
			found = append(found, Violation{"recovery", fmt.Sprintf("%s %s at %s, sent %s: status %d, %v", x.call.ID, x.call.Path, x.host.name, x.sent.Format("15:04:05.000"), x.answer.Status, x.err) + x.lastLine()})
		}
	}
	if n == 0 {
		found = append(found, Violation{"recovery", "no request was sent"})
	}
	return found
}

// checkConfig asks every host for the route that only the newest configuration has.
func (w *world) checkConfig() []Violation {
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	var found []Violation
	for _, h := range w.hosts {
		status, err := ask(h, fleetuser.VersionPath(version))
		if status != http.StatusOK {
			found = append(found, Violation{"configuration", fmt.Sprintf("%s answers %d, %v for version %d", h.name, status, err, version)})
		}
	}
	return found
}

func ask(h *entryHost, path string) (int, error) {
	c, err := fleetuser.Dial(h.callers(), dialTimeout)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	a, err := c.Do(fleetuser.Request{ID: "probe-" + h.name, Method: http.MethodGet, Path: path + "x", Timeout: time.Second}, callerGrace)
	return a.Status, err
}
