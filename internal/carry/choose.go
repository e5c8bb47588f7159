package carry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/pathbend/pathbend/internal/election"
	"github.com/pathbend/pathbend/internal/locality"
)

// Node is a node that takes calls of others.
type Node struct {
	Name    string
	Zone    string
	Address string
	// Millicores is the processor time a second that its machine may use.
	Millicores uint64
}

// Choose returns the worker for work of some regions, false if no node may be it: the first
// of a fixed order among the nodes there with a large machine, or among all if there is
// none. Every node that decides chooses alike, so that a successor finds the texts that
// the worker holds. avoided reports nodes that failed of late.
func Choose(nodes []Node, topology locality.Topology, regions locality.Regions, avoided func(name string) bool) (Node, bool) {
	var allowed []Node
	view := election.View{}
	for _, node := range nodes {
		if node.Address != "" && regions.Allow(topology.Region(node.Zone)) && !avoided(node.Name) {
			allowed = append(allowed, node)
			view.Largest = max(view.Largest, node.Millicores)
		}
	}
	var chosen Node
	var best uint64
	found := false
	for _, node := range allowed {
		if !view.Regular(node.Millicores) {
			continue
		}
		weight := xxhash.Sum64String(regions.String() + "\x00" + node.Name)
		if !found || weight > best || weight == best && node.Name < chosen.Name {
			chosen, best, found = node, weight, true
		}
	}
	return chosen, found
}
