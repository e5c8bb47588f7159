// Package election decides which nodes compete for the partitions of batch jobs.
//
// The log service distributes partitions evenly among the members of a group, without
// regard to the capacity of their machines. It rebalances whenever a member joins or
// leaves, and each time the jobs may move to another node, which stops their runs and the
// orders to samplers. So only one node, the executor, is in the group at a time, and all
// others observe who owns the partitions.
//
// The executor needs several times the processor time of any other node. A node whose
// machine is about as large as the largest joins as soon as there is no executor; a smaller
// one joins only if no larger one has done so by its second observation. Among machines of
// similar size those near the log service join first, since each result that the executor
// records takes two round trips to the log. A running executor is not replaced by a node
// nearer to the log service.
//
// The package does no I/O: callers supply what they have read from the log and the group.
package election

// View is what a node knows when it decides. Capacities are in thousandths of a core, or 0
// if unknown.
type View struct {
	// Largest is the capacity of the largest known node.
	Largest uint64
	// Owners are the members that own partitions.
	Owners []Owner
	// FarFromLog is set if the log service is far away from this node.
	FarFromLog bool
	// Standby is set if other nodes are better prepared to execute: this node then joins
	// only under the conditions of a small one. NotReady is set while this node could not
	// execute: it does not join then.
	Standby  bool
	NotReady bool
}

// Owner is a group member that owns a partition.
type Owner struct {
	Millicores uint64
	// Self is set if the owner is this node.
	Self bool
	// OwnsJobs is set if the member owns the partition of the jobs, which makes it the executor.
	OwnsJobs bool
}

// IsLarge reports whether a node of this capacity is about as large as the largest: more
// than half of its capacity. Nodes of unknown capacity count as large.
func (v View) IsLarge(millicores uint64) bool {
	return millicores == 0 || 2*millicores > v.Largest
}

const (
	// smallNodeObservations is the number of consecutive observations without an executor
	// after which a small node joins. A single one may fall into a handover to a larger
	// node.
	smallNodeObservations = 2
	// extraFarObservations is the number of additional observations required of a node far
	// from the log service. In that time a nearer node makes its next observation and
	// joins.
	extraFarObservations = 1
)

// requiredObservations returns the number of consecutive observations without an executor
// after which a node joins. A preferred node is large and not a standby.
func (v View) requiredObservations(preferred bool) int {
	required := 1
	if !preferred {
		required = smallNodeObservations
	}
	if v.FarFromLog {
		required += extraFarObservations
	}
	return required
}

// Candidate is the state of one node in the election. The zero value is not a member of the
// group.
type Candidate struct {
	joined bool
	// vacantObservations counts the consecutive observations in which this node neither
	// executed nor deferred to an owner.
	vacantObservations int
}

// Joined reports whether the node should be a member of the group.
func (c *Candidate) Joined() bool { return c.joined }

// Observe updates the state with an observation of the owners by a node of this capacity. It
// must not be called if the owners could not be read.
func (c *Candidate) Observe(view View, millicores uint64) {
	preferred := view.IsLarge(millicores) && !view.Standby
	executes := false
	for _, owner := range view.Owners {
		if owner.Self {
			executes = executes || owner.OwnsJobs
			continue
		}
		if view.defersTo(preferred, owner) {
			c.joined, c.vacantObservations = false, 0
			return
		}
	}
	if executes {
		// A partition that this node owned before its process restarted still belongs to
		// it.
		c.joined, c.vacantObservations = true, 0
		return
	}
	c.vacantObservations++
	if c.ShouldJoin(view, millicores) && !view.NotReady {
		c.joined = true
	}
}

// ShouldJoin reports whether the node has made enough consecutive observations without an
// executor to join, whether or not it is ready to.
func (c *Candidate) ShouldJoin(view View, millicores uint64) bool {
	return c.vacantObservations >= view.requiredObservations(view.IsLarge(millicores) && !view.Standby)
}

// defersTo reports whether a node leaves the jobs to another owner. A preferred node defers
// only to a large executor. Any other node defers to every executor, and to every large
// owner.
func (v View) defersTo(preferred bool, owner Owner) bool {
	if preferred {
		return owner.OwnsJobs && v.IsLarge(owner.Millicores)
	}
	return owner.OwnsJobs || v.IsLarge(owner.Millicores)
}
