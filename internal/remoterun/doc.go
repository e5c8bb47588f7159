// Package remoterun holds the rules for batch items that a worker runs on behalf of the executor
// in another region: which node is the worker, which executor's calls the worker accepts, and
// which reports the executor has not acknowledged. Items and texts that are bound to regions
// other than the executor's stay with the worker (docs/design/0016-regions.md). The package
// performs no I/O and reads no clock.
package remoterun
