// Package schedule decides which sampler generates which item of the open batch
// jobs, when an item moves to another sampler and when it is given up.
//
// One executor holds the Scheduler of all jobs before a fleet of samplers, so
// its own books say how loaded each sampler is. The order of work is: the job
// that is due first, in it the groups that an earlier job brought already, then
// the groups with the longest expected item. Of the samplers that serve a
// usable weight version and have a free slot, the one that is expected to
// finish the item first gets it; a sampler that has read the group's shared
// prompt is preferred among nearly equal ones.
//
// The package is pure: callers pass the time and hold the lock.
package schedule
