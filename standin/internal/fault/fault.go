// Package fault selects the requests that a stand-in answers with a fault.
package fault

import (
	"encoding/json"
	"hash/fnv"
	"math"
	"strings"
	"sync"

	"github.com/gofiber/fiber/v3"
)

// Kind says what goes wrong.
type Kind string

// The kinds of faults.
const (
	None       Kind = "none"    // removes all faults
	Slow       Kind = "slow"    // takes longer
	Fail       Kind = "fail"    // status 500
	NoResponse Kind = "silent"  // never answers, connection stays open
	Truncated  Kind = "cut"     // ends in the middle of the answer
	Mismatched Kind = "crossed" // answers with another request's answer
	Empty      Kind = "empty"   // a whole answer without content
)

var kinds = map[Kind]bool{None: true, Slow: true, Fail: true, NoResponse: true, Truncated: true, Mismatched: true, Empty: true}

// Fault is one fault with the requests that it concerns.
type Fault struct {
	Kind Kind `json:"kind"`
	// Share of the requests in (0, 1], selected by a hash of the request id.
	// 0 means all.
	Share float64 `json:"share,omitempty"`
	// Route is a prefix of the path. Empty means the routes that do work, "*"
	// means all.
	PathPrefix string `json:"route,omitempty"`
	// Version restricts the fault to the time that this version is served.
	Version string `json:"version,omitempty"`
	// MinRunning restricts the fault to the time that so many requests run.
	MinRunning int `json:"min_running,omitempty"`
	// Factor of a slow answer. Default 10.
	SlowFactor float64 `json:"factor,omitempty"`
	// DelayMS is added before a slow answer, in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
}

// Request is what faults are selected by.
type RequestInfo struct {
	ID, Path, Version string
	// Work is true for the routes that do work.
	DataPlane bool
	Running   int
}

// Set holds the active faults. The zero value is empty.
type FaultSet struct {
	// Salt makes the shares of different servers independent.
	Salt string

	mu     sync.Mutex
	active []Fault
}

// Add adds a fault, or removes all of them if the kind is None.
func (s *FaultSet) Add(f Fault) {
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

// Match returns the first active fault that concerns the request. Its Kind is
// empty if there is none.
func (s *FaultSet) Match(r RequestInfo) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.active {
		if f.concerns(r) && s.selected(r.ID, &f) {
			return f
		}
	}
	return Fault{}
}

func (f *Fault) concerns(r RequestInfo) bool {
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

// selected hashes the kind and the route too, so that the shares of different
// faults are independent.
func (s *FaultSet) selected(id string, f *Fault) bool {
	if f.Share <= 0 || f.Share >= 1 {
		return true
	}
	h := fnv.New64a()
	h.Write([]byte(strings.Join([]string{id, s.Salt, string(f.Kind), f.PathPrefix}, "\x00")))
	// A multiplication spreads the low bits, in which similar ids differ.
	return float64(h.Sum64()*0x9e3779b97f4a7c15>>11)/(math.MaxUint64>>11) < f.Share
}

// Handle serves POST /standin/fault.
func (s *FaultSet) Handle(c fiber.Ctx) error {
	var f Fault
	if err := json.Unmarshal(c.Body(), &f); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	if !kinds[f.Kind] {
		return c.Status(fiber.StatusBadRequest).SendString("unknown kind")
	}
	s.Add(f)
	return nil
}
