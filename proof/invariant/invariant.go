// Package invariant holds the checkers of the invariants.
package invariant
