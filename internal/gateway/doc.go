// Package gateway is the HTTP interface of a node for callers and trainers
// (docs/API.md).
//
// Handlers parse and check a request, then call the Service interfaces that the
// node implements. Every answer says in Pathbend-Run whether the request was
// run, and every refusal carries a numbered result code and, where it helps, a
// retry hint.
package gateway
