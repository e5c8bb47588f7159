// Package election decides which nodes stand for the partitions of batch jobs.
//
// The log service deals partitions out evenly among the members of a group and
// knows nothing of the members' machines. Every node that enters or leaves makes
// it deal anew, and the jobs may pass to another node each time, which stops their
// runs and the orders to samplers. So one node is in the group at a time, the
// executor, and all others watch who holds what. The executor needs several times
// the processor time of any other node: a node whose machine is about as large as
// the largest enters as soon as nobody executes, a smaller one only if no larger
// one does so by its second look. Among machines of a size those near the log service go
// first: each result that the executor lists takes the way to the log and back twice. A
// node that executes is not replaced because a nearer one is there.
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
	// Far is set if the log service is far away from this node.
	Far bool
	// Reserve is set if other nodes are better prepared to execute: this one stands in as a
	// small one does. Unready is set while it could not execute: it does not enter.
	Reserve bool
	Unready bool
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

const (
	// vacantLooks is how many looks in a row must find no executor before a small node
	// stands in: one may fall into a handover to a larger one.
	vacantLooks = 2
	// farLooks is how many more a node waits that is far from the log service (chosen: a
	// nearer one enters at its next look).
	farLooks = 1
)

// looksNeeded is how many looks in a row must find no executor before a node enters.
func (v View) looksNeeded(regular bool) int {
	needed := 1
	if !regular {
		needed = vacantLooks
	}
	if v.Far {
		needed += farLooks
	}
	return needed
}

// Standing is the state of one node's candidacy. The zero value stands out.
type Standing struct {
	joined bool
	vacant int
}

// Joined reports whether the node is to be a member of the group.
func (s *Standing) Joined() bool { return s.joined }

// Look records a look at the owners by a node of this capacity. A failed look
// must not be handed in: it changes nothing.
func (s *Standing) Look(view View, millicores uint64) {
	regular := view.Regular(millicores) && !view.Reserve
	executes := false
	for _, owner := range view.Owners {
		if owner.Self {
			executes = executes || owner.Jobs
			continue
		}
		if view.yields(regular, owner) {
			s.joined, s.vacant = false, 0
			return
		}
	}
	if executes {
		// The share of a process that was here before is this node's still.
		s.joined, s.vacant = true, 0
		return
	}
	s.vacant++
	if s.Wanted(view, millicores) && !view.Unready {
		s.joined = true
	}
}

// Wanted reports whether nobody executed for so many looks that this node enters, if it is
// able to.
func (s *Standing) Wanted(view View, millicores uint64) bool {
	return s.vacant >= view.looksNeeded(view.Regular(millicores) && !view.Reserve)
}

// yields reports whether a node leaves the jobs to another owner. A node with a
// large machine does not leave them to a small one; a small one leaves them to
// whoever executes, and to any large owner.
func (v View) yields(regular bool, owner Owner) bool {
	if regular {
		return owner.Jobs && v.Regular(owner.Millicores)
	}
	return owner.Jobs || v.Regular(owner.Millicores)
}
