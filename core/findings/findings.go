// Package findings collects the errors of a YAML file with their line numbers, so that all
// of them are reported at once.
package findings

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Finding is one error in a file.
type Finding struct {
	// Line is 1-based, or 0 if the setting is absent from the file.
	Line int
	// Setting is the path of the setting, such as listen.callers or targets[0].address.
	Setting string
	Message string
}

// Error is the error type that holds every finding of a file.
type Error struct {
	File     string
	Findings []Finding
}

// Error returns a heading followed by one line for each finding.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings: %d findings", len(e.Findings))
	for _, f := range e.Findings {
		fmt.Fprintf(&b, "\n%s:%d: %s: %s", e.File, f.Line, f.Setting, f.Message)
	}
	return b.String()
}

// Checker validates settings and collects the findings. It is not safe for concurrent use.
type Checker struct {
	// Text is the content of the file, in which the line of each finding is looked up.
	Text     []byte
	Findings []Finding
}

// Err returns an *Error with the findings, or nil if there are none. file is the name that
// the error reports.
func (c *Checker) Err(file string) error {
	if len(c.Findings) == 0 {
		return nil
	}
	return &Error{File: file, Findings: c.Findings}
}

// Add records a finding about a setting, given by its path, such as listen.callers or
// targets[0].address.
func (c *Checker) Add(setting, format string, args ...any) {
	c.Findings = append(c.Findings, Finding{Line: c.line(setting), Setting: setting, Message: fmt.Sprintf(format, args...)})
}

// Require records a finding if ok is false.
func (c *Checker) Require(ok bool, setting, format string, args ...any) {
	if !ok {
		c.Add(setting, format, args...)
	}
}

// RequireAddrPort records a finding unless the value has the form IP:port.
func (c *Checker) RequireAddrPort(setting, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Add(setting, "%q is not IP:port", value)
	}
}

// RequireNonEmpty records a finding if the value is empty.
func (c *Checker) RequireNonEmpty(setting, value string) {
	c.Require(value != "", setting, "must not be empty")
}

// RequirePositive records a finding unless the duration is above zero.
func (c *Checker) RequirePositive(setting string, d time.Duration) {
	c.Require(d > 0, setting, "%s is not a positive duration", d)
}

// line returns the 1-based line of a setting, or 0 if the file does not have it.
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
