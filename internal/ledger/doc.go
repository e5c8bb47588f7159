// Package ledger is a replicated state machine that derives the state of batch jobs from the
// records of the shared log.
//
// Every node applies the same records in the same order and therefore holds the same
// jobs with the same results at the same positions:
//
//   - The first submission of a job id is applied; later ones are ignored.
//   - The first result of an item is applied; its position is the number of results
//     that the job had before. Applying is therefore idempotent: a record that is appended
//     twice, by a writer that did not receive the response or by one that was replaced and
//     has not noticed yet, changes nothing.
//   - Progress stores the text of items whose generation is not finished, so that another
//     executor can resume them. A part is applied only if it starts a new text or follows
//     the last stored part.
//
// Correctness therefore does not depend on a single writer. The package does no I/O and no
// locking; callers synchronize access.
package ledger
