package requestlog

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"sardinefront.dev/core/event"
)

// Log indexes log lines of one or more hosts by request id.
type Log struct {
	requests map[string][]Line
	// starts are the times at which processes started, by host.
	starts map[string][]time.Time
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{requests: map[string][]Line{}, starts: map[string][]time.Time{}}
}

// Add reads a log. Lines that are not log lines are skipped.
func (l *Log) Add(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		line, ok := parse(s.Text())
		if !ok {
			continue
		}
		if line.EventNumber == event.Started.Number {
			l.starts[line.Host] = append(l.starts[line.Host], line.Time)
		}
		if id, _ := line.Fields["id"].(string); id != "" {
			l.requests[id] = append(l.requests[id], line)
		}
	}
	return s.Err()
}

// Causes of requests that were not refused. Refused requests have the reason of the refusal as
// their cause, and broken responses have theirs added to it.
const (
	causeAnswered = "answered"
	causeFailure  = "failure of the target, passed on"
	causeBroken   = "answer broken off"
	causeStopped  = "the host's process ended"
	causeUnknown  = "no line names the cause"
	causeUnseen   = "reached no host, or its lines were left out"
)

// cause returns how a request ended, and whether the log states the cause. A request whose
// host started again after its last line counts as ended by the process.
func (l *Log) cause(id string) (string, bool) {
	lines := l.requests[id]
	if len(lines) == 0 {
		return causeUnseen, false
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	for _, line := range slices.Backward(lines) {
		switch line.EventNumber {
		case event.RequestRefused.Number:
			reason, _ := line.Fields["reason"].(string)
			return reason, reason != ""
		case event.ResponseAborted.Number:
			if reason, _ := line.Fields["reason"].(string); reason != "" {
				return causeBroken + ": " + reason, true
			}
			return causeBroken, line.Fields["error"] != nil
		case event.TargetErrorForwarded.Number:
			return causeFailure, line.Fields["status"] != nil
		case event.RequestAnswered.Number:
			return causeAnswered, true
		}
	}
	last := lines[len(lines)-1]
	for _, at := range l.starts[last.Host] {
		if at.After(last.Time) {
			return causeStopped, true
		}
	}
	return causeUnknown, false
}

// unserved returns the ids of the requests that got no complete response. Requests that have only
// "request sent" lines are skipped, because sampling may have dropped their final line.
func (l *Log) unserved() []string {
	var out []string
	for id, lines := range l.requests {
		if cause, _ := l.cause(id); cause == causeAnswered {
			continue
		}
		if slices.ContainsFunc(lines, func(line Line) bool { return line.EventNumber != event.RequestSent.Number }) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// WriteCauses writes a table of causes with the number of requests that ended by each,
// followed by the ids of the requests without a known cause. It covers the given ids, or all
// unserved requests if there are none, and returns how many are unexplained and how many
// were counted.
func (l *Log) WriteCauses(w io.Writer, ids []string) (unexplained, all int) {
	if len(ids) == 0 {
		ids = l.unserved()
	}
	counts := map[string]int{}
	var missing []string
	for _, id := range ids {
		cause, known := l.cause(id)
		counts[cause]++
		if !known {
			missing = append(missing, id)
		}
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "cause\trequests\n")
	for _, cause := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(table, "%s\t%d\n", cause, counts[cause])
	}
	_ = table.Flush() // the caller's writer reports its own errors
	for _, id := range missing {
		fmt.Fprintf(w, "no cause: %s\n", id)
	}
	return len(missing), len(ids)
}
