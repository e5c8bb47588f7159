package routing

// ColdShare divides what a cold endpoint may get in a second among nodes, without a
// message: the first nodes in its rendezvous order get a part each, at most as many as
// there are requests to give, the others none. Nodes that know of the same nodes agree;
// where two sets of nodes do not know of each other, each set spends the whole once. A
// node that is not among the known ones has no part.
func ColdShare(requests int, nodes []string, node, endpoint string) int {
	own, known, before := rendezvousHash(node, endpoint), false, 0
	for _, other := range nodes {
		if other == node {
			known = true
			continue
		}
		hash := rendezvousHash(other, endpoint)
		if hash > own || hash == own && other < node {
			before++
		}
	}
	owners := min(len(nodes), requests)
	if !known || before >= owners {
		return 0
	}
	share := requests / owners
	if before < requests%owners {
		share++
	}
	return share
}
