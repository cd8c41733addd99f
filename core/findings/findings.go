// Package findings collects the faults of a YAML file with their place, so that all
// of them are reported together.
package findings

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Finding is one fault of a file.
type Finding struct {
	// Line is 1-based, or 0 if the setting is absent from the file.
	Line    int
	Setting string
	Message string
}

// Error reports every finding of a file.
type Error struct {
	File     string
	Findings []Finding
}

// Error lists the findings, one a line.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings: %d findings", len(e.Findings))
	for _, f := range e.Findings {
		fmt.Fprintf(&b, "\n%s:%d: %s: %s", e.File, f.Line, f.Setting, f.Message)
	}
	return b.String()
}

// Checker collects findings and looks up their lines.
type Checker struct {
	// Text is the file's text.
	Text     []byte
	Findings []Finding
}

// Err returns an *Error with the findings, or nil if there are none.
func (c *Checker) Err(file string) error {
	if len(c.Findings) == 0 {
		return nil
	}
	return &Error{File: file, Findings: c.Findings}
}

// Add records a finding about a setting such as listen.callers or
// targets[0].address.
func (c *Checker) Add(setting, format string, args ...any) {
	c.Findings = append(c.Findings, Finding{Line: c.line(setting), Setting: setting, Message: fmt.Sprintf(format, args...)})
}

// Want records a finding unless ok is set.
func (c *Checker) Require(ok bool, setting, format string, args ...any) {
	if !ok {
		c.Add(setting, format, args...)
	}
}

// Address requires IP:port.
func (c *Checker) RequireAddrPort(setting, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Add(setting, "%q is not IP:port", value)
	}
}

// Required requires a value.
func (c *Checker) RequireNonEmpty(setting, value string) {
	c.Require(value != "", setting, "must not be empty")
}

// Positive requires a duration above zero.
func (c *Checker) RequirePositive(setting string, d time.Duration) {
	c.Require(d > 0, setting, "%s is not a positive duration", d)
}

func (c *Checker) line(setting string) int {
	path, err := yaml.PathString("$." + setting)
	if err != nil {
		return 0
	}
	node, err := path.ReadNode(bytes.NewReader(c.Text))
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
