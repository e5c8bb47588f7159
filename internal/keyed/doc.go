// Package keyed runs requests that carry an idempotency key at most once.
//
// Executor binds the key at a majority of its replica group (package
// idempotency), runs the request, and keeps the answer for repeats. A repeat at
// any node finds the binding and fetches the answer from the executor that has
// it. If that executor is gone, the outcome is unknown and says so.
package keyed
