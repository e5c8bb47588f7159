package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	CrashNode       Kind = "crash_node"
	RestartNode     Kind = "planned_restart"
	PauseNode       Kind = "pause_node"
	CutZone         Kind = "cut_zone"
	CutOneWay       Kind = "cut_one_way"
	DelayPackets    Kind = "delay_packets"
	ResetConns      Kind = "reset_connections"
	LogDown         Kind = "log_down"
	LogSlow         Kind = "log_slow"
	LogLosesAnswers Kind = "log_loses_answers"
	ListFrozen      Kind = "list_frozen"
	CrashEngine     Kind = "crash_engine"
	FailSwitch      Kind = "fail_switch"
	CutStreams      Kind = "cut_streams"
	SlowEngine      Kind = "slow_engine"
	CrashBackEnd    Kind = "crash_back_end"
	LeaveBackEnd    Kind = "leave_back_end"
	LoseAnswers     Kind = "lose_answers"
	TruncateAnswers Kind = "truncate_answers"
	CrossAnswers    Kind = "cross_answers"
	RefuseRequests  Kind = "refuse_requests"
	RacingOperators Kind = "racing_operators"
)

// Kinds lists every kind of fault.
func Kinds() []Kind {
	return []Kind{
		CrashNode, RestartNode, PauseNode, CutZone, CutOneWay, DelayPackets, ResetConns,
		LogDown, LogSlow, LogLosesAnswers, ListFrozen, CrashEngine, FailSwitch, CutStreams, SlowEngine,
		CrashBackEnd, LeaveBackEnd, LoseAnswers, TruncateAnswers, CrossAnswers, RefuseRequests, RacingOperators,
	}
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind Kind
	// At is when it begins after the start of the traffic, For how long it
	// lasts.
	At  time.Duration
	For time.Duration
	// Target picks the host, modulo the number of candidates; Other a second.
	Target int
	Other  int
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	return fmt.Sprintf("%8v %-18s target %d/%d for %v", f.At.Round(time.Millisecond), f.Kind, f.Target, f.Other, f.For.Round(time.Millisecond))
}

// Schedule is a list of faults in order of time.
type Schedule struct {
	Seed     uint64
	Duration time.Duration
	Faults   []Fault
}

const (
	// settleTime is the end of a run in which no fault begins.
	settleTime = 60 * time.Second
	minFaults  = 5
	maxFaults  = 14
	maxLasting = 40 * time.Second
	minLasting = 200 * time.Millisecond
)

// Draw draws the schedule of a seed.
func Draw(seed uint64, duration time.Duration) Schedule {
	random := rand.New(rand.NewPCG(seed, 99))
	schedule := Schedule{Seed: seed, Duration: duration}
	kinds := Kinds()
	span := max(duration-settleTime, duration/2)
	for range minFaults + random.IntN(maxFaults-minFaults+1) {
		// Lengths are spread evenly over their orders of magnitude.
		lasting := time.Duration(float64(minLasting) * math.Pow(float64(maxLasting)/float64(minLasting), random.Float64()))
		schedule.Faults = append(schedule.Faults, Fault{
			Kind:   kinds[random.IntN(len(kinds))],
			At:     time.Duration(random.Int64N(int64(span))),
			For:    min(lasting, span),
			Target: random.IntN(1 << 16),
			Other:  random.IntN(1 << 16),
		})
	}
	slices.SortFunc(schedule.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return schedule
}
