// Package quarantine stops requests that repeatedly crash back ends.
//
// A request that crashes every back end it runs on is retried under other ids and at other
// nodes, and would crash one back end after another. All attempts of a request are
// correlated by a digest of their content. Each node records which back ends crashed, that
// is, terminated, while running a digest and publishes that to the other nodes. Once a digest
// has reached the policy's crash limit, nodes send it no more, except for a few widely spaced
// trials, each by a single node: these restore requests that merely ran beside the one that
// caused the crashes. A request that a back end completes is cleared.
//
// Registry is the state: one record per digest, and a merge that is commutative and
// idempotent except for the winner of a trial, which is the first claim in the log and
// otherwise the first to arrive. So records may be repeated, delayed and reordered. Guard
// applies the state to the requests of one node.
package quarantine
