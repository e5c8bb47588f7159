package client

import (
	"sync"
	"time"
)

// avoidDuration is how long a node that did not respond is tried last. A frozen machine
// recovers after seconds; trying it too early costs one attempt.
const avoidDuration = 2 * time.Second

// nodes determines the order in which nodes are tried. It is safe for concurrent use.
type nodes struct {
	// spread rotates the first node instead of preferring the one that responded last.
	spread bool

	mutex sync.Mutex
	// first is the index of the node that responded last or, with spread, of the next node
	// in rotation.
	first int
	// avoidUntil holds, by node, the time until which the node is tried last.
	avoidUntil []time.Time
}

func newNodes(addresses []string, spread bool) *nodes {
	return &nodes{spread: spread, avoidUntil: make([]time.Time, len(addresses))}
}

// order returns the indices of all nodes in the order in which to try them.
func (n *nodes) order(now time.Time) []int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var order, avoided []int
	for i := range n.avoidUntil {
		node := (n.first + i) % len(n.avoidUntil)
		if now.Before(n.avoidUntil[node]) {
			avoided = append(avoided, node)
			continue
		}
		order = append(order, node)
	}
	if n.spread {
		n.first = (n.first + 1) % len(n.avoidUntil)
	}
	return append(order, avoided...)
}

// markResponsive records that a node responded.
func (n *nodes) markResponsive(node int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.avoidUntil[node] = time.Time{}
	if !n.spread {
		n.first = node
	}
}

// markUnresponsive records that no valid response came from a node.
func (n *nodes) markUnresponsive(node int, now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.avoidUntil[node] = now.Add(avoidDuration)
}
