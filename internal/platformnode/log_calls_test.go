package platformnode

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/event"
)

// Only a second in which calls failed is logged, with all its calls: a failure means little
// without the load beside it.
func TestSecondWithFailedCallsIsLoggedAsAWhole(t *testing.T) {
	var output bytes.Buffer
	summary := newLogCallSummary(event.NewLogger(&output, slog.LevelInfo))
	now := time.Unix(100, 0)
	read := LogCall{Operation: "read", Topic: "jobs", Route: LogDirect, Outcome: LogAnswered, Bytes: 7, Hold: 600 * time.Millisecond, Took: 640 * time.Millisecond}
	summary.add(read, now)
	canceled := read
	canceled.Outcome = LogCanceled
	summary.add(canceled, now)
	summary.add(read, now.Add(logCallWindow))
	require.Empty(t, output.String(), "nothing failed in the first second")

	timedOut := LogCall{Operation: "read", Topic: "jobs", Route: LogRelayed, Outcome: LogTimedOut, Took: 900 * time.Millisecond}
	summary.add(timedOut, now.Add(logCallWindow+time.Millisecond))
	summary.add(read, now.Add(2*logCallWindow))
	var line struct {
		Msg    string          `json:"msg"`
		Failed int             `json:"failed"`
		Calls  []logCallTotals `json:"calls"`
	}
	require.NoError(t, json.Unmarshal(output.Bytes(), &line))
	require.Equal(t, "log_calls_failed", line.Msg)
	require.Equal(t, 1, line.Failed)
	require.Equal(t, []logCallTotals{
		{Call: "read jobs direct", Answered: 1, Bytes: 7, SlowestMS: 40},
		{Call: "read jobs relayed", TimedOut: 1, SlowestMS: 900},
	}, line.Calls)
}
