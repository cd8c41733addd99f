// Package scenario runs scripted scenarios: text files that state the requests, the
// faults and the expected results. A scenario starts simulated targets, a simulated
// platform and hosts in this process and records their events for the invariant
// checkers. Its result depends on counts, order and invariants, never on how long
// an operation took. docs/decisions/scenarios.md describes the language.
package scenario
