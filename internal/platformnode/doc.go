// Package platformnode implements a node that keeps its shared state in a log service
// run by the platform, rather than in streams and replicas of its own.
//
// Every node forwards requests, accepts batch jobs and serves reads of them: it
// follows the log and holds the state of all jobs. The log service assigns the
// partitions of the jobs to nodes; the node that holds a partition, the executor,
// schedules the jobs in it and orders the samplers to change weights. Results
// need no fencing token: the first result of an item in the log counts, whichever
// node wrote it. Orders carry the generation of the group as their fencing token,
// and a new holder waits until no order of the previous one can be in flight.
//
// The package contains the decisions and control loops; the platform's protocols
// are behind the interfaces of ports.go.
package platformnode
