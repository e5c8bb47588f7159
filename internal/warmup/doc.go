// Package warmup bounds the requests that a sampler gets in a second while it is cold,
// or may be cold without this node having learned of it.
//
// A cold sampler that gets far more than it bears falls over, so the bound holds for what
// all nodes send together. Two nodes may send work of the same jobs at once without
// knowing of each other: an executor that lost its lease and has not noticed, and the
// one that took over. A Budget therefore spends at most half of the bound. No message is
// needed, and what a former executor sent in the last second needs not be known.
package warmup
