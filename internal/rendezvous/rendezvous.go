// Package rendezvous computes the weights of rendezvous hashing (highest random weight), with
// which every process derives the same order of candidates for a key without coordination.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of a candidate for a key; the candidate with the highest weight is
// preferred. It depends on nothing else, so every process computes the same order.
func Weight(key, candidate string) uint64 {
	// The separator occurs in no name; it keeps "ab"+"c" distinct from "a"+"bc".
	return xxhash.Sum64String(key + "\x00" + candidate)
}
