// Package engine simulates a model engine.
package engine
