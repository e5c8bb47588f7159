// Package simulation runs clusters of real node code on a virtual clock, injects
// faults drawn from a seed, and checks the invariants against what callers, back
// ends, engines and trainers observed.
//
// It is run by tests, because the virtual clock (testing/synctest) exists only in
// a test:
//
//	make simulate FIRST_SEED=1 SEEDS=200
//
// A Schedule is drawn from a seed and states which faults are injected, when, into
// which hosts and for how long. Run builds the example cluster in memory, sends
// both tenants' traffic while it injects and removes the faults, and returns a
// Report.
package simulation
