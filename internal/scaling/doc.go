// Package scaling decides how many spot samplers of a service to order from the platform in
// each zone. The number of ordinary samplers is set by the operator and left unchanged.
// Spot samplers cost a fraction of the price of ordinary ones and may be preempted, all of a
// zone together. They serve as a reserve for work that would otherwise be late.
//
// The package does no I/O, starts no goroutines and does not read the clock.
package scaling
