package platformnode

import (
	"context"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/result"
)

// Drain marks the node as draining and hands its share of the jobs over. Requests in progress
// continue, and new ones are accepted if their deadline is no later than end, when the node
// stops waiting for them.
func (n *Node) Drain(ctx context.Context, end time.Time) {
	if n.draining.Swap(true) {
		return
	}
	n.drainEnd.Store(&end)
	n.logger.Log(event.NodeDraining, "active", n.active.Load())
	n.worker.drain(ctx)
	n.ownership.Leave(ctx)
}

// Draining reports whether Drain was called.
func (n *Node) Draining() bool { return n.draining.Load() }

// checkDrain returns an error if the node stops before the deadline of a new request, so that
// it could be cut off while it runs. The error has no retry-after hint, as other nodes serve the
// request at once.
func (n *Node) checkDrain(deadline time.Time) error {
	end := n.drainEnd.Load()
	if end == nil || !deadline.After(*end) {
		return nil
	}
	return result.New(result.Draining, "the node stops before the request's deadline")
}
