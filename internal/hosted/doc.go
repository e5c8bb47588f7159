// Package hosted is a node whose shared state lies in a log service that a
// platform runs, rather than in streams and replicas of the nodes' own.
//
// Every node answers requests, takes batch jobs and reads of them: it follows
// the log and holds all jobs. The log service deals the partitions of the jobs
// out to the nodes; the node that holds a partition executes the jobs in it and
// orders the samplers to change weights. Results need no fence: the first one
// of an item in the log counts, whoever wrote it. Orders carry the generation
// of the group as their fence, and a new holder waits until no order of the
// former one can be on its way.
//
// The package decides and drives; what is spoken with the platform is behind
// the interfaces of ports.go.
package hosted
