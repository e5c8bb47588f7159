package simulation

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	firstSeed = flag.Uint64("first-seed", 1, "first seed of TestSeeds")
	seeds     = flag.Uint64("seeds", 4, "number of seeds of TestSeeds")
	duration  = flag.Duration("duration", 3*time.Minute, "duration of a run in virtual time")
	traceRun  = flag.Bool("trace", false, "print the trace and the node logs of each run")
	showHash  = flag.Bool("hash", false, "print the trace hash of each seed")
)

// runSchedule executes a schedule in its own synctest bubble.
func runSchedule(t *testing.T, schedule Schedule, options Options) Report {
	t.Helper()
	var report Report
	synctest.Test(t, func(t *testing.T) {
		var err error
		report, err = Run(schedule, options)
		require.NoError(t, err)
	})
	return report
}

// TestSeeds runs the schedules of consecutive seeds and fails on any violation.
func TestSeeds(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			options := DefaultOptions()
			if *traceRun {
				options.Trace, options.Logs = os.Stdout, os.Stdout
			}
			report := runSchedule(t, NewSchedule(seed, *duration), options)
			if *showHash {
				t.Logf("seed %d hash %016x", seed, report.TraceHash)
			}
			if len(report.Violations) > 0 {
				logFailure(t, report)
			}
		})
	}
}

// logFailure logs the faults and violations of a failed run and the command that
// repeats it.
func logFailure(t *testing.T, report Report) {
	t.Helper()
	for _, fault := range report.Schedule.Faults {
		t.Log(fault)
	}
	t.Logf("repeat with: go test ./internal/simulation -run 'TestSeeds/seed=%d$' -first-seed=%d -seeds=1 -duration=%v -trace",
		report.Schedule.Seed, report.Schedule.Seed, report.Schedule.Duration)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
}

// TestRunWithoutFaultsHasNoFailure fails on any violation or refusal in a run without
// faults.
func TestRunWithoutFaultsHasNoFailure(t *testing.T) {
	report := runSchedule(t, Schedule{Seed: 1, Duration: time.Minute}, DefaultOptions())
	require.Empty(t, report.Violations)
	require.Empty(t, report.Summary.Refusals)
	require.Positive(t, report.Summary.Samples)
}
