package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault. Its value is printed in reports.
type FaultKind string

// The kinds of faults.
const (
	CrashNode           FaultKind = "crash_node"
	RestartNode         FaultKind = "planned_restart"
	PauseNode           FaultKind = "pause_node"
	CutZone             FaultKind = "cut_zone"
	CutOneWay           FaultKind = "cut_one_way"
	DelayPackets        FaultKind = "delay_packets"
	ResetConns          FaultKind = "reset_connections"
	LogDown             FaultKind = "log_down"
	LogSlow             FaultKind = "log_slow"
	LoseAppendAnswers   FaultKind = "log_loses_answers"
	MachineListFrozen   FaultKind = "list_frozen"
	CrashEngine         FaultKind = "crash_engine"
	FailSwitch          FaultKind = "fail_switch"
	CutStreams          FaultKind = "cut_streams"
	SlowEngine          FaultKind = "slow_engine"
	CrashBackEnd        FaultKind = "crash_back_end"
	LeaveBackEnd        FaultKind = "leave_back_end"
	LoseAnswers         FaultKind = "lose_answers"
	TruncateAnswers     FaultKind = "truncate_answers"
	MismatchAnswers     FaultKind = "cross_answers"
	RefuseRequests      FaultKind = "refuse_requests"
	ConcurrentPublishes FaultKind = "racing_operators"
)

// FaultKinds returns every kind of fault. The schedule of a seed depends on their
// order.
func FaultKinds() []FaultKind {
	return []FaultKind{
		CrashNode, RestartNode, PauseNode, CutZone, CutOneWay, DelayPackets, ResetConns,
		LogDown, LogSlow, LoseAppendAnswers, MachineListFrozen, CrashEngine, FailSwitch, CutStreams, SlowEngine,
		CrashBackEnd, LeaveBackEnd, LoseAnswers, TruncateAnswers, MismatchAnswers, RefuseRequests, ConcurrentPublishes,
	}
}

// Fault is one injected fault of a schedule.
type Fault struct {
	Kind FaultKind
	// At is when the fault starts, counted from the start of the traffic; For is
	// how long it lasts.
	At  time.Duration
	For time.Duration
	// Target selects the host, modulo the number of candidates. Parameter selects
	// a second host, a delay or a count, depending on Kind.
	Target    int
	Parameter int
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	return fmt.Sprintf("%8v %-18s target %d/%d for %v", f.At.Round(time.Millisecond), f.Kind, f.Target, f.Parameter, f.For.Round(time.Millisecond))
}

// Schedule is a list of faults in the order in which they start.
type Schedule struct {
	Seed     uint64
	Duration time.Duration
	Faults   []Fault
}

const (
	// faultFreeTime is the part at the end of a run in which no fault starts. It is
	// at most half of the run.
	faultFreeTime    = 60 * time.Second
	minFaults        = 5
	maxFaults        = 14
	maxFaultDuration = 40 * time.Second
	minFaultDuration = 200 * time.Millisecond
)

// NewSchedule returns the schedule that a seed determines.
func NewSchedule(seed uint64, duration time.Duration) Schedule {
	random := rand.New(rand.NewPCG(seed, 99))
	schedule := Schedule{Seed: seed, Duration: duration}
	kinds := FaultKinds()
	startWindow := max(duration-faultFreeTime, duration/2)
	for range minFaults + random.IntN(maxFaults-minFaults+1) {
		// Fault durations are distributed log-uniformly.
		faultDuration := time.Duration(float64(minFaultDuration) * math.Pow(float64(maxFaultDuration)/float64(minFaultDuration), random.Float64()))
		schedule.Faults = append(schedule.Faults, Fault{
			Kind:      kinds[random.IntN(len(kinds))],
			At:        time.Duration(random.Int64N(int64(startWindow))),
			For:       min(faultDuration, startWindow),
			Target:    random.IntN(1 << 16),
			Parameter: random.IntN(1 << 16),
		})
	}
	slices.SortFunc(schedule.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return schedule
}
