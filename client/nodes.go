package client

import (
	"sync"
	"time"
)

// avoidFor is how long a node that did not answer is asked last. A frozen machine
// comes back after seconds; asking it then costs one attempt (chosen).
const avoidFor = 2 * time.Second

// nodes decides which node is asked first. It is safe for concurrent use.
type nodes struct {
	spread bool

	mutex sync.Mutex
	// first is the index of the node that answered last, or the next one in turn.
	first int
	// avoidUntil is, by node, until when it is asked last.
	avoidUntil []time.Time
}

func newNodes(addresses []string, spread bool) *nodes {
	return &nodes{spread: spread, avoidUntil: make([]time.Time, len(addresses))}
}

// order returns the indices of all nodes in the order in which to ask them.
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

// answered notes an answer of a node.
func (n *nodes) answered(node int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.avoidUntil[node] = time.Time{}
	if !n.spread {
		n.first = node
	}
}

// silent notes that a node did not answer.
func (n *nodes) silent(node int, now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.avoidUntil[node] = now.Add(avoidFor)
}
