// Package examples embeds the example declarations, so that the demo needs no files
// besides its program.
package examples

import "embed"

// Files contains the declarations of the example templates and tenants.
//
//go:embed templates tenants
var Files embed.FS
