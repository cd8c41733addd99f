// Package fleetuser simulates the users of a fleet of hosts that run package gateway: the
// operator, who writes configurations and target entries into the store, and callers.
package fleetuser

import (
	"encoding/json"
	"fmt"
)

// Names in the configurations that Configuration returns: the virtual host of all
// routes, the organisation with its API key, and the services.
const (
	VirtualHost   = "h.example"
	APIKey        = "key-1"
	Organisation  = "org"
	EngineService = "llm"
	PlainService  = "plain"
)

// Path prefixes of the routes: a resumable stream with two attempts, a stream with one
// attempt that can't be resumed, an unsafe request, which may run only once, and a safe
// request, which may be repeated.
const (
	PathResumableStream  = "/stream/"
	PathOneAttemptStream = "/once/"
	PathUnsafe           = "/unsafe/"
	PathSafe             = "/safe/"
)

// VersionPath returns the path prefix of a route that exists only in the configuration
// of this version, so that a response shows which version a host has applied.
func VersionPath(version int) string { return fmt.Sprintf("/version-%d/", version) }

// Configuration returns a configuration as JSON. timeoutMs is the request timeout of all
// routes, tokensPerSecond the fleet-wide quota of the organisation and also its burst,
// and slots the number of slots of each engine.
func Configuration(version, timeoutMs, tokensPerSecond, slots int) []byte {
	route := func(prefix, kind, service string, maxAttempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": "route" + prefix, "host": VirtualHost, "prefix": prefix, "kind": kind, "service": service, "timeoutMs": timeoutMs,
			"goalMs": 300, "gapAimMs": 200, "maxAttempts": maxAttempts, "resumable": resumable, "priority": 0,
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
		"tenants": []any{map[string]any{"name": Organisation, "apiKeys": []string{APIKey}, "unit": "tokens", "plainTokens": 1, "ratePerS": tokensPerSecond, "burst": tokensPerSecond}},
	})
}

// TargetEntry is the entry of a target in the store.
type TargetEntry struct {
	Service, Address, Zone string
	Slots                  int
	Draining               bool
	Sequence               int
}

// Encode returns the entry as the JSON that the store holds.
func (e TargetEntry) Encode() []byte {
	state := "ready"
	if e.Draining {
		state = "draining"
	}
	return mustJSON(map[string]any{
		"service": e.Service, "address": e.Address, "zone": e.Zone, "version": "v1", "slots": e.Slots, "state": state, "sequence": e.Sequence,
	})
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the values above can always be encoded
	}
	return b
}
