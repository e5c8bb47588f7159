// Package simulation runs whole clusters of real node code on a virtual clock
// with seeded faults, and judges the invariants from what callers, back ends,
// engines and trainers saw.
//
// It consists of tests, since the virtual clock (testing/synctest) needs one:
//
//	make simulate FIRST_SEED=1 SEEDS=200
//
// A Schedule is drawn from a seed: which faults happen when, to whom and for how
// long. Run builds the example cluster in memory, lets both tenants' traffic
// run through the schedule, heals everything and returns a Report.
package simulation
