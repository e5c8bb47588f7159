// Package ledger folds the records of batch jobs into their state.
//
// Every node reads the same records in the same order and so holds the same
// jobs with the same results at the same positions:
//
//   - The first submission of a job id counts; later ones are dropped.
//   - The first result of an item counts; its position is the number of results
//     that the job had before. So a record that is appended twice, by a writer
//     that did not hear the answer or by one that was replaced and does not know
//     it yet, changes nothing.
//   - Progress keeps the text of items that are still generated, so that another
//     executor goes on from there. It counts only if it extends what is kept.
//
// Correctness therefore needs no single writer. The package is pure; callers
// hold the lock.
package ledger
