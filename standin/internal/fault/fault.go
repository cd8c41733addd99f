// Package fault selects the requests for which a stand-in injects a fault.
package fault

import (
	"encoding/json"
	"hash/fnv"
	"math"
	"strings"
	"sync"

	"github.com/gofiber/fiber/v3"
)

// Kind is the kind of a fault. Its value is the name in JSON.
type Kind string

// The kinds of faults.
const (
	None       Kind = "none"    // removes all active faults
	Slow       Kind = "slow"    // delays the response
	Fail       Kind = "fail"    // responds with status 500
	NoResponse Kind = "silent"  // never responds and keeps the connection open
	Truncated  Kind = "cut"     // closes the connection in the middle of the response
	Mismatched Kind = "crossed" // sends the response to another request
	Empty      Kind = "empty"   // sends a complete response without content
)

var validKinds = map[Kind]bool{None: true, Slow: true, Fail: true, NoResponse: true, Truncated: true, Mismatched: true, Empty: true}

// Fault is one fault and the conditions that select its requests.
type Fault struct {
	Kind Kind `json:"kind"`
	// Share is the fraction of requests in (0, 1], selected by a hash of the
	// request id. 0 means all.
	Share float64 `json:"share,omitempty"`
	// PathPrefix restricts the fault to paths with this prefix. Empty means the
	// data plane, "*" means all paths.
	PathPrefix string `json:"route,omitempty"`
	// Version restricts the fault to times at which this version is served.
	Version string `json:"version,omitempty"`
	// MinRunning restricts the fault to times at which at least this many
	// requests run.
	MinRunning int `json:"min_running,omitempty"`
	// SlowFactor multiplies the durations of a Slow fault. Default 10.
	SlowFactor float64 `json:"factor,omitempty"`
	// DelayMS is the additional delay of a Slow fault, in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
}

// RequestInfo holds the properties of a request that Match compares.
type RequestInfo struct {
	ID, Path, Version string
	// DataPlane is true for requests that the target executes for callers, and
	// false for control and report routes.
	DataPlane bool
	// Running is the number of running requests.
	Running int
}

// Set holds the active faults. The zero value is empty. Its methods are safe for
// concurrent use.
type Set struct {
	// Salt is hashed with the request id, so that different servers select
	// different requests.
	Salt string

	mu     sync.Mutex
	active []Fault
}

// Add adds a fault, or removes all of them if the kind is None.
func (s *Set) Add(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Kind == None {
		s.active = nil
		return
	}
	if f.SlowFactor <= 0 {
		f.SlowFactor = 10
	}
	s.active = append(s.active, f)
}

// Match returns the first active fault that applies to the request. Its Kind is
// empty if there is none.
func (s *Set) Match(r RequestInfo) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.active {
		if f.appliesTo(r) && s.inShare(r.ID, &f) {
			return f
		}
	}
	return Fault{}
}

func (f *Fault) appliesTo(r RequestInfo) bool {
	if f.Version != "" && f.Version != r.Version {
		return false
	}
	if r.Running < f.MinRunning {
		return false
	}
	switch f.PathPrefix {
	case "":
		return r.DataPlane
	case "*":
		return true
	}
	return strings.HasPrefix(r.Path, f.PathPrefix)
}

// inShare reports whether the fault's share includes the request. It hashes the kind
// and the path prefix too, so that different faults select requests independently.
func (s *Set) inShare(id string, f *Fault) bool {
	if f.Share <= 0 || f.Share >= 1 {
		return true
	}
	h := fnv.New64a()
	h.Write([]byte(strings.Join([]string{id, s.Salt, string(f.Kind), f.PathPrefix}, "\x00")))
	// The multiplication moves the low bits, in which similar ids differ, to the
	// high bits that decide the comparison.
	return float64(h.Sum64()*0x9e3779b97f4a7c15>>11)/(math.MaxUint64>>11) < f.Share
}

// Handle serves POST /standin/fault.
func (s *Set) Handle(c fiber.Ctx) error {
	var f Fault
	if err := json.Unmarshal(c.Body(), &f); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	if !validKinds[f.Kind] {
		return c.Status(fiber.StatusBadRequest).SendString("unknown kind")
	}
	s.Add(f)
	return nil
}
