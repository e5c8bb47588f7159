// Package duty names what only one node at a time may do for all: calls to the platform
// and to samplers that carry the holder's name and its fence. Who holds the right, and
// how two nodes that both take themselves for the holder are kept apart, is decided in
// one place (package hosted); this package is what the loops that make such calls share
// with it.
package duty

import (
	"context"
	"time"
)

// Right is under which a call is made.
type Right struct {
	// Holder is the machine that makes the call.
	Holder string
	// Fence rises whenever the holder changes.
	Fence uint64
}

// Holder tells whether this node may act.
type Holder interface {
	// MayAct reports whether this node holds the right, as far as it knows. It costs
	// nothing and is no right by itself.
	MayAct(now time.Time) bool
	// Claim writes down that a call about a subject is about to be made and returns
	// the right to make it, at once and only once; false if this node may not.
	Claim(ctx context.Context, subject string) (Right, bool)
}
