package platformnode

import (
	"context"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/roundtrip"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// roundTripCheckInterval is how often a node checks the round trip to the log.
	roundTripCheckInterval = 2 * time.Second
	// roundTripChangeFactor is the factor by which the round trip must change to be logged: a
	// log with twice the round trip is another deployment, or is slow.
	roundTripChangeFactor = 2
	// minNotableRoundTrip is a round trip below which differences do not matter: the amount
	// that it adds to timeouts meant for a nearby log is negligible.
	minNotableRoundTrip = 25 * time.Millisecond
)

// logRoundTripChanges logs the round trip to the log service when it changes significantly.
func (n *Node) logRoundTripChanges(ctx context.Context) {
	var logged roundtrip.Estimate
	wait.Every(ctx, roundTripCheckInterval, func() {
		current := n.log.RoundTrip().Estimate()
		if !changedSignificantly(logged, current) {
			return
		}
		logged = current
		n.logger.Log(event.LogDistanceChanged, "smoothed_ms", current.Smoothed.Milliseconds(),
			"deviation_ms", current.Deviation.Milliseconds(), "timeout_ms", current.Timeout.Milliseconds())
	})
}

// changedSignificantly reports whether an estimate differs enough from the one logged last to
// be logged. An estimate without any answer from the log never is.
func changedSignificantly(previous, current roundtrip.Estimate) bool {
	if previous.Smoothed == 0 || current.Smoothed == 0 {
		return current.Smoothed > 0
	}
	before, after := max(previous.Smoothed, minNotableRoundTrip), max(current.Smoothed, minNotableRoundTrip)
	return after >= roundTripChangeFactor*before || before >= roundTripChangeFactor*after
}
