// Package weights brings the engines of a pool to a weight version.
//
// Versions is the monotone register of versions that trainers announced: merged
// by maximum, so it may travel by gossip in any order. Plan is pure: from what
// the engines hold and the target version it derives the orders to give now.
// Engines first load the target beside the version they serve, all at once and
// limited by the weight store; then they switch in waves that leave the
// configured share of the pool serving. A half-switched engine is found by
// asking what it holds and is ordered to switch again.
package weights
