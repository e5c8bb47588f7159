// Package ownership maintains a node's partition assignment in the consumer group that
// distributes batch jobs.
//
// The state is the generation and partitions that the group assigned last, and the time of
// the last renewal. One goroutine, in Run, observes the owners of the partitions, joins and
// leaves the group as package election decides, and renews and releases the assignment;
// other goroutines read the state under a mutex. Inputs are the group, the capacities that
// nodes announced, and whether this node is prepared to execute jobs. The package calls the
// group and the callbacks that save the state of running work and report changes. Code that
// executes jobs or sends orders to samplers calls ShouldExecute or OrderFencingToken before
// each step.
package ownership
