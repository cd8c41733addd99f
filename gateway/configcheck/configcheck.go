// Package configcheck checks a configuration before it is sent to the hosts, and lists how it
// differs from the active one. The package does no I/O.
package configcheck

import (
	"fmt"
	"strings"

	"sardinefront.dev/gateway/routing"
)

// Severity is how much a finding matters.
type Severity string

const (
	// Error is a finding because of which some requests fail or don't match as intended.
	Error Severity = "error"
	// Warning is a finding that has no effect on requests, or may be intended.
	Warning Severity = "warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Path names the entry or field, such as routes[2].
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the finding on one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Path, f.Message) }

// HasErrors reports whether any finding is an Error.
func HasErrors(findings []Finding) bool {
	for _, f := range findings {
		if f.Severity == Error {
			return true
		}
	}
	return false
}

// checker collects the findings of one configuration.
type checker struct {
	config   routing.Config
	findings []Finding
}

func (c *checker) errorf(path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Error, path, fmt.Sprintf(format, args...)})
}

func (c *checker) warnf(path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Warning, path, fmt.Sprintf(format, args...)})
}

// Check returns the findings of a configuration in the order of its entries: entries that refer
// to none or are ambiguous, entries that can never match, and limits that contradict each other.
func Check(config routing.Config) []Finding {
	c := &checker{config: config}
	c.checkRoutes()
	c.checkServices()
	c.checkOrganisations()
	c.checkLimits()
	return c.findings
}

// checkRoutes checks each route and that names and matches are unique.
func (c *checker) checkRoutes() {
	services := map[string]bool{}
	for _, s := range c.config.Services {
		services[s.Name] = true
	}
	names, matches := map[string]int{}, map[string]int{}
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		path := fmt.Sprintf("routes[%d]", i)
		c.checkName(names, "routes", i, r.Name)
		match := strings.ToLower(r.Host) + " " + r.Prefix
		if first, ok := matches[match]; ok {
			c.errorf(path, "never matches: routes[%d] has the same host and prefix", first)
		} else {
			matches[match] = i
		}
		c.checkMatch(path, r)
		c.checkRouteServices(path, r, services)
		c.checkRouteTimes(path, r)
	}
}

// checkName reports a name that an earlier entry of the section has. names holds the index of the
// first entry of each name.
func (c *checker) checkName(names map[string]int, section string, i int, name string) {
	if first, ok := names[name]; ok {
		c.errorf(fmt.Sprintf("%s[%d]", section, i), "the name %q is that of %s[%d]", name, section, first)
		return
	}
	names[name] = i
}

// checkMatch checks the host and prefix of a route.
func (c *checker) checkMatch(path string, r *routing.Route) {
	if r.Host == "" {
		c.errorf(path, "never matches: it has no host")
	}
	if strings.Contains(r.Host, ":") {
		c.errorf(path, "never matches: host %q has a port, which is left out when hosts are compared", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		c.errorf(path, "never matches: prefix %q does not begin with a slash", r.Prefix)
		return
	}
	if !strings.HasSuffix(r.Prefix, "/") {
		c.warnf(path, "prefix %q does not end with a slash, so it also matches longer names", r.Prefix)
	}
	if strings.ContainsAny(r.Prefix, "?# ") {
		c.errorf(path, "never matches: prefix %q contains a character that no path has", r.Prefix)
	}
}

// checkRouteServices checks that a route leads to configured services.
func (c *checker) checkRouteServices(path string, r *routing.Route, services map[string]bool) {
	if len(r.WeightedServices) == 0 {
		c.errorf(path, "has no service with a positive weight")
	}
	for _, s := range r.WeightedServices {
		if !services[s.Service] {
			c.errorf(path, "service %q is not configured", s.Service)
		}
	}
}

// checkRouteTimes checks that the times and repeats of a route can have an effect together.
func (c *checker) checkRouteTimes(path string, r *routing.Route) {
	if r.Timeout > 0 && r.LatencyGoal > r.Timeout {
		c.errorf(path, "the latency goal of %s is longer than the timeout of %s", r.LatencyGoal, r.Timeout)
	}
	if r.Timeout > 0 && r.MaxEventGap > r.Timeout {
		c.errorf(path, "the longest gap between events, %s, is longer than the timeout of %s", r.MaxEventGap, r.Timeout)
	}
	if r.Kind != routing.Stream && r.Resumable {
		c.warnf(path, "resumable has no effect on a route that is no stream")
	}
	if r.Kind != routing.Stream && r.MaxEventGap > 0 {
		c.warnf(path, "the longest gap between events has no effect on a route that is no stream")
	}
	if r.MaxAttempts < 1 {
		c.warnf(path, "the number of attempts is %d, 1 is used", r.MaxAttempts)
	}
}

// checkServices checks the names of services, and that routes use them.
func (c *checker) checkServices() {
	used := map[string]bool{}
	for _, r := range c.config.Routes {
		for _, s := range r.WeightedServices {
			used[s.Service] = true
		}
	}
	names := map[string]int{}
	for i, s := range c.config.Services {
		path := fmt.Sprintf("services[%d]", i)
		if s.Name == "" {
			c.errorf(path, "has no name")
			continue
		}
		if first, ok := names[s.Name]; ok {
			c.errorf(path, "the name %q is that of services[%d], which is replaced", s.Name, first)
			continue
		}
		names[s.Name] = i
		if !used[s.Name] {
			c.warnf(path, "gets no requests: no route leads to service %q", s.Name)
		}
		if e := s.Engine; e != nil && s.MaxConns > 0 && e.Slots > s.MaxConns {
			c.errorf(path, "an engine has %d slots and accepts %d connections only", e.Slots, s.MaxConns)
		}
	}
}

// checkOrganisations checks names, API keys and quotas. Paths use the stored name, tenants.
func (c *checker) checkOrganisations() {
	names, keys := map[string]int{}, map[string]int{}
	for i := range c.config.Organisations {
		o := &c.config.Organisations[i]
		path := fmt.Sprintf("tenants[%d]", i)
		c.checkName(names, "tenants", i, o.Name)
		if len(o.Keys) == 0 {
			c.warnf(path, "never matches: %q has no API key", o.Name)
		}
		for j, key := range o.Keys {
			keyPath := fmt.Sprintf("%s.apiKeys[%d]", path, j)
			if first, ok := keys[key]; ok && first != i {
				c.errorf(keyPath, "the key is also that of tenants[%d]", first)
			} else if ok {
				c.warnf(keyPath, "the key is listed twice")
			}
			keys[key] = i
			if key == "" || strings.ContainsAny(key, " \t\r\n") {
				c.errorf(keyPath, "never matches: the key is empty or contains a space")
			}
		}
		c.checkQuota(path, o)
	}
}

// checkQuota checks that the numbers of a quota can be used together.
func (c *checker) checkQuota(path string, o *routing.Organisation) {
	if o.Rate <= 0 {
		if o.Burst > 0 {
			c.warnf(path, "the burst has no effect: without a rate there is no limit")
		}
		return
	}
	cost := 1.0
	if o.CountsTokens {
		cost = o.DefaultCost
	}
	if o.Burst > 0 && cost > o.Rate+o.Burst {
		c.errorf(path, "a request without a token count costs %.0f units, rate and burst together allow %.0f", cost, o.Rate+o.Burst)
	}
}

func (c *checker) checkLimits() {
	l := c.config.Limits
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.warnf("limits", "the time for headers, %s, is longer than the idle timeout of %s", l.HeaderTimeout, l.IdleTimeout)
	}
}
