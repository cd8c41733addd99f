package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Finding is one fault of a settings file.
type Finding struct {
	// Line is 1-based, or 0 if the setting is absent from the file.
	Line    int
	Setting string
	Message string
}

// FindingsError reports every finding of a file.
type FindingsError struct {
	File     string
	Findings []Finding
}

// Error lists the findings, one a line.
func (e *FindingsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings: %d findings", len(e.Findings))
	for _, f := range e.Findings {
		fmt.Fprintf(&b, "\n%s:%d: %s: %s", e.File, f.Line, f.Setting, f.Message)
	}
	return b.String()
}

// checker collects findings and looks up their lines.
type checker struct {
	text     []byte
	findings []Finding
}

func (c *checker) add(setting, format string, args ...any) {
	c.findings = append(c.findings, Finding{Line: c.line(setting), Setting: setting, Message: fmt.Sprintf(format, args...)})
}

// line returns the line of a setting such as listen.callers or
// targets[0].address.
func (c *checker) line(setting string) int {
	path, err := yaml.PathString("$." + setting)
	if err != nil {
		return 0
	}
	node, err := path.ReadNode(bytes.NewReader(c.text))
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

func (c *checker) address(setting, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(setting, "%q is not IP:port", value)
	}
}

func (c *checker) required(setting, value string) {
	if value == "" {
		c.add(setting, "must not be empty")
	}
}

func (c *checker) positive(setting string, d time.Duration) {
	if d <= 0 {
		c.add(setting, "%s is not a positive duration", d)
	}
}

func (s *Settings) check(text []byte) []Finding {
	c := &checker{text: text}
	c.required("host.name", s.Host.Name)
	c.required("host.zone", s.Host.Zone)
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.operators", s.Listen.Operators)
	s.checkPeers(c)
	s.checkPlatform(c)
	s.checkLimits(c)
	s.checkTargets(c)
	return c.findings
}

func (s *Settings) checkPeers(c *checker) {
	if s.Listen.Peers == "" {
		return
	}
	c.address("listen.peers", s.Listen.Peers)
	c.required("keys.authority", s.Keys.Authority)
	c.required("keys.certificate", s.Keys.Certificate)
	c.required("keys.key", s.Keys.Key)
	if s.Platform.Address == "" {
		c.add("platform.address", "a host with peers needs the platform's store")
	}
}

func (s *Settings) checkPlatform(c *checker) {
	if s.Platform.Address != "" {
		c.address("platform.address", s.Platform.Address)
	}
	if s.Platform.ReadsPerSecond <= 0 {
		c.add("platform.reads_per_second", "must be above 0")
	}
	if s.Platform.WritesPerSecond <= 0 {
		c.add("platform.writes_per_second", "must be above 0")
	}
	c.positive("platform.host_list_every", s.Platform.HostListEvery)
	if s.Journal.Partitions < 1 {
		c.add("journal.partitions", "%d is below 1", s.Journal.Partitions)
	}
	c.positive("journal.retention", s.Journal.Retention)
	c.positive("journal.lease", s.Journal.Lease)
}

func (s *Settings) checkLimits(c *checker) {
	if s.Limits.BodyBytes < 1 {
		c.add("limits.body_bytes", "%d is below 1", s.Limits.BodyBytes)
	}
	c.positive("limits.read_timeout", s.Limits.ReadTimeout)
	c.positive("limits.idle_timeout", s.Limits.IdleTimeout)
	c.positive("limits.drain_timeout", s.Limits.DrainTimeout)
	c.positive("limits.dial_timeout", s.Limits.DialTimeout)
	c.positive("limits.first_byte_timeout", s.Limits.FirstByte)
}

func (s *Settings) checkTargets(c *checker) {
	seen := make(map[string]bool)
	for i, t := range s.Targets {
		at := fmt.Sprintf("targets[%d]", i)
		c.required(at+".name", t.Name)
		c.required(at+".pool", t.Pool)
		c.address(at+".address", t.Address)
		if seen[t.Name] {
			c.add(at+".name", "%q is used twice", t.Name)
		}
		seen[t.Name] = true
	}
}
