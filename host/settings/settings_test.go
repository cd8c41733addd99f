package settings

import (
	"errors"
	"strings"
	"testing"

	"sardinefront.dev/core/findings"
)

// Guards against a validation that stops at the first invalid value, and against findings
// without line and setting, which an operator needs to fix them.
func TestParseReportsEveryFinding(t *testing.T) {
	text := `host:
  name: ""
listen:
  callers: nowhere
limits:
  body_bytes: 0
  drain_timeout: -1s
targets:
  - name: a
    address: 127.0.0.1:1
    pool: p
  - name: a
    address: 127.0.0.1:x
    pool: p
`
	_, err := Parse("s.yaml", []byte(text))
	var found *findings.Error
	if !errors.As(err, &found) {
		t.Fatalf("got error %v, want *findings.Error", err)
	}
	want := []string{
		"s.yaml:2: host.name", "s.yaml:4: listen.callers", "s.yaml:6: limits.body_bytes",
		"s.yaml:7: limits.drain_timeout", "s.yaml:13: targets[1].address", "s.yaml:12: targets[1].name",
	}
	for _, w := range want {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("no finding %q in:\n%v", w, err)
		}
	}
	if len(found.Findings) != len(want) {
		t.Errorf("got %d findings, want %d", len(found.Findings), len(want))
	}
}

// Guards against a misspelt setting being ignored silently.
func TestParseRejectsUnknownSetting(t *testing.T) {
	if _, err := Parse("s.yaml", []byte("hots:\n  name: a\n")); err == nil {
		t.Fatal("unknown setting accepted")
	}
}
