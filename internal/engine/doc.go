// Package engine speaks to model engines over HTTP (docs/ENGINES.md): token
// streams, load reports and fenced orders.
//
// Stream checks what it receives: every chunk must carry the request's own id
// and start at the token after the last one, so that a crossed or broken stream
// becomes an error instead of a wrong sample. A chunk names the weight version
// that produced its tokens; nothing else is taken as proof of a version.
package engine
