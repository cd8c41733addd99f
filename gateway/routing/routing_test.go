package routing_test

import (
	"testing"

	"sardinefront.dev/core/request"
	"sardinefront.dev/gateway/routing"
)

func table(version int64, routes ...routing.Route) *routing.Table {
	return routing.Compile(routing.Config{Version: version, Routes: routes})
}

// Guards against a request that matches a route with a shorter prefix, a route of another host,
// or a route whose prefix only looks like the start of the path.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	tab := table(1,
		routing.Route{Name: "short", Host: "a.example", Prefix: "/x/"},
		routing.Route{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		routing.Route{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z/1", "long"},
		{"A.example:80", "/x/1", "short"},
		{"a.example", "/xy/1", ""},
		{"b.example", "/x/y/1", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r := tab.MatchRoute(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against a configuration that is replaced by an older version.
func TestCurrentNeverGoesBack(t *testing.T) {
	var c routing.ActiveTable
	if c.Load() != nil || c.Version() != 0 {
		t.Fatal("the zero value holds a table")
	}
	for _, step := range []struct {
		version int64
		stored  bool
	}{{5, true}, {4, false}, {5, false}, {9, true}, {8, false}} {
		if got := c.StoreIfNewer(table(step.version)); got != step.stored {
			t.Errorf("version %d: stored %v, want %v", step.version, got, step.stored)
		}
	}
	if c.Version() != 9 {
		t.Errorf("active version %d, want 9", c.Version())
	}
}

// Guards against an API key that is accepted for another organisation, and against routes that need
// a key although the configuration has no organisations.
func TestKeys(t *testing.T) {
	tab := routing.Compile(routing.Config{Organisations: []routing.Organisation{
		{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}},
	}})
	if o := tab.OrganisationByKey("k2"); o == nil || o.Name != "one" {
		t.Errorf("key k2 belongs to %v", o)
	}
	if tab.OrganisationByKey("") != nil || tab.OrganisationByKey("k4") != nil {
		t.Error("an unknown key belongs to an organisation")
	}
	if !tab.NeedsKey(&routing.Route{}) || tab.NeedsKey(&routing.Route{Public: true}) {
		t.Error("NeedsKey must be true for all routes except public ones")
	}
	if table(1).NeedsKey(&routing.Route{}) {
		t.Error("a route needs a key although there are no organisations")
	}
}

// Guards against traffic to services that does not follow their weights, and against a draw near 1
// that selects no service.
func TestPickFollowsWeights(t *testing.T) {
	r := routing.Route{WeightedServices: []routing.WeightedService{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}}
	for draw, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.9999999: "b"} {
		if got := r.PickService(draw); got != want {
			t.Errorf("draw %v: %s, want %s", draw, got, want)
		}
	}
}

// Guards against priorities beyond the lowest tier.
func TestTierIsBounded(t *testing.T) {
	tab := table(1)
	for rank, want := range map[int]request.Tier{-1: request.Urgent, 0: request.Urgent, 1: request.Interactive, 7: request.Patient} {
		if got := tab.Tier(&routing.Route{Priority: rank}, nil); got != want {
			t.Errorf("priority %d: tier %s, want %s", rank, got, want)
		}
	}
}
