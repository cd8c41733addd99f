// Package fleetuser plays the users of the platform for tests: the operator, who writes
// configurations and entries of servers into the store, and callers.
package fleetuser

import (
	"encoding/json"
	"fmt"
)

// Names in the configurations that Configuration returns.
const (
	VirtualHost   = "h.example"
	APIKey        = "key-1"
	Organisation  = "org"
	EngineService = "llm"
	PlainService  = "plain"
)

// The routes: a resumable stream, a stream that may be sent once, a request that may
// run once, and one that may be repeated.
const (
	PathResumableStream  = "/stream/"
	PathOneAttemptStream = "/once/"
	PathUnsafe           = "/unsafe/"
	PathSafe             = "/safe/"
)

// VersionPath is the path of a route that only the configuration of this version has.
func VersionPath(version int) string { return fmt.Sprintf("/version-%d/", version) }

// Configuration returns the operator's text of a version. Timeout is the longest time
// for a request, rate the tenant's quota in tokens a second, both for all hosts.
func Configuration(version, timeoutMs, rate, slots int) []byte {
	route := func(prefix, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": "route" + prefix, "host": VirtualHost, "prefix": prefix, "kind": kind, "service": service, "timeoutMs": timeoutMs,
			"goalMs": 300, "gapAimMs": 200, "maxAttempts": attempts, "resumable": resumable, "priority": 0,
		}
	}
	return mustJSON(map[string]any{
		"version": version,
		"routes": []any{
			route(PathResumableStream, "streaming", EngineService, 2, true),
			route(PathOneAttemptStream, "streaming", EngineService, 1, false),
			route(PathUnsafe, "unsafe", PlainService, 1, false),
			route(PathSafe, "safe", PlainService, 2, false),
			route(VersionPath(version), "safe", PlainService, 2, false),
		},
		"services": []any{
			map[string]any{"name": EngineService, "engine": map[string]any{"slots": slots, "kvCapacity": 100000, "stride": 4, "holdMs": 2000}},
			map[string]any{"name": PlainService},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": Organisation, "apiKeys": []string{APIKey}, "unit": "tokens", "plainTokens": 1, "ratePerS": rate, "burst": rate}},
	})
}

// Server is the entry that a server keeps in the store.
type TargetEntry struct {
	Service, Address, Zone string
	Slots                  int
	Draining               bool
	Sequence               int
}

// Entry returns the entry as the store holds it.
func (s TargetEntry) Encode() []byte {
	state := "ready"
	if s.Draining {
		state = "draining"
	}
	return mustJSON(map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": s.Slots, "state": state, "sequence": s.Sequence,
	})
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the values above are plain
	}
	return b
}
