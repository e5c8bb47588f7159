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
	// muchFarther is by how many times the round trip changes before that is told: a log
	// that is twice as far is another deployment, or is slow (chosen).
	muchFarther = 2
	// nearEnough is a round trip below which no difference matters: all that is added to
	// the constants for a log next door is nothing there (chosen).
	nearEnough = 25 * time.Millisecond
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
	if told.Smoothed == 0 || now.Smoothed == 0 {
		return now.Smoothed > 0
	}
	before, after := max(told.Smoothed, nearEnough), max(now.Smoothed, nearEnough)
	return after >= muchFarther*before || before >= muchFarther*after
}
