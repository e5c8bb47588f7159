// Package idempotency makes sure that a request marked as not to be repeated
// runs at most once, whichever nodes see its key.
//
// The key space is divided into shards, each with a replica group (package
// shard). Before a node sends a keyed request to a back end, a majority of the
// key's group must bind the key to that request; a replica binds a key once.
// Two majorities intersect, so two requests never both win one key. No write to
// the platform's log is needed for a request, and the loss of one replica, or
// of a zone, does not stop the shard.
//
// Replica is the pure state of one node's shards; Round evaluates the grants
// that an executor collected. When the roster changes, a new member of a group
// fetches the entries of a majority of the former group before it grants
// anything, and whoever it asks grants nothing in the former generation any
// more. That keeps every earlier binding visible to every later majority.
//
// A binding lasts for KeyLifetime. If a majority of a former group is lost at
// once, the shard refuses keyed requests, as not run, for that long: bindings
// may have been lost with it.
package idempotency
