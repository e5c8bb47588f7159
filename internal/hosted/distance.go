package hosted

import (
	"context"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/roundtrip"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// distanceInterval is how often a node looks how far away the log is (chosen).
	distanceInterval = 2 * time.Second
	// muchFarther is by how many times a time-out changes before it is told: a log that is
	// twice as far is another deployment, or is slow (chosen).
	muchFarther = 2
)

// tellDistance logs how far away the log is, when that changes much.
func (n *Node) tellDistance(ctx context.Context) {
	var told roundtrip.Estimate
	wait.Every(ctx, distanceInterval, func() {
		now := n.log.Way().Read()
		if !differsMuch(told, now) {
			return
		}
		told = now
		n.logger.Log(event.LogDistanceChanged, "smoothed_ms", now.Smoothed.Milliseconds(),
			"deviation_ms", now.Deviation.Milliseconds(), "timeout_ms", now.Timeout.Milliseconds())
	})
}

// differsMuch reports whether an estimate is worth a line after the one that was told
// last. That of a node that heard no answer yet is not.
func differsMuch(told, now roundtrip.Estimate) bool {
	return now.Smoothed > 0 && (now.Timeout >= muchFarther*told.Timeout || told.Timeout >= muchFarther*now.Timeout)
}
