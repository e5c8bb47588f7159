// Package carry decides about runs of items that a worker carries for the node that
// decides: which node is the worker, whose calls a worker obeys, and which reports it still
// owes. Items and texts whose regions rule out the deciding node stay with the worker
// (docs/design/0016-regions.md). The package is pure.
package carry
