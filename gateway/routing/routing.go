// Package routing holds the configuration in force on a host: routes, services,
// organisations and limits, compiled for lookups on the path of a request. A
// Table is immutable; a Current swaps it atomically and never goes back to an
// older version.
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

// Kind says what the system may do with a request of a route.
type Kind uint8

// The kinds of routes. The zero value is the one that allows least.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream answers are sequences of numbered events.
	Stream
)

// Route maps a host name and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may continue at another target after their last event.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting; 0 is no bound.
	Timeout time.Duration
	// Goal is the time to the answer, or to the first event, that earns full
	// credit.
	LatencyGoal time.Duration
	// MaxGap is the longest pause between events of an answer in time.
	MaxEventGap time.Duration
	// Priority is the rank; 0 is the highest.
	Priority int
	// MaxAttempts is how many targets one request may be sent to, at least 1.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Split lists the services that share the traffic.
	WeightedServices []WeightedService
}

// Share is one service of a route with its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Idempotent reports whether a request may run at more than one target.
func (r *Route) Idempotent() bool { return r.Kind == Safe || (r.Kind == Stream && r.Resumable) }

// Pick returns the service for a request; draw is uniform in [0, 1).
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
	// MaxConns is the number of connections a target accepts from all hosts.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes model servers that take reservations.
type Engine struct {
	// Slots is the number of requests a server runs at once.
	Slots int
	// KVTokens is the memory of a server in tokens.
	KVTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// MaxHold is the longest life of a reservation; 0 means none are taken.
	MaxReservationLifetime time.Duration
}

// Organisation is a customer with its keys and its quota.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route unless it is nil.
	Priority *int
	// Rate is the quota in units per second over all hosts; 0 is no limit.
	Rate float64
	// Burst is what may be used at once beyond the rate, in units.
	Burst float64
	// CountsTokens says that a unit is a token, else a request.
	CountsTokens bool
	// PlainUnits is what a request without a token count costs.
	DefaultCost float64
}

// Limits bounds what callers may send.
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

// Table is a compiled configuration.
type Table struct {
	Config
	byHost    map[string][]*Route
	services  map[string]*Service
	byKey     map[string]*Organisation
	orgByName map[string]*Organisation
}

// Compile builds the lookups of a configuration.
func Compile(c Config) *Table {
	t := &Table{
		Config:    c,
		byHost:    map[string][]*Route{},
		services:  map[string]*Service{},
		byKey:     map[string]*Organisation{},
		orgByName: map[string]*Organisation{},
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		r.MaxAttempts = max(1, r.MaxAttempts)
		h := strings.ToLower(r.Host)
		t.byHost[h] = append(t.byHost[h], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Organisations {
		o := &t.Organisations[i]
		t.orgByName[o.Name] = o
		for _, k := range o.Keys {
			t.byKey[k] = o
		}
	}
	return t
}

// Route returns the route with the longest prefix of the path, or nil. The host
// may carry a port.
func (t *Table) MatchRoute(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// OrganisationByKey returns the holder of a key, or nil.
func (t *Table) OrganisationByKey(key string) *Organisation { return t.byKey[key] }

// Organisation returns the organisation with the name, or nil.
func (t *Table) Organisation(name string) *Organisation { return t.orgByName[name] }

// NeedsKey reports whether requests of the route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Organisations) > 0 && !r.Public }

// Tier returns the tier of a request; org may be nil. Ranks below the lowest tier
// count as the lowest.
func (t *Table) Tier(r *Route, org *Organisation) request.Tier {
	p := r.Priority
	return request.Tier(min(max(p, 0), request.TierCount-1))
}

// Current is the table in force. The zero value holds none. It is safe for
// concurrent use.
type ActiveTable struct {
	table atomic.Pointer[Table]
}

// Load returns the table in force, or nil before the first one.
func (c *ActiveTable) Load() *Table { return c.table.Load() }

// Version returns the version in force, 0 before the first one.
func (c *ActiveTable) Version() int64 {
	if t := c.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Adopt puts a table in force if its version is newer and reports whether it did.
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
