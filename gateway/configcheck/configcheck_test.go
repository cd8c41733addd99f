package configcheck_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/gateway/configcheck"
	"sardinefront.dev/gateway/routing"
)

func sound() routing.Config {
	to := func(s string) []routing.WeightedService { return []routing.WeightedService{{Service: s, Weight: 1}} }
	return routing.Config{
		Version: 7,
		Routes: []routing.Route{
			{Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: routing.Stream, Resumable: true, Timeout: 8 * time.Second, LatencyGoal: time.Second, MaxEventGap: time.Second, MaxAttempts: 2, WeightedServices: to("llm")},
			{Name: "order", Host: "a.example", Prefix: "/order/", Timeout: time.Second, LatencyGoal: 200 * time.Millisecond, MaxAttempts: 1, WeightedServices: to("app")},
		},
		Services:      []routing.Service{{Name: "llm", MaxConns: 100, Engine: &routing.Engine{Slots: 4}}, {Name: "app", MaxConns: 100}},
		Organisations: []routing.Organisation{{Name: "x", Keys: []string{"k1"}, Rate: 100, Burst: 50, CountsTokens: true, DefaultCost: 20}},
		Limits:        routing.Limits{HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second},
	}
}

// Guards against faults of a configuration that only show once requests fail, and against findings
// on a sound one.
func TestCheckFindsEachFault(t *testing.T) {
	if found := configcheck.Check(sound()); len(found) > 0 {
		t.Errorf("findings of a sound configuration: %v", found)
	}
	for name, c := range map[string]struct {
		change   func(*routing.Config)
		path     string
		contains string
	}{
		"same host and prefix":    {func(c *routing.Config) { c.Routes[1].Host, c.Routes[1].Prefix = "A.example", "/chat/" }, "routes[1]", "never matches"},
		"no slash":                {func(c *routing.Config) { c.Routes[1].Prefix = "order/" }, "routes[1]", "never matches"},
		"host with port":          {func(c *routing.Config) { c.Routes[1].Host = "a.example:80" }, "routes[1]", "never matches"},
		"unknown service":         {func(c *routing.Config) { c.Routes[1].WeightedServices[0].Service = "gone" }, "routes[1]", "not configured"},
		"no service":              {func(c *routing.Config) { c.Routes[1].WeightedServices = nil }, "routes[1]", "no service"},
		"service without route":   {func(c *routing.Config) { c.Services = append(c.Services, routing.Service{Name: "idle"}) }, "services[2]", "gets no requests"},
		"goal above timeout":      {func(c *routing.Config) { c.Routes[0].LatencyGoal = 9 * time.Second }, "routes[0]", "latency goal"},
		"gap above timeout":       {func(c *routing.Config) { c.Routes[0].MaxEventGap = 9 * time.Second }, "routes[0]", "gap between events"},
		"resumable plain route":   {func(c *routing.Config) { c.Routes[1].Resumable = true }, "routes[1]", "no effect"},
		"slots above connections": {func(c *routing.Config) { c.Services[0].MaxConns = 3 }, "services[0]", "connections"},
		"shared key": {func(c *routing.Config) {
			c.Organisations = append(c.Organisations, routing.Organisation{Name: "y", Keys: []string{"k1"}})
		}, "tenants[1].apiKeys[0]", "also that of"},
		"no key":             {func(c *routing.Config) { c.Organisations[0].Keys = nil }, "tenants[0]", "never matches"},
		"burst without rate": {func(c *routing.Config) { c.Organisations[0].Rate = 0 }, "tenants[0]", "no effect"},
		"cost above quota":   {func(c *routing.Config) { c.Organisations[0].DefaultCost = 500 }, "tenants[0]", "costs"},
		"header above idle":  {func(c *routing.Config) { c.Limits.HeaderTimeout = time.Minute }, "limits", "longer than"},
	} {
		t.Run(name, func(t *testing.T) {
			config := sound()
			c.change(&config)
			found := configcheck.Check(config)
			if !slices.ContainsFunc(found, func(f configcheck.Finding) bool {
				return f.Path == c.path && strings.Contains(f.Message, c.contains)
			}) {
				t.Errorf("findings %v lack %q at %s", found, c.contains, c.path)
			}
		})
	}
}

// Guards against a difference that is left out, and against API keys in the output.
func TestDiffListsChanges(t *testing.T) {
	active, candidate := sound(), sound()
	candidate.Version = 8
	candidate.Routes[0].Timeout = 9 * time.Second
	candidate.Routes = append(candidate.Routes, routing.Route{Name: "new"})
	candidate.Services = candidate.Services[:1]
	candidate.Organisations[0].Keys = []string{"secret"}
	var got []string
	for _, c := range configcheck.Diff(active, candidate) {
		got = append(got, c.String())
	}
	want := []string{
		"changed: routes/chat/Timeout: 8s -> 9s", "added: routes/new", "removed: services/app",
		"changed: tenants/x/Keys: 1 keys -> 1 keys, 1 added, 1 removed",
	}
	if !slices.Equal(got, want) {
		t.Errorf("changes %q, want %q", got, want)
	}
	if f := configcheck.CheckVersion(candidate, active); len(f) != 1 || f[0].Severity != configcheck.Error {
		t.Errorf("findings of an older version: %v", f)
	}
}
