package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"sardinefront.dev/standin/fleetuser"
	"sardinefront.dev/standin/slotengine"
)

// Violation is a breach of a guarantee of the program.
type Violation struct {
	// Guarantee is a short name of the guarantee.
	Guarantee string
	Detail    string
}

const (
	// responseSlack is how long after its timeout a request may end.
	responseSlack = time.Second
	// drainingGrace is how long a server may receive new requests after it was listed as
	// draining.
	drainingGrace = 2500 * time.Millisecond
	// stopSlack is how long after the grace period a host may take to exit.
	stopSlack = 1500 * time.Millisecond
	// maxLogDelay is how long a process may buffer a log line, which is lost if the process
	// is killed.
	maxLogDelay = 100 * time.Millisecond
	// maxHostMemoryBytes is the memory budget of a host, from the target in CAPACITY.md.
	maxHostMemoryBytes = 128 << 20
)

// observations holds the exchanges of all callers and the runs of all servers.
type observations struct {
	exchanges []exchange
	// runs holds the runs at all servers by request id.
	runs map[string][]slotengine.Run
}

func (w *world) observe() observations {
	seen := observations{exchanges: w.exchanges.snapshot(), runs: map[string][]slotengine.Run{}}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		for _, r := range s.Runs() {
			seen.runs[r.RequestID] = append(seen.runs[r.RequestID], r)
		}
	}
	return seen
}

// checkGuarantees returns the violations in all exchanges, runs and processes.
func (w *world) checkGuarantees() []Violation {
	seen := w.observe()
	var found []Violation
	for i := range seen.exchanges {
		x := &seen.exchanges[i]
		found = append(found, checkRuns(x, seen.runs[x.request.ID])...)
		found = append(found, checkResponse(x)...)
		found = append(found, w.checkCompletion(x)...)
	}
	found = append(found, w.checkDraining(seen)...)
	found = append(found, w.checkNotices(seen)...)
	for _, h := range w.hosts {
		for _, p := range h.allProcesses() {
			found = append(found, checkProcess(h, p)...)
		}
	}
	return found
}

// notRunStatuses are the statuses that guarantee that a request was not run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// checkRuns checks the number of runs of a request against its kind and its response.
// Requests that may be retried run at most twice, all others at most once.
func checkRuns(x *exchange, runs []slotengine.Run) []Violation {
	var found []Violation
	maxRuns := 2
	switch {
	case strings.HasPrefix(x.request.Path, fleetuser.PathUnsafe), strings.HasPrefix(x.request.Path, fleetuser.PathOneAttemptStream):
		maxRuns = 1
	}
	if len(runs) > maxRuns {
		found = append(found, Violation{"run limit", fmt.Sprintf("%s %s ran %d times", x.request.ID, x.request.Path, len(runs))})
	}
	if notRunStatuses[x.response.Status] && len(runs) > 0 {
		found = append(found, Violation{"not run", fmt.Sprintf("%s was refused with status %d but ran", x.request.ID, x.response.Status)})
	}
	if x.response.Complete && x.response.Status == http.StatusOK && len(runs) == 0 {
		found = append(found, Violation{"own response", fmt.Sprintf("%s was answered but never ran", x.request.ID)})
	}
	return found
}

// checkResponse checks that a successful response belongs to its request, that it holds
// each event once and in order, and that a truncated stream does not appear complete.
func checkResponse(x *exchange) []Violation {
	resp := &x.response
	if resp.Status != http.StatusOK {
		return nil
	}
	if resp.ID != x.request.ID {
		return []Violation{{"own response", fmt.Sprintf("%s got the response of request %q", x.request.ID, resp.ID)}}
	}
	if !strings.HasPrefix(x.request.Path, fleetuser.PathResumableStream) && !strings.HasPrefix(x.request.Path, fleetuser.PathOneAttemptStream) {
		if resp.Complete && !strings.HasPrefix(resp.Body, "plain from ") {
			return []Violation{{"own response", fmt.Sprintf("%s got the unexpected body %q", x.request.ID, resp.Body)}}
		}
		return nil
	}
	events, err := resp.EventIDs()
	if err != nil {
		return []Violation{{"complete events", fmt.Sprintf("%s: %v", x.request.ID, err)}}
	}
	for i, n := range events {
		if n != i+1 {
			return []Violation{{"each event once", fmt.Sprintf("%s got event %d at position %d", x.request.ID, n, i+1)}}
		}
	}
	if resp.Complete && len(events) != streamEvents {
		return []Violation{{"truncation is detectable", fmt.Sprintf("%s ended as complete after %d of %d events", x.request.ID, len(events), streamEvents)}}
	}
	return nil
}

// checkCompletion checks that an exchange ended in time and was not cut off without a
// valid cause. An exchange that overlaps a disturbance of its host is not checked.
func (w *world) checkCompletion(x *exchange) []Violation {
	if x.host.disturbances.overlaps(x.dialedAt, x.endedAt.Add(maxLogDelay)) {
		return nil
	}
	var found []Violation
	if took := x.endedAt.Sub(x.sentAt); took > x.request.Timeout+responseSlack {
		found = append(found, Violation{"in time", fmt.Sprintf("%s at %s took %s with a timeout of %s", x.request.ID, x.host.name, took.Round(time.Millisecond), x.request.Timeout)})
	}
	if x.err != nil && !x.cutExplained() {
		found = append(found, Violation{"no unexplained cut", fmt.Sprintf("%s at %s, sent %s: %v", x.request.ID, x.host.name, x.sentAt.Format("15:04:05.000"), x.err)})
	}
	return found
}

// cutExplained reports whether the host cut the response because a target failed, or
// closed a reused connection during a planned stop before it read the request.
func (x *exchange) cutExplained() bool {
	for _, p := range x.host.allProcesses() {
		for _, line := range p.output.lines(`"` + x.request.ID + `"`) {
			if strings.Contains(line, "answer broken") {
				return true
			}
		}
		if state := p.exitState(); !state.stopRequestedAt.IsZero() && x.response.Status == 0 && x.sentAt.After(state.stopRequestedAt) && (state.endedAt.IsZero() || !x.sentAt.After(state.endedAt)) {
			return len(p.output.lines(`"`+x.request.ID+`"`)) == 0
		}
	}
	return false
}

// lastLogLine returns the last line about the request in the host's log.
func (x *exchange) lastLogLine() string {
	for _, line := range lastN(x.host.currentProcess().output.lines(`"`+x.request.ID+`"`), 1) {
		return "; " + line
	}
	return "; no line in the log of the host"
}

// checkDraining checks that no server starts a request later than drainingGrace after it was
// listed as draining, unless the request came from a host whose connection to the store
// was disturbed meanwhile.
func (w *world) checkDraining(seen observations) []Violation {
	hosts := map[string]*entryHost{}
	for i := range seen.exchanges {
		hosts[seen.exchanges[i].request.ID] = seen.exchanges[i].host
	}
	var found []Violation
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.mu.Lock()
		drainingAt := s.drainingAt
		s.mu.Unlock()
		if drainingAt.IsZero() {
			continue
		}
		for _, r := range s.Runs() {
			h := hosts[r.RequestID]
			if h == nil || !r.StartedAt.After(drainingAt.Add(drainingGrace)) || h.disturbances.overlaps(drainingAt, r.StartedAt) || h.storeDisturbances.overlaps(drainingAt, r.StartedAt) || w.storeDisturbances.overlaps(drainingAt, r.StartedAt) {
				continue
			}
			found = append(found, Violation{"no new requests at draining servers", fmt.Sprintf("%s ran at %s %s after the server was listed as draining", r.RequestID, s.id, r.StartedAt.Sub(drainingAt).Round(time.Millisecond))})
		}
	}
	return found
}

// checkProcess checks the peak memory of a running process, or how a process exited.
// Processes that were killed are not checked.
func checkProcess(h *entryHost, p *process) []Violation {
	if p.running() {
		if n := p.peakMemory(); n > maxHostMemoryBytes {
			return []Violation{{"memory", fmt.Sprintf("%s used %d MB at its peak", h.name, n>>20)}}
		}
		return nil
	}
	state := p.exitState()
	switch {
	case state.killed:
	case state.stopRequestedAt.IsZero():
		return []Violation{{"hosts stay up", fmt.Sprintf("%s exited with code %d without a stop request: %v", h.name, state.exitCode, lastN(p.output.lines(""), 5))}}
	case state.exitCode != 0 && !h.disturbances.overlaps(state.stopRequestedAt, state.endedAt):
		return []Violation{{"planned stops", fmt.Sprintf("%s exited with code %d: %v", h.name, state.exitCode, lastN(p.output.lines(""), 5))}}
	case state.endedAt.Sub(state.stopRequestedAt) > gracePeriod+stopSlack && !h.disturbances.overlaps(state.stopRequestedAt, state.endedAt.Add(-effectDelay)):
		return []Violation{{"planned stops", fmt.Sprintf("%s took %s to stop", h.name, state.endedAt.Sub(state.stopRequestedAt).Round(time.Millisecond))}}
	}
	return nil
}

// lastN returns the last n lines.
func lastN(lines []string, n int) []string { return lines[max(0, len(lines)-n):] }

// checkRecovery checks that every request that was sent from the given time on was
// answered. All faults have ended by then and their effects have passed.
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
		found = append(found, Violation{"recovery", "no request was sent after the faults had ended"})
	}
	return found
}

// checkConfig sends every host a request for the route that only the latest configuration
// has.
func (w *world) checkConfig() []Violation {
	w.mu.Lock()
	version := w.configVersion
	w.mu.Unlock()
	var found []Violation
	for _, h := range w.hosts {
		status, err := probe(h, fleetuser.VersionPath(version))
		if status != http.StatusOK {
			found = append(found, Violation{"configuration", fmt.Sprintf("%s responds with status %d, error %v for version %d", h.name, status, err, version)})
		}
	}
	return found
}

// probe sends one request to a host, past the relay, and returns the response status.
func probe(h *entryHost, path string) (int, error) {
	c, err := fleetuser.Dial(h.callerAddress(), dialTimeout)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	resp, err := c.Do(fleetuser.Request{ID: "probe-" + h.name, Method: http.MethodGet, Path: path + "x", Timeout: time.Second}, callerGrace)
	return resp.Status, err
}
