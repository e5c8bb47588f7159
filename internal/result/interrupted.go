package result

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrNodeStopping is the cause with which a node cancels the contexts of the requests that are
// still in progress when it stops.
var ErrNodeStopping = errors.New("the node is stopping")

// Interrupted returns the error of a request whose context was cancelled before its outcome was
// known: NodeStopped if the cause is ErrNodeStopping, else CallerGone.
func Interrupted(ctx context.Context) *Error {
	if errors.Is(context.Cause(ctx), ErrNodeStopping) {
		return New(NodeStopped, "the node stopped before the request was answered")
	}
	return New(CallerGone, "the caller disconnected before the request was answered")
}
