// Package schedule decides which sampler generates which item of the open batch
// jobs, when an item moves to another sampler, and when an item is given up.
//
// A single executor schedules all jobs of a fleet of samplers, so its own state
// tells how loaded each sampler is. Items start in the order of the latest time at
// which they can start and still complete before their job is due. Within a job,
// groups that an earlier job already submitted come first, then the groups with the
// longest expected item. Of the samplers that serve an accepted weight version and
// have a free slot, the one with the lowest estimated time for the item is selected.
// The estimate favors a sampler whose prefix cache holds the group's shared prompt.
//
// The package does no I/O, starts no goroutines and does not read the clock:
// callers pass the time and serialize access.
package schedule
