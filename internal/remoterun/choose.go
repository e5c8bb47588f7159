package remoterun

import (
	"github.com/cespare/xxhash/v2"

	"github.com/pathbend/pathbend/internal/election"
	"github.com/pathbend/pathbend/internal/locality"
)

// Node is a candidate for a worker. A node with an empty Address accepts no calls.
type Node struct {
	Name    string
	Zone    string
	Address string
	// Millicores is the CPU limit of its machine, in thousandths of a core.
	Millicores uint64
}

// ChooseWorker returns the worker for items that must stay in the given regions, or false if no
// node there is eligible. It picks the node with the highest rendezvous hash among those whose
// machines count as large beside the largest eligible one. Every executor makes the same choice,
// so that a successor finds the texts that the worker holds. avoided reports nodes that failed
// recently.
func ChooseWorker(nodes []Node, topology locality.Topology, regions locality.Regions, avoided func(name string) bool) (Node, bool) {
	var eligible []Node
	view := election.View{}
	for _, node := range nodes {
		if node.Address != "" && regions.Allows(topology.Region(node.Zone)) && !avoided(node.Name) {
			eligible = append(eligible, node)
			view.Largest = max(view.Largest, node.Millicores)
		}
	}
	var chosen Node
	var highest uint64
	found := false
	for _, node := range eligible {
		if !view.IsLarge(node.Millicores) {
			continue
		}
		hash := xxhash.Sum64String(regions.String() + "\x00" + node.Name)
		if !found || hash > highest || hash == highest && node.Name < chosen.Name {
			chosen, highest, found = node, hash, true
		}
	}
	return chosen, found
}
