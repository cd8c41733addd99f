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
	responseSlack = time.Second
	// leaveTime is the time from the notice of a server to its last new request.
	leavingGrace = 2500 * time.Millisecond
	// stopSlack is how long after the grace time a host may still be ending.
	stopSlack = 1500 * time.Millisecond
	// logDelay is how long a line may wait in a process that is killed.
	maxLogDelay = 100 * time.Millisecond
	// memoryBound is the budget of a host, from the target in CAPACITY.md.
	maxHostMemoryBytes = 128 << 20
)

// evidence is what callers and servers saw.
type observations struct {
	exchanges []exchange
	// runs are the runs of each request, with the servers that ran it.
	runs map[string][]slotengine.Run
}

func (w *world) observe() observations {
	e := observations{exchanges: w.exchanges.snapshot(), runs: map[string][]slotengine.Run{}}
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
func (w *world) checkGuarantees() []Violation {
	e := w.observe()
	var found []Violation
	for i := range e.exchanges {
		x := &e.exchanges[i]
		found = append(found, checkRuns(x, e.runs[x.request.ID])...)
		found = append(found, checkResponse(x)...)
		found = append(found, w.checkCompletion(x)...)
	}
	found = append(found, w.checkLeaving(e)...)
	for _, h := range w.hosts {
		for _, p := range h.allProcesses() {
			found = append(found, checkProcess(h, p)...)
		}
	}
	return found
}

// promisesNotRun are the statuses that say that a request was not run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// checkRuns compares an exchange with the runs of its request.
func checkRuns(x *exchange, runs []slotengine.Run) []Violation {
	var found []Violation
	maxRuns := 2
	switch {
	case strings.HasPrefix(x.request.Path, fleetuser.PathUnsafe), strings.HasPrefix(x.request.Path, fleetuser.PathOneAttemptStream):
		maxRuns = 1
	}
	if len(runs) > maxRuns {
		found = append(found, Violation{"runs at most once", fmt.Sprintf("%s %s ran %d times", x.request.ID, x.request.Path, len(runs))})
	}
	if notRunStatuses[x.response.Status] && len(runs) > 0 {
		found = append(found, Violation{"not run", fmt.Sprintf("%s was answered %d and ran", x.request.ID, x.response.Status)})
	}
	if x.response.Complete && x.response.Status == http.StatusOK && len(runs) == 0 {
		found = append(found, Violation{"own answer", fmt.Sprintf("%s was answered and never ran", x.request.ID)})
	}
	return found
}

// checkAnswer looks at what a caller got.
func checkResponse(x *exchange) []Violation {
	a := &x.response
	if a.Status != http.StatusOK {
		return nil
	}
	if a.ID != x.request.ID {
		return []Violation{{"own answer", fmt.Sprintf("%s got an answer to %q", x.request.ID, a.ID)}}
	}
	if !strings.HasPrefix(x.request.Path, fleetuser.PathResumableStream) && !strings.HasPrefix(x.request.Path, fleetuser.PathOneAttemptStream) {
		if a.Complete && !strings.HasPrefix(a.Body, "plain from ") {
			return []Violation{{"own answer", fmt.Sprintf("%s got %q", x.request.ID, a.Body)}}
		}
		return nil
	}
	events, err := a.EventIDs()
	if err != nil {
		return []Violation{{"whole events", fmt.Sprintf("%s: %v", x.request.ID, err)}}
	}
	for i, n := range events {
		if n != i+1 {
			return []Violation{{"each event once", fmt.Sprintf("%s got event %d at place %d", x.request.ID, n, i+1)}}
		}
	}
	if a.Complete && len(events) != streamEvents {
		return []Violation{{"cut answers look cut", fmt.Sprintf("%s ended after %d of %d events", x.request.ID, len(events), streamEvents)}}
	}
	return nil
}

// checkEnd looks at how an exchange ended on a host that nothing disturbed meanwhile.
func (w *world) checkCompletion(x *exchange) []Violation {
	if x.host.disturbances.overlaps(x.dialedAt, x.endedAt.Add(maxLogDelay)) {
		return nil
	}
	var found []Violation
	if took := x.endedAt.Sub(x.sentAt); took > x.request.Timeout+responseSlack {
		found = append(found, Violation{"in time", fmt.Sprintf("%s at %s took %s of %s", x.request.ID, x.host.name, took.Round(time.Millisecond), x.request.Timeout)})
	}
	if x.err != nil && !x.cutExplained() {
		found = append(found, Violation{"no unexplained cut", fmt.Sprintf("%s at %s, sent %s: %v", x.request.ID, x.host.name, x.sentAt.Format("15:04:05.000"), x.err)})
	}
	return found
}

// explained reports whether a cut is the host's answer to a target's failure, or the
// close of a kept connection on which the request was not read.
func (x *exchange) cutExplained() bool {
	for _, p := range x.host.allProcesses() {
		for _, line := range p.output.lines(`"` + x.request.ID + `"`) {
			if strings.Contains(line, "answer broken") {
				return true
			}
		}
		if f := p.exitState(); !f.stopRequestedAt.IsZero() && x.response.Status == 0 && x.sentAt.After(f.stopRequestedAt) && (f.endedAt.IsZero() || !x.sentAt.After(f.endedAt)) {
			return len(p.output.lines(`"`+x.request.ID+`"`)) == 0
		}
	}
	return false
}

// lastLine returns the last line of the host's log about the request.
func (x *exchange) lastLogLine() string {
	for _, line := range lastN(x.host.currentProcess().output.lines(`"`+x.request.ID+`"`), 1) {
		return "; " + line
	}
	return "; no line in the log"
}

// checkLeaving looks for requests that reach a server long after its notice, from hosts
// that were in touch with the store.
func (w *world) checkLeaving(e observations) []Violation {
	hosts := map[string]*entryHost{}
	for i := range e.exchanges {
		hosts[e.exchanges[i].request.ID] = e.exchanges[i].host
	}
	var found []Violation
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.mu.Lock()
		noticeAt := s.drainingAt
		s.mu.Unlock()
		if noticeAt.IsZero() {
			continue
		}
		for _, r := range s.Runs() {
			h := hosts[r.RequestID]
			if h == nil || !r.StartedAt.After(noticeAt.Add(leavingGrace)) || h.disturbances.overlaps(noticeAt, r.StartedAt) || h.storeDisturbances.overlaps(noticeAt, r.StartedAt) || w.storeDisturbances.overlaps(noticeAt, r.StartedAt) {
				continue
			}
			found = append(found, Violation{"leaving servers get nothing new", fmt.Sprintf("%s ran at %s %s after its notice", r.RequestID, s.id, r.StartedAt.Sub(noticeAt).Round(time.Millisecond))})
		}
	}
	return found
}

// checkProcess looks at the end of a process and at its memory.
func checkProcess(h *entryHost, p *process) []Violation {
	if p.running() {
		if n := p.peakMemory(); n > maxHostMemoryBytes {
			return []Violation{{"memory", fmt.Sprintf("%s held %d MB", h.name, n>>20)}}
		}
		return nil
	}
	f := p.exitState()
	switch {
	case f.killed:
	case f.stopRequestedAt.IsZero():
		return []Violation{{"hosts stay up", fmt.Sprintf("%s ended with exit code %d unasked: %v", h.name, f.exitCode, lastN(p.output.lines(""), 5))}}
	case f.exitCode != 0 && !h.disturbances.overlaps(f.stopRequestedAt, f.endedAt):
		return []Violation{{"planned stops", fmt.Sprintf("%s ended with exit code %d: %v", h.name, f.exitCode, lastN(p.output.lines(""), 5))}}
	case f.endedAt.Sub(f.stopRequestedAt) > gracePeriod+stopSlack && !h.disturbances.overlaps(f.stopRequestedAt, f.endedAt.Add(-effectDelay)):
		return []Violation{{"planned stops", fmt.Sprintf("%s took %s to stop", h.name, f.endedAt.Sub(f.stopRequestedAt).Round(time.Millisecond))}}
	}
	return nil
}

func lastN(lines []string, n int) []string { return lines[max(0, len(lines)-n):] }

// checkRecovery looks at what was sent after the given time, when all faults had ended
// and their effects had passed.
func (w *world) checkRecovery(from time.Time) []Violation {
	var found []Violation
	n := 0
	for _, x := range w.exchanges.snapshot() {
		if x.sentAt.Before(from) {
			continue
		}
		n++
		if x.response.Status != http.StatusOK || !x.response.Complete {
			found = append(found, Violation{"recovery", fmt.Sprintf("%s %s at %s, sent %s: status %d, %v", x.request.ID, x.request.Path, x.host.name, x.sentAt.Format("15:04:05.000"), x.response.Status, x.err) + x.lastLogLine()})
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
	version := w.configVersion
	w.mu.Unlock()
	var found []Violation
	for _, h := range w.hosts {
		status, err := probe(h, fleetuser.VersionPath(version))
		if status != http.StatusOK {
			found = append(found, Violation{"configuration", fmt.Sprintf("%s answers %d, %v for version %d", h.name, status, err, version)})
		}
	}
	return found
}

func probe(h *entryHost, path string) (int, error) {
	c, err := fleetuser.Dial(h.callerAddress(), dialTimeout)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	a, err := c.Do(fleetuser.Request{ID: "probe-" + h.name, Method: http.MethodGet, Path: path + "x", Timeout: time.Second}, callerGrace)
	return a.Status, err
}
