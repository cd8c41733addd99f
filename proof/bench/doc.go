// Package bench measures the scheduling decisions in virtual time.
//
// A run simulates one seeded workload on a scheduler with small fakes of engines
// and plain services. The same workload runs on two baselines and on an
// omniscient scheduler, which sees the true state of every engine, for
// comparison. A run uses one goroutine and no wall clock, so that a seed always
// gives the same figures. Failures of the network, of hosts and of the store are
// not modelled.
package bench
