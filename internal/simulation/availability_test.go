package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlannedRestartsFailNoRequest restarts every node in turn under load. No
// request may fail, although requests take so long that some are in progress at
// any time.
func TestPlannedRestartsFailNoRequest(t *testing.T) {
	schedule := Schedule{Seed: 5, Duration: 2 * time.Minute}
	for i := range 3 {
		schedule.Faults = append(schedule.Faults, Fault{
			Kind: RestartNode, At: time.Duration(10+30*i) * time.Second, For: 2 * time.Second, Target: i,
		})
	}
	options := DefaultOptions()
	options.Load.TerangaRate, options.Load.KarriRate = 20, 20
	options.ServiceTime = 150 * time.Millisecond
	report := runSchedule(t, schedule, options)
	require.Empty(t, report.Violations)
	require.Empty(t, report.Summary.Refusals)
	require.Equal(t, report.Summary.Requests, report.Summary.Answered)
	t.Log("longest gaps between answers:", report.LongestGap)
}

// TestNodeCrashCausesNoLongGap crashes a node for a minute. The other nodes have to
// keep answering requests, without a gap of 2 s or more on any route.
func TestNodeCrashCausesNoLongGap(t *testing.T) {
	schedule := Schedule{Seed: 6, Duration: 90 * time.Second, Faults: []Fault{
		{Kind: CrashNode, At: 20 * time.Second, For: 60 * time.Second, Target: 0},
	}}
	options := DefaultOptions()
	options.Load.TerangaRate, options.Load.KarriRate = 20, 20
	report := runSchedule(t, schedule, options)
	require.Empty(t, report.Violations)
	t.Log("longest gaps between answers:", report.LongestGap, "refusals:", report.Summary.Refusals)
	for _, route := range []string{"lookup", "authorise"} {
		require.Less(t, report.LongestGap[route], 2*time.Second, route)
	}
}

// TestLogOutageStopsNoTraffic makes the log unavailable for most of the run.
// Requests and training steps have to continue.
func TestLogOutageStopsNoTraffic(t *testing.T) {
	schedule := Schedule{Seed: 7, Duration: 2 * time.Minute, Faults: []Fault{
		{Kind: LogDown, At: 5 * time.Second, For: 100 * time.Second},
	}}
	report := runSchedule(t, schedule, DefaultOptions())
	require.Empty(t, report.Violations)
	require.Empty(t, report.Summary.Refusals)
	for tenant, steps := range report.Steps {
		require.Greater(t, steps, 5, tenant)
	}
}
