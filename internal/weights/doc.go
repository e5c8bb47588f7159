// Package weights updates the engines and samplers of a pool to new weight versions.
//
// Versions is a monotone register of the versions that trainers have announced. It merges
// by maximum, so it may be gossiped in any order. Planner derives the orders to issue now
// from the state of the engines and the target version. Engines first load the target beside
// the version they serve, all at once and limited by the weight store. Then they switch in
// waves that keep the configured share of the pool serving. An engine whose switch failed
// half-way is detected by its reported state and ordered to switch again.
//
// RollingUpdate decides which samplers follow which models, and which of them load a new
// version next.
//
// The package does no I/O, starts no goroutines and does not read the clock.
package weights
