// Package engine is the HTTP client of model engines (docs/ENGINES.md): token
// streams, load reports and fenced orders.
//
// Stream validates what it receives: every chunk must carry the id of its request
// and start at the token after the last one, so that a mixed-up or broken stream
// becomes an error instead of a wrong sample. A chunk names the weight version that
// generated its tokens; no other source of the version is trusted.
package engine
