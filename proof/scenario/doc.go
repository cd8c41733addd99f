// Package scenario runs scripted scenarios: text files that say who calls, what
// fails when, and what must hold. A scenario starts simulated targets, a
// simulated platform and entry hosts in this process and attaches the invariant
// checkers to all of them. Its verdict depends on counts, order and invariants,
// never on how long something took. docs/decisions/scenarios.md describes the
// language.
package scenario
