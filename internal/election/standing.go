// Package election decides which nodes stand for the partitions of batch jobs.
//
// The log service deals partitions out evenly among the members of a group and
// knows nothing of the members' machines. The executor of all jobs needs several
// times the processor time of any other node, so only nodes whose machine is
// about as large as the largest enter the group. A smaller node watches, and
// stands in while no larger one holds a partition.
//
// The package is pure: callers bring what was read of the log and the group.
package election

// View is what a node knows at the time of a decision. Capacities are in
// thousandths of a core, 0 if unknown.
type View struct {
	// Largest is the capacity of the largest node known.
	Largest uint64
	// Owners are the members that hold partitions.
	Owners []Owner
}

// Owner is a member that holds a partition.
type Owner struct {
	Millicores uint64
	// Self is set if it is this node.
	Self bool
	// Jobs is set if it holds the partition that is to be executed.
	Jobs bool
}

// Regular reports whether a node of this capacity enters the group at any time:
// its machine is more than half as large as the largest. Unknown capacities
// count as regular.
func (v View) Regular(millicores uint64) bool {
	return millicores == 0 || 2*millicores > v.Largest
}

// vacantLooks is how many looks in a row must find no executor before a node
// stands in: one may fall into a handover.
const vacantLooks = 2

// Standing is the state of one node's candidacy. The zero value stands out.
type Standing struct {
	joined bool
	vacant int
}

// Joined reports whether the node is to be a member of the group.
func (s *Standing) Joined() bool { return s.joined }

// Regular takes in that the node enters the group whoever else is in it.
func (s *Standing) Regular() { s.joined, s.vacant = true, 0 }

// Look takes in a look at the owners by a node that is not regular. A failed
// look must not be handed in: it changes nothing.
func (s *Standing) Look(view View) {
	executes := false
	for _, owner := range view.Owners {
		// One stand-in is enough. More would hold all partitions, and the group
		// would have none for a large node that comes back.
		if !owner.Self && (owner.Jobs || view.Regular(owner.Millicores)) {
			s.joined, s.vacant = false, 0
			return
		}
		executes = executes || owner.Jobs
	}
	if executes {
		s.vacant = 0
		return
	}
	if s.vacant++; s.vacant >= vacantLooks {
		s.joined = true
	}
}
