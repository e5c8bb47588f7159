// Package coldlimit limits the requests per second that are sent to a sampler while it is
// cold, or while it may be cold without this node having learned of it.
//
// A cold sampler that gets far more requests than it can handle fails, so the limit holds
// for the requests of all nodes together. Two nodes may send work of the same jobs at once
// without knowing of each other: an executor that lost its lease and has not noticed it
// yet, and the executor that took over. A Budget therefore uses at most half of the limit.
// This needs no messages between nodes, and the new executor need not know what the former
// one sent in the last second.
package coldlimit
