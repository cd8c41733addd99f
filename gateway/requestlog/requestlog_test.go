package requestlog_test

import (
	"strings"
	"testing"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/gateway/requestlog"
)

const log = `  12.100 front-a-1 {"time":"2026-01-02T03:04:05.300Z","level":"INFO","msg":"request refused","event":201,"id":"r1","reason":"answer-cut","detail":"target i-1: EOF","after":300000000}
not a log line
  12.000 front-a-1 {"time":"2026-01-02T03:04:05.100Z","level":"INFO","msg":"request sent","event":206,"id":"r1","target":"i-1","waited":12000000}
{"time":"2026-01-02T03:04:05.200Z","level":"INFO","msg":"target failure","event":306,"id":"r2","target":"i-9"}
{"broken`

// Guards against lines of other requests in a timeline, lines out of order, and a summary
// without the cause.
func TestWriteTimeline(t *testing.T) {
	lines, err := requestlog.ReadLines(strings.NewReader(log), "r1")
	if err != nil || len(lines) != 2 {
		t.Fatalf("%d lines, %v", len(lines), err)
	}
	var out strings.Builder
	requestlog.WriteTimeline(&out, "r1", lines)
	got := out.String()
	if strings.Index(got, "request sent") > strings.Index(got, "request refused") || !strings.Contains(got, "waited=12ms") ||
		!strings.Contains(got, "r1: "+requestlog.DescribeReason("answer-cut")+" (target i-1: EOF)") || strings.Contains(got, "i-9") {
		t.Errorf("timeline:\n%s", got)
	}
}

// Guards against a refusal reason without a sentence that explains it.
func TestEveryReasonHasASentence(t *testing.T) {
	for _, r := range refusal.Reasons() {
		if strings.HasPrefix(requestlog.DescribeReason(r.String()), "Refused: ") {
			t.Errorf("%s has no sentence", r)
		}
	}
}

// Guards against reporting a request as served because the log has no line of it.
func TestUnknownRequest(t *testing.T) {
	var out strings.Builder
	requestlog.WriteTimeline(&out, "r3", nil)
	if !strings.Contains(out.String(), "no line names this request") {
		t.Error(out.String())
	}
}

// Guards against a panic on truncated logs and logs of other programs.
func FuzzRead(f *testing.F) {
	f.Add(log)
	f.Add(`{"event":"x","id":"r1"}`)
	f.Fuzz(func(t *testing.T, text string) {
		lines, _ := requestlog.ReadLines(strings.NewReader(text), "r1")
		requestlog.WriteTimeline(&strings.Builder{}, "r1", lines)
	})
}

const causesLog = `1.0 a {"time":"2026-01-02T03:04:05.100Z","msg":"request refused","event":201,"id":"refused","reason":"quota-exceeded"}
1.0 a {"time":"2026-01-02T03:04:05.100Z","msg":"target error forwarded","event":207,"id":"failed","status":500}
1.0 a {"time":"2026-01-02T03:04:05.100Z","msg":"target failure","event":306,"id":"served"}
1.1 a {"time":"2026-01-02T03:04:05.200Z","msg":"request answered","event":205,"id":"served"}
1.1 a {"time":"2026-01-02T03:04:05.200Z","msg":"request sent","event":206,"id":"sampled"}
1.1 a {"time":"2026-01-02T03:04:05.200Z","msg":"answer broken","event":204,"id":"begun","reason":"deadline-after-send","error":"i/o timeout"}
1.1 b {"time":"2026-01-02T03:04:05.200Z","msg":"target failure","event":306,"id":"killed"}
2.1 b {"time":"2026-01-02T03:04:06.200Z","msg":"started","event":101}
1.1 a {"time":"2026-01-02T03:04:05.200Z","msg":"target failure","event":306,"id":"lost"}
`

// Guards against counting a request without a known cause as explained, against counting served
// requests, and against one cause for all responses that broke off.
func TestCauses(t *testing.T) {
	log := requestlog.NewLog()
	if err := log.Add(strings.NewReader(causesLog)); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if unexplained, all := log.WriteCauses(&out, nil); unexplained != 1 || all != 5 {
		t.Errorf("%d of %d unexplained, want 1 of 5:\n%s", unexplained, all, out.String())
	}
	if !strings.Contains(out.String(), "no cause: lost\n") || !strings.Contains(out.String(), "deadline-after-send") {
		t.Errorf("causes:\n%s", out.String())
	}
	if unexplained, all := log.WriteCauses(&out, []string{"refused", "unseen"}); unexplained != 1 || all != 2 {
		t.Errorf("%d of %d given requests unexplained, want 1 of 2", unexplained, all)
	}
}
