// Package idempotency ensures that a request with an idempotency key runs at most
// once, whichever nodes receive requests with that key.
//
// The key space is divided into shards, each with a replica group (package
// shard). Before a node sends a keyed request to a back end, a majority of the
// key's group must bind the key to that request; a replica binds a key once.
// Any two majorities intersect, so two requests never both win one key. A request
// needs no write to the platform's log, and the loss of one replica, or of a zone,
// does not make the shard unavailable.
//
// Replica is the state of one node's shards and does no I/O; Round evaluates the
// grants that an executor received. When the roster changes, a new member of a group
// fetches the entries of a majority of the former group before it grants claims, and
// a member that it fetched from grants no more claims of the former generation. Thus
// every earlier binding is visible to every later majority.
//
// A binding lasts for KeyLifetime. If a majority of a former group is lost at once,
// bindings may have been lost with it, and the shard refuses keyed requests, as not
// run, for KeyLifetime.
package idempotency
