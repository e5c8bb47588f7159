// Package ownership keeps a node's share of the partitions of batch jobs.
//
// State: the generation and partitions that the group dealt out last, and when that was
// renewed. One goroutine, in Run, looks who holds the jobs, stands as package election
// decides, renews the share and gives it back; all else reads the state under a lock. Inputs
// are the group, what nodes announced of their machines, and whether this node is prepared to
// execute. It calls the group and the callback that hands over what is executed; who executes
// and orders asks Executes and MayOrder before each step.
package ownership
