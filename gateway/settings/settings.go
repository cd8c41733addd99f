// Package settings reads the YAML settings of an entry host. Unknown fields are ignored,
// because later versions of the platform may add some. All invalid values are reported in
// one error.
package settings

import (
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"sardinefront.dev/core/findings"
	"sardinefront.dev/gateway/quota"
	"sardinefront.dev/gateway/retry"
)

// Settings configure one entry host.
type Settings struct {
	Host struct {
		// Name is unique in the fleet.
		Name string `yaml:"name"`
		Zone string `yaml:"zone"`
		// Region is the region of the host's zone, if Zones lacks it.
		Region string `yaml:"region"`
		// Address is the IP address of the host.
		Address string `yaml:"address"`
	} `yaml:"host"`
	// Zones holds the region of each availability zone.
	Zones  map[string]string `yaml:"zones"`
	Listen struct {
		// Callers and Ready are IP:port.
		Callers string `yaml:"callers"`
		Ready   string `yaml:"ready"`
		// Metrics is the IP:port of the metrics endpoint; empty disables it.
		Metrics string `yaml:"metrics"`
		// InternalPorts are the first and last port for traffic between hosts; the first
		// one is used.
		InternalPorts []uint16 `yaml:"internal_ports"`
	} `yaml:"listen"`
	// Seeds are addresses (IP:port) of other hosts. Their port is replaced by the first of
	// InternalPorts.
	Seeds []string `yaml:"seeds"`
	Store struct {
		Address string `yaml:"address"`
		// ReadsPerSecond and WritesPerSecond limit the calls of the whole fleet.
		ReadsPerSecond  float64 `yaml:"reads_per_second"`
		WritesPerSecond float64 `yaml:"writes_per_second"`
	} `yaml:"store"`
	Limits struct {
		// MemoryMB is the memory limit above which the process is killed, in MB; 0 means
		// no limit.
		MemoryMB int `yaml:"memory_mb"`
		// BodyMemoryMB bounds the request bodies that are held at once, in MB; 0 means a part of
		// MemoryMB.
		BodyMemoryMB int `yaml:"body_memory_mb"`
	} `yaml:"limits"`
	Stop struct {
		// GraceSeconds is the time between the termination signal and the kill.
		GraceSeconds float64 `yaml:"grace_s"`
	} `yaml:"stop"`
	// RetryBudget allows Ratio retries per request, plus Slack retries, within a window.
	RetryBudget struct {
		Ratio         float64 `yaml:"ratio"`
		Slack         float64 `yaml:"slack"`
		WindowSeconds float64 `yaml:"window_s"`
	} `yaml:"retry_budget"`
	// Quota is the tolerated excess over a quota: within a window, use may reach
	// (rate x window + burst) x (1 + OverRatio) + Slack units.
	Quota struct {
		WindowSeconds float64 `yaml:"window_s"`
		OverRatio     float64 `yaml:"over"`
		Slack         float64 `yaml:"slack"`
	} `yaml:"quota"`
	Log struct {
		// Level is the minimum level of log lines: info, warn or error.
		Level string `yaml:"level"`
	} `yaml:"log"`
	// Rollout limits the traffic that a bad version receives.
	Rollout struct {
		// ExposeShare is the largest share, in (0, 1], of a service's requests over the
		// whole time of a rollout that may go to a version that turns out to be bad.
		ExposeShare float64 `yaml:"expose_share"`
	} `yaml:"rollout"`
}

// Load reads and validates a file.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, text)
}

// Parse parses and validates the text of a file. The error lists every finding with its
// line; file is only used in error messages.
func Parse(file string, text []byte) (Settings, error) {
	var s Settings
	s.Stop.GraceSeconds = 8
	s.RetryBudget.Ratio, s.RetryBudget.Slack, s.RetryBudget.WindowSeconds = 0.2, 50, 10
	s.Rollout.ExposeShare = 0.1
	s.Log.Level = "info"
	if err := yaml.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("settings: %s: %w", file, err)
	}
	if err := s.validate(text).Err(file); err != nil {
		return s, err
	}
	return s, nil
}

// validate collects a finding for each invalid value.
func (s *Settings) validate(text []byte) *findings.Checker {
	c := &findings.Checker{Text: text}
	c.RequireNonEmpty("host.name", s.Host.Name)
	c.RequireNonEmpty("host.zone", s.Host.Zone)
	_, err := netip.ParseAddr(s.Host.Address)
	c.Require(err == nil, "host.address", "%q is not an IP address", s.Host.Address)
	_, unnamed := s.Zones[""]
	c.Require(!unnamed, "zones", "the name of a zone is empty")
	c.RequireAddrPort("listen.callers", s.Listen.Callers)
	c.RequireAddrPort("listen.ready", s.Listen.Ready)
	if s.Listen.Metrics != "" {
		c.RequireAddrPort("listen.metrics", s.Listen.Metrics)
	}
	c.Require(len(s.Listen.InternalPorts) > 0, "listen.internal_ports", "must not be empty")
	c.RequireAddrPort("store.address", s.Store.Address)
	c.Require(s.Store.ReadsPerSecond >= 0, "store.reads_per_second", "%v is negative", s.Store.ReadsPerSecond)
	c.Require(s.Store.WritesPerSecond >= 0, "store.writes_per_second", "%v is negative", s.Store.WritesPerSecond)
	c.Require(s.Limits.BodyMemoryMB >= 0, "limits.body_memory_mb", "%v is negative", s.Limits.BodyMemoryMB)
	c.Require(s.Stop.GraceSeconds > 0, "stop.grace_s", "%v is not positive", s.Stop.GraceSeconds)
	c.Require(s.RetryBudget.WindowSeconds > 0, "retry_budget.window_s", "%v is not positive", s.RetryBudget.WindowSeconds)
	c.Require(s.RetryBudget.Ratio >= 0, "retry_budget.ratio", "%v is negative", s.RetryBudget.Ratio)
	c.Require(s.RetryBudget.Slack >= 0, "retry_budget.slack", "%v is negative", s.RetryBudget.Slack)
	c.Require(s.Quota.WindowSeconds >= 0, "quota.window_s", "%v is negative", s.Quota.WindowSeconds)
	c.Require(s.Quota.OverRatio >= 0, "quota.over", "%v is negative", s.Quota.OverRatio)
	c.Require(s.Quota.Slack >= 0, "quota.slack", "%v is negative", s.Quota.Slack)
	c.Require(s.Rollout.ExposeShare > 0 && s.Rollout.ExposeShare <= 1, "rollout.expose_share", "%v is not in (0, 1]", s.Rollout.ExposeShare)
	_, known := logLevels[s.Log.Level]
	c.Require(known, "log.level", "%q is not info, warn or error", s.Log.Level)
	return c
}

var logLevels = map[string]slog.Level{"info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}

// LogLevel returns the minimum level of log lines.
func (s *Settings) LogLevel() slog.Level { return logLevels[s.Log.Level] }

// PeerAddress returns the IP:port at which peers reach this host.
func (s *Settings) PeerAddress() string {
	return netip.AddrPortFrom(netip.MustParseAddr(s.Host.Address), s.Listen.InternalPorts[0]).String()
}

// PeerSeeds returns the seeds with their port replaced by the internal port. Invalid
// addresses are skipped.
func (s *Settings) PeerSeeds() []string {
	var out []string
	for _, v := range s.Seeds {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			continue
		}
		out = append(out, netip.AddrPortFrom(a.Addr(), s.Listen.InternalPorts[0]).String())
	}
	return out
}

// Regions returns the regions of the availability zones that have one.
func (s *Settings) Regions() map[string]string {
	out := maps.Clone(s.Zones)
	if out == nil {
		out = map[string]string{}
	}
	if s.Host.Region != "" && out[s.Host.Zone] == "" {
		out[s.Host.Zone] = s.Host.Region
	}
	return out
}

const (
	// The memory limit, divided by bodyMemoryDivisor, is for request bodies. Without a limit
	// defaultBodyMemoryBytes are.
	bodyMemoryDivisor      = 8
	defaultBodyMemoryBytes = 64 << 20
)

// BodyMemoryBytes returns the bound of the request bodies that are held at once.
func (s *Settings) BodyMemoryBytes() int64 {
	switch {
	case s.Limits.BodyMemoryMB > 0:
		return int64(s.Limits.BodyMemoryMB) << 20
	case s.Limits.MemoryMB > 0:
		return int64(s.Limits.MemoryMB) << 20 / bodyMemoryDivisor
	}
	return defaultBodyMemoryBytes
}

// GracePeriod returns the time between the termination signal and the kill.
func (s *Settings) GracePeriod() time.Duration {
	return time.Duration(s.Stop.GraceSeconds * float64(time.Second))
}

// QuotaTolerance returns the tolerated excess over quotas.
func (s *Settings) QuotaTolerance() quota.Tolerance {
	return quota.Tolerance{Window: time.Duration(s.Quota.WindowSeconds * float64(time.Second)), Ratio: s.Quota.OverRatio, Slack: s.Quota.Slack}
}

// RetryLimits returns the fleet-wide limits of the retry budget.
func (s *Settings) RetryLimits() retry.Limits {
	return retry.Limits{
		Ratio: s.RetryBudget.Ratio, FixedRetries: s.RetryBudget.Slack,
		Window: time.Duration(s.RetryBudget.WindowSeconds * float64(time.Second)),
	}
}
