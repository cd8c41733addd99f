package settings

import (
	"fmt"

	"sardinefront.dev/core/findings"
)

// check collects a finding for each invalid value.
func (s *Settings) check(text []byte) *findings.Checker {
	c := &findings.Checker{Text: text}
	c.RequireNonEmpty("host.name", s.Host.Name)
	c.RequireNonEmpty("host.zone", s.Host.Zone)
	c.RequireAddrPort("listen.callers", s.Listen.Callers)
	c.RequireAddrPort("listen.operators", s.Listen.Operators)
	s.checkPeers(c)
	s.checkPlatform(c)
	s.checkLimits(c)
	s.checkTargets(c)
	return c
}

func (s *Settings) checkPeers(c *findings.Checker) {
	if s.Listen.Peers == "" {
		return
	}
	c.RequireAddrPort("listen.peers", s.Listen.Peers)
	c.RequireNonEmpty("keys.authority", s.KeyFiles.CA)
	c.RequireNonEmpty("keys.certificate", s.KeyFiles.Cert)
	c.RequireNonEmpty("keys.key", s.KeyFiles.Key)
	if s.Platform.Address == "" {
		c.Add("platform.address", "must be set if listen.peers is set, because peers share the platform's store")
	}
}

func (s *Settings) checkPlatform(c *findings.Checker) {
	if s.Platform.Address != "" {
		c.RequireAddrPort("platform.address", s.Platform.Address)
	}
	if s.Platform.ReadsPerSecond <= 0 {
		c.Add("platform.reads_per_second", "%v is not positive", s.Platform.ReadsPerSecond)
	}
	if s.Platform.WritesPerSecond <= 0 {
		c.Add("platform.writes_per_second", "%v is not positive", s.Platform.WritesPerSecond)
	}
	c.RequirePositive("platform.host_list_every", s.Platform.HostListInterval)
	if s.Journal.Partitions < 1 {
		c.Add("journal.partitions", "%d is below 1", s.Journal.Partitions)
	}
	c.RequirePositive("journal.retention", s.Journal.Retention)
	c.RequirePositive("journal.lease", s.Journal.LeaseTTL)
}

func (s *Settings) checkLimits(c *findings.Checker) {
	if s.Limits.BodyBytes < 1 {
		c.Add("limits.body_bytes", "%d is below 1", s.Limits.BodyBytes)
	}
	c.RequirePositive("limits.read_timeout", s.Limits.ReadTimeout)
	c.RequirePositive("limits.idle_timeout", s.Limits.IdleTimeout)
	c.RequirePositive("limits.drain_timeout", s.Limits.DrainTimeout)
	c.RequirePositive("limits.dial_timeout", s.Limits.DialTimeout)
	c.RequirePositive("limits.first_byte_timeout", s.Limits.FirstByteTimeout)
}

func (s *Settings) checkTargets(c *findings.Checker) {
	seen := make(map[string]bool)
	for i, t := range s.Targets {
		at := fmt.Sprintf("targets[%d]", i)
		c.RequireNonEmpty(at+".name", t.Name)
		c.RequireNonEmpty(at+".pool", t.Pool)
		c.RequireAddrPort(at+".address", t.Address)
		if seen[t.Name] {
			c.Add(at+".name", "%q is the name of an earlier target", t.Name)
		}
		seen[t.Name] = true
	}
}
