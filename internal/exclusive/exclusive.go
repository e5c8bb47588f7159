// Package exclusive declares the interface for calls that only one node at a time, the holder,
// may make on behalf of all nodes: calls to the platform and to samplers that carry the name of
// the holder and its fencing token. Package platformnode determines which node is the holder,
// and which of two nodes that both consider themselves the holder may make a call; the loops
// that make such calls depend on this package only.
package exclusive

import (
	"context"
	"time"
)

// Permit is the permission to make one call.
type Permit struct {
	// Holder is the name of the node that makes the call.
	Holder string
	// Fence is the fencing token: it increases whenever the holder changes.
	Fence uint64
}

// Holder grants this node permits for exclusive calls.
type Holder interface {
	// IsHolder reports whether this node is the holder as far as it knows. It makes no
	// remote calls; the answer alone does not permit a call.
	IsHolder(now time.Time) bool
	// AcquirePermit records that this node is about to make a call about a subject, and returns
	// the permit for it. The permit covers one call, which must be made immediately. It reports
	// false if this node may not make the call.
	AcquirePermit(ctx context.Context, subject string) (Permit, bool)
}
