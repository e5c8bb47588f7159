// Package gateway is the HTTP interface of a node for callers and trainers
// (docs/API.md).
//
// Handlers parse and validate a request, then call the interfaces of Services, which
// the node implements. Every answer states in the header Pathbend-Run whether the
// request was executed. Every error has a numbered result code and, where the caller
// should wait before it repeats the request, a retry delay.
package gateway
