// Package requestlog reconstructs from the logs of one or more hosts what happened to a request
// and why it ended as it did.
package requestlog

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/refusal"
)

// Line is one log line about a request.
type Line struct {
	// Host is the last word before the JSON object on the line; empty for plain JSON lines.
	Host        string
	Time        time.Time
	EventNumber int
	EventName   string
	// Fields are all attributes of the line.
	Fields map[string]any
}

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

// ReadLines returns the lines of a log that have the request's id. Lines that are not log
// lines are skipped.
func ReadLines(r io.Reader, id string) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if l, ok := parse(s.Text()); ok && l.Fields["id"] == id {
			out = append(out, l)
		}
	}
	return out, s.Err()
}

// parse parses one line. It returns false for lines without an event number.
func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Fields: map[string]any{}}
	if err := json.Unmarshal([]byte(text[start:]), &l.Fields); err != nil {
		return Line{}, false
	}
	if before := strings.Fields(text[:start]); len(before) > 0 {
		l.Host = before[len(before)-1]
	}
	number, _ := l.Fields["event"].(float64)
	l.EventNumber = int(number)
	l.EventName, _ = l.Fields["msg"].(string)
	at, _ := l.Fields["time"].(string)
	l.Time, _ = time.Parse(time.RFC3339Nano, at) // a line without a time sorts first
	return l, l.EventNumber > 0
}

// WriteTimeline writes the lines in order of time, followed by the Summary.
func WriteTimeline(w io.Writer, id string, lines []Line) {
	if len(lines) == 0 {
		fmt.Fprintf(w, "%s: no line names this request. It was left out by sampling, or it reached another host.\n", id)
		return
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	for _, l := range lines {
		fmt.Fprintf(w, "%s %s %s%s\n", l.Time.Format("15:04:05.000"), l.Host, l.EventName, l.formatFields())
	}
	fmt.Fprintf(w, "%s: %s\n", id, Summary(lines))
}

// formatFields formats the fields that help to explain the request, in a fixed order.
func (l *Line) formatFields() string {
	var b strings.Builder
	for _, key := range []string{
		"reason", "target", "service", "tier", "organisation", "promptTokens", "config", "tries", "send", "sends",
		"waited", "first", "longestPause", "after", "deadlineIn", "events", "bytes", "silent", "retryAfter", "lastEvent", "detail", "error",
	} {
		v, ok := l.Fields[key]
		if !ok || v == "" {
			continue
		}
		if n, isNumber := v.(float64); isNumber && durationFields[key] {
			v = time.Duration(n).Round(time.Millisecond)
		}
		fmt.Fprintf(&b, " %s=%v", key, v)
	}
	return b.String()
}

// durationFields are the fields that hold nanoseconds.
var durationFields = map[string]bool{"waited": true, "first": true, "longestPause": true, "after": true, "retryAfter": true, "deadlineIn": true, "silent": true}

// Summary returns a sentence that describes how the request ended.
func Summary(lines []Line) string {
	for i := len(lines) - 1; i >= 0; i-- {
		switch l := lines[i]; l.EventNumber {
		case event.RequestRefused.Number:
			reason, _ := l.Fields["reason"].(string)
			detail, _ := l.Fields["detail"].(string)
			return fmt.Sprintf("%s (%s)", DescribeReason(reason), detail)
		case event.ResponseAborted.Number:
			broken := fmt.Sprintf("The response had begun and could not be completed, so the caller's connection was closed (%v).", l.Fields["error"])
			if reason, _ := l.Fields["reason"].(string); reason != "" {
				broken = DescribeReason(reason) + " " + broken
			}
			return broken
		case event.RequestAnswered.Number:
			return "The caller received the complete response."
		}
	}
	return "No line records how it ended: the process was killed, or its last line was left out of the log."
}

// DescribeReason returns a sentence that explains the reason of a refusal.
func DescribeReason(reason string) string {
	if s, ok := reasonTexts[reason]; ok {
		return s
	}
	return "Refused: " + reason + "."
}

var reasonTexts = map[string]string{
	refusal.BadRequest.String():            "The request was malformed and was not run.",
	refusal.BodyTooLarge.String():          "The body exceeded the configured limit; the request was not run.",
	refusal.CallerTimeout.String():         "The caller did not send the whole request in time; it was not run.",
	refusal.NoRule.String():                "The active configuration has no route for it.",
	refusal.UnknownPool.String():           "Its route names a service that the configuration does not have.",
	refusal.QueueFull.String():             "Too many requests of its tier were waiting; it was not run.",
	refusal.Shed.String():                  "It was dropped in favour of requests of a higher tier and was not run.",
	refusal.DeadlineExceeded.String():      "Its deadline could no longer be met; it was not run.",
	refusal.NoTarget.String():              "No target was available; it was not run.",
	refusal.StoreUnavailable.String():      "The store was needed and did not respond; it was not run.",
	refusal.JournalUnreachable.String():    "The journal was needed and could not be reached; it was not run.",
	refusal.InProgress.String():            "An earlier submission of the same id is in progress.",
	refusal.OutcomeUnknown.String():        "It cannot be proven whether an earlier submission ran.",
	refusal.OutcomeFailed.String():         "An earlier submission ran and failed.",
	refusal.TargetRefused.String():         "The target refused it.",
	refusal.TargetUnreachable.String():     "No connection to a target could be made; it was not run.",
	refusal.TargetFailed.String():          "The target failed while it may have been running it.",
	refusal.ResponseTruncated.String():     "The target's connection ended before the response was complete.",
	refusal.ResponseMismatched.String():    "The target's connection carried a response to another request.",
	refusal.TargetTimedOut.String():        "The target sent nothing for the time that its route allows.",
	refusal.DeadlineAfterSend.String():     "Its deadline was reached after it had been sent to a target and before the response was complete.",
	refusal.StoppedAfterSend.String():      "The planned stop of the host ended it after it had been sent to a target and before the response was complete.",
	refusal.CallerDisconnected.String():    "The caller closed its connection.",
	refusal.ShuttingDown.String():          "The host was stopping; it was not run.",
	refusal.Unauthorized.String():          "No organisation has its API key in the active configuration.",
	refusal.NotFound.String():              "No such request is on record.",
	refusal.NotReady.String():              "The host had no configuration yet; it was not run.",
	refusal.QuotaExceeded.String():         "Its organisation had used up its quota across all hosts; it was not run.",
	refusal.Overloaded.String():            "No target could have started it before its caller would have given up; it was not run.",
	refusal.TargetFull.String():            "The targets it was sent to had no free capacity and did not run it.",
	refusal.TargetAddressReused.String():   "Another server has the target's address; it was not run.",
	refusal.InternalError.String():         "The handler of the request panicked; event 208 has the stack.",
	refusal.PromptPartQuarantined.String(): "Its prompt has a part that crashes targets; it was not sent.",
	refusal.RetryBudgetExhausted.String():  "The retry budget of its service was used up; it was not run.",
	refusal.TargetsBackedOff.String():      "All targets of its service were leaving or had asked this host for a back-off; it was not run.",
}
