// Package keyed runs requests that carry an idempotency key at most once.
//
// Executor binds the key at a majority of its replica group (package
// idempotency), runs the request, and stores the outcome for duplicate requests.
// A duplicate at any node finds the binding and fetches the outcome from the
// executor that holds it. If that executor has failed, the outcome is unknown and
// the duplicate is answered with result.KeyOutcomeLost.
package keyed
