// Package bench measures the scheduling decisions in virtual time.
//
// A run feeds one seeded workload to a scheduler and to small fakes of engines
// and plain services, and compares the result with two baselines and with a
// scheduler that sees the true state of every engine. The runs use one
// goroutine and no wall clock, so that a seed always gives the same figures.
// It does not model failures of the network, of hosts or of the store.
package bench
