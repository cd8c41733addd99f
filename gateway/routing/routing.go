// Package routing holds the active configuration of a host: routes, services, organisations and
// limits, indexed for lookups per request. A Table is immutable. An ActiveTable replaces it
// atomically and never with an older version.
package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"sardinefront.dev/core/request"
)

// Kind determines how often and where a request of a route may run.
type Kind uint8

// The kinds of routes. The zero value is the most restrictive one.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream responses are sequences of numbered events.
	Stream
)

// Route maps a host name and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may continue at another target after the last received event.
	Resumable bool
	// Timeout is the maximum time until the caller gets a response; 0 is no limit.
	Timeout time.Duration
	// LatencyGoal is the time to the response, or to the first event of a stream, within which
	// a request counts as fully successful.
	LatencyGoal time.Duration
	// MaxEventGap is the longest gap between events of a response that counts as in time.
	MaxEventGap time.Duration
	// Priority is the priority of requests; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of targets that one request is sent to, at least 1. A few
	// sends that reach another incarnation than the target's don't count.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// HomeRegions are the regions whose targets may be used; empty for all.
	HomeRegions []string
	// WeightedServices are the services that share the traffic.
	WeightedServices []WeightedService
}

// WeightedService is one service of a route and its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Idempotent reports whether a request may run at more than one target.
func (r *Route) Idempotent() bool { return r.Kind == Safe || (r.Kind == Stream && r.Resumable) }

// PickService returns the service for a request. draw is a uniform random number in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	draw *= total
	for _, s := range r.WeightedServices {
		draw -= s.Weight
		if draw < 0 {
			return s.Service
		}
	}
	if len(r.WeightedServices) == 0 {
		return ""
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}

// Service is a group of targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that a target accepts from all hosts together.
	MaxConns int
	// ColdRate is the number of requests per second that a cold target tolerates from all hosts
	// together, and ColdTime how long it is cold after a start; 0 for no bound.
	ColdRate float64
	ColdTime time.Duration
	// Engine is nil for plain HTTP services.
	Engine *Engine
}

// Engine describes LLM engines that accept reservations.
type Engine struct {
	// Slots is the number of concurrent requests of an engine.
	Slots int
	// KVTokens is the KV cache capacity of an engine in tokens.
	KVTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// MaxReservationLifetime is the longest lifetime of a reservation; 0 if the engine accepts
	// none.
	MaxReservationLifetime time.Duration
}

// Organisation is a customer with its API keys and its quota.
type Organisation struct {
	Name string
	Keys []string
	// Priority is decoded from the configuration but not used: Table.Tier uses only the
	// route's priority. It is nil if the configuration does not set it.
	Priority *int
	// Rate is the quota in units per second over all hosts; 0 is no limit.
	Rate float64
	// Burst is the number of units that may be used at once in addition to the rate.
	Burst float64
	// CountsTokens is set if a unit is a token. Otherwise a unit is a request.
	CountsTokens bool
	// DefaultCost is the cost in units of a request without a token count.
	DefaultCost float64
	// HomeRegions are the regions whose targets may be used; empty for all.
	HomeRegions []string
}

// Limits bounds the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Table is a configuration with its lookup indexes.
type Table struct {
	Config
	routesByHost map[string][]*Route
	services     map[string]*Service
	orgByKey     map[string]*Organisation
	orgByName    map[string]*Organisation
}

// Compile builds the lookup indexes of a configuration.
func Compile(c Config) *Table {
	t := &Table{
		Config:       c,
		routesByHost: map[string][]*Route{},
		services:     map[string]*Service{},
		orgByKey:     map[string]*Organisation{},
		orgByName:    map[string]*Organisation{},
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		r.MaxAttempts = max(1, r.MaxAttempts)
		h := strings.ToLower(r.Host)
		t.routesByHost[h] = append(t.routesByHost[h], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Organisations {
		o := &t.Organisations[i]
		t.orgByName[o.Name] = o
		for _, k := range o.Keys {
			t.orgByKey[k] = o
		}
	}
	return t
}

// MatchRoute returns the route with the longest prefix of the path, or nil. The host may include
// a port.
func (t *Table) MatchRoute(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// OrganisationByKey returns the organisation with the API key, or nil.
func (t *Table) OrganisationByKey(key string) *Organisation { return t.orgByKey[key] }

// Organisation returns the organisation with the name, or nil.
func (t *Table) Organisation(name string) *Organisation { return t.orgByName[name] }

// NeedsKey reports whether requests of the route must carry an API key. None need one if the
// configuration has no organisations.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Organisations) > 0 && !r.Public }

// Tier returns the tier for the route's priority. Priorities below the lowest tier count as the
// lowest. org is not used and may be nil.
func (t *Table) Tier(r *Route, org *Organisation) request.Tier {
	p := r.Priority
	return request.Tier(min(max(p, 0), request.TierCount-1))
}

// ActiveTable holds the active table. The zero value holds none. Its methods are safe for
// concurrent use.
type ActiveTable struct {
	table atomic.Pointer[Table]
}

// Load returns the active table, or nil if there is none yet.
func (c *ActiveTable) Load() *Table { return c.table.Load() }

// Version returns the version of the active table, 0 if there is none yet.
func (c *ActiveTable) Version() int64 {
	if t := c.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// StoreIfNewer activates a table if its version is newer, and reports whether it is.
func (c *ActiveTable) StoreIfNewer(t *Table) bool {
	for {
		old := c.table.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if c.table.CompareAndSwap(old, t) {
			return true
		}
	}
}
