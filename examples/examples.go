// Package examples embeds the example declarations, so that the demo runs
// without files beside it.
package examples

import "embed"

// Files holds the example templates and tenants.
//
//go:embed templates tenants
var Files embed.FS
