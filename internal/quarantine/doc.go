// Package quarantine keeps requests from back ends that end under them.
//
// A request that crashes whatever runs it comes again, under another id and at another node,
// and would take one back end after another with it. Its tries are joined by the digest of
// their content. Each node records under which digests back ends ended and tells the others;
// once back ends ended under a digest as often as the policy allows, no node sends it any
// more but for a few trials, far apart and by one node each, so that a request which only
// stood beside the cause is served again. A request that a back end survives is cleared.
//
// Book is the state: a record for each digest, and a merge of two records that is
// commutative and idempotent but for the winner of a trial, which is the first in a log and
// otherwise whoever comes first. So records may be repeated, come late or in any order.
// Guard drives it for the requests of one node.
package quarantine
