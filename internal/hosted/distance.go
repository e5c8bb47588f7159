package hosted

import (
	"context"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/roundtrip"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// roundTripCheckInterval is how often a node looks how far away the log is (chosen).
	roundTripCheckInterval = 2 * time.Second
	// roundTripChangeFactor is by how many times the round trip changes before that is told: a log
	// that is twice as far is another deployment, or is slow (chosen).
	roundTripChangeFactor = 2
	// minNotableRoundTrip is a round trip below which no difference matters: all that is added to
	// the constants for a log next door is nothing there (chosen).
	minNotableRoundTrip = 25 * time.Millisecond
)

// logRoundTripChanges logs how far away the log is, when that changes much.
func (n *Node) logRoundTripChanges(ctx context.Context) {
	var logged roundtrip.Estimate
	wait.Every(ctx, roundTripCheckInterval, func() {
		current := n.log.Way().Read()
		if !changedSignificantly(logged, current) {
			return
		}
		logged = current
		n.logger.Log(event.LogDistanceChanged, "smoothed_ms", current.Smoothed.Milliseconds(),
			"deviation_ms", current.Deviation.Milliseconds(), "timeout_ms", current.Timeout.Milliseconds())
	})
}

// changedSignificantly reports whether an estimate is worth a line after the one that was told
// last. That of a node that heard no answer yet is not.
func changedSignificantly(previous, current roundtrip.Estimate) bool {
	if previous.Smoothed == 0 || current.Smoothed == 0 {
		return current.Smoothed > 0
	}
	before, after := max(previous.Smoothed, minNotableRoundTrip), max(current.Smoothed, minNotableRoundTrip)
	return after >= roundTripChangeFactor*before || before >= roundTripChangeFactor*after
}
