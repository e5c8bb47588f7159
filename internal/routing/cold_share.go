package routing

import "github.com/pathbend/pathbend/internal/rendezvous"

// ColdBudgetShare returns the node's share of the requests per second that a cold endpoint
// may receive. Nodes compute it without communication: the first nodes in the endpoint's
// rendezvous order, at most as many as there are requests, get a share each, and the others
// get none. Nodes with the same membership view agree; during a partition each side spends
// the full budget once. A node that is missing from nodes has no share.
func ColdBudgetShare(requests int, nodes []string, node, endpoint string) int {
	ownHash, listed, rank := rendezvous.Weight(node, endpoint), false, 0
	for _, other := range nodes {
		if other == node {
			listed = true
			continue
		}
		hash := rendezvous.Weight(other, endpoint)
		if hash > ownHash || hash == ownHash && other < node {
			rank++
		}
	}
	recipients := min(len(nodes), requests)
	if !listed || rank >= recipients {
		return 0
	}
	share := requests / recipients
	if rank < requests%recipients {
		share++
	}
	return share
}
