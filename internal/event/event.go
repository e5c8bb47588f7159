// Package event defines the numbered log events of pathbend. Every line that
// the product logs carries one of them; docs/EVENTS.md lists them and a test
// holds that table and this package together.
package event

import (
	"context"
	"io"
	"log/slog"
)

// Number identifies a log event. Numbers are never reused.
type Number int

// Definition describes one event.
type Definition struct {
	Number Number
	// Name is the stable lower-case identifier.
	Name string
	// Level is the severity at which the event is logged.
	Level slog.Level
	// Meaning says what happened, Action what an operator should do.
	Meaning string
	Action  string
}

// Log events by subsystem.
const (
	NodeStarting      Number = 101
	NodeReady         Number = 102
	NodeDraining      Number = 103
	NodeStopped       Number = 104
	SettingsLoaded    Number = 105
	DrainTimedOut     Number = 106
	HandlerPanicked   Number = 107
	ConfigApplied     Number = 201
	ConfigRejected    Number = 202
	RecordSkipped     Number = 203
	LogReadFailed     Number = 204
	LogReadRecovered  Number = 205
	LogAppendFailed   Number = 206
	SnapshotAppended  Number = 207
	MemberJoined      Number = 301
	MemberSuspected   Number = 302
	MemberLeaving     Number = 303
	MemberDead        Number = 304
	MachineListFailed Number = 305
	SelfDeclaredDead  Number = 306
	PeerRejected      Number = 401
	PeerProtocol      Number = 402
	EndpointAdded     Number = 501
	EndpointLeaving   Number = 502
	EndpointGone      Number = 503
	EndpointSlow      Number = 504
	AnswerMismatched  Number = 505
	LeaseTaken        Number = 601
	LeaseLost         Number = 602
	WeightsOrdered    Number = 603
	WeightsSwitched   Number = 604
	WeightsFailed     Number = 605
	VersionAnnounced  Number = 606
	LeaseClaimLost    Number = 607
	JobAccepted       Number = 701
	JobCompleted      Number = 702
	JobCancelled      Number = 703
	SampleRestarted   Number = 704
	SampleResumed     Number = 705
	JobExpired        Number = 706
)

var definitions = []Definition{
	{NodeStarting, "node_starting", slog.LevelInfo, "The process starts listening.", "None."},
	{NodeReady, "node_ready", slog.LevelInfo, "The node holds a configuration and takes work.", "None."},
	{NodeDraining, "node_draining", slog.LevelInfo, "The node refuses new work and finishes what runs.", "None."},
	{NodeStopped, "node_stopped", slog.LevelInfo, "The process is about to exit.", "None."},
	{SettingsLoaded, "settings_loaded", slog.LevelInfo, "The settings file and flags were read.", "None."},
	{DrainTimedOut, "drain_timed_out", slog.LevelWarn, "Work was still running when the drain limit passed.", "Raise drain_timeout or look for a stuck back end."},
	{HandlerPanicked, "handler_panicked", slog.LevelError, "A request handler panicked; its caller got a numbered error.", "Report the stack."},
	{ConfigApplied, "config_applied", slog.LevelInfo, "A configuration revision is in force on this node.", "None."},
	{ConfigRejected, "config_rejected", slog.LevelWarn, "A published revision lost a race or is invalid; the former one stays in force.", "Publish again from the current revision."},
	{RecordSkipped, "record_skipped", slog.LevelWarn, "A log record could not be decoded and was skipped.", "Find the writer of the record."},
	{LogReadFailed, "log_read_failed", slog.LevelWarn, "Reading the log failed; the node goes on with what it holds.", "Check the platform's log if it lasts."},
	{LogReadRecovered, "log_read_recovered", slog.LevelInfo, "The log can be read again.", "None."},
	{LogAppendFailed, "log_append_failed", slog.LevelWarn, "An append failed or its answer was lost; the same record is appended again.", "Check the platform's log if it lasts."},
	{SnapshotAppended, "snapshot_appended", slog.LevelInfo, "A snapshot record was appended to shorten catch-up.", "None."},
	{MemberJoined, "member_joined", slog.LevelInfo, "A node was seen for the first time.", "None."},
	{MemberSuspected, "member_suspected", slog.LevelInfo, "A node misses heartbeats.", "None, unless it repeats for one node."},
	{MemberLeaving, "member_leaving", slog.LevelInfo, "A node announced that it drains.", "None."},
	{MemberDead, "member_dead", slog.LevelWarn, "A node is taken for dead; its work moves.", "None: the platform replaces machines."},
	{MachineListFailed, "machine_list_failed", slog.LevelWarn, "The platform's machine list could not be read; the last one is kept.", "Check the platform if it lasts."},
	{SelfDeclaredDead, "self_declared_dead", slog.LevelWarn, "Peers took this node for dead; it refutes the statement.", "Look for pauses of the process."},
	{PeerRejected, "peer_rejected", slog.LevelWarn, "A connection to the peer port sent bytes that are no valid frame.", "Find what connects to the peer port."},
	{PeerProtocol, "peer_protocol", slog.LevelWarn, "A peer speaks another protocol version.", "Upgrade the older node."},
	{EndpointAdded, "endpoint_added", slog.LevelInfo, "An engine or back end appeared in the machine list.", "None."},
	{EndpointLeaving, "endpoint_leaving", slog.LevelInfo, "An engine or back end is leaving and gets no new work.", "None."},
	{EndpointGone, "endpoint_gone", slog.LevelInfo, "An engine or back end disappeared from the machine list.", "None."},
	{EndpointSlow, "endpoint_slow", slog.LevelWarn, "An engine or back end failed repeatedly and is avoided for a while.", "Check the machine."},
	{AnswerMismatched, "answer_mismatched", slog.LevelError, "A back end echoed the id of another request; the connection was closed.", "Report it to the back end's owner."},
	{LeaseTaken, "lease_taken", slog.LevelInfo, "This node holds a lease.", "None."},
	{LeaseLost, "lease_lost", slog.LevelInfo, "Another node's claim replaced this node's lease.", "None."},
	{WeightsOrdered, "weights_ordered", slog.LevelInfo, "An engine was ordered to load or switch to a weight version.", "None."},
	{WeightsSwitched, "weights_switched", slog.LevelInfo, "Every live engine of a model serves the target version.", "None."},
	{WeightsFailed, "weights_failed", slog.LevelWarn, "An engine failed an order; it is repaired.", "Check the engine if it repeats."},
	{VersionAnnounced, "version_announced", slog.LevelInfo, "A trainer announced a new weight version.", "None."},
	{LeaseClaimLost, "lease_claim_lost", slog.LevelDebug, "A lease claim or release came second in the log.", "None."},
	{JobAccepted, "job_accepted", slog.LevelInfo, "A rollout job was accepted.", "None."},
	{JobCompleted, "job_completed", slog.LevelInfo, "The trainer holds every slot of a job.", "None."},
	{JobCancelled, "job_cancelled", slog.LevelInfo, "A job was cancelled by its trainer.", "None."},
	{SampleRestarted, "sample_restarted", slog.LevelDebug, "A sample was generated anew, as the former attempt failed or grew stale.", "None."},
	{SampleResumed, "sample_resumed", slog.LevelDebug, "A sample goes on at another engine from the tokens it had.", "None."},
	{JobExpired, "job_expired", slog.LevelInfo, "A job was dropped because no trainer pulled it for a long time.", "None."},
}

var byNumber = indexByNumber()

func indexByNumber() map[Number]Definition {
	index := make(map[Number]Definition, len(definitions))
	for _, definition := range definitions {
		index[definition.Number] = definition
	}
	return index
}

// Definitions lists every event in ascending order.
func Definitions() []Definition { return definitions }

// Logger writes numbered events to a slog.Logger.
type Logger struct {
	logger *slog.Logger
}

// NewLogger returns a logger that writes JSON lines at or above level.
func NewLogger(output io.Writer, level slog.Level, attributes ...any) *Logger {
	handler := slog.NewJSONHandler(output, &slog.HandlerOptions{Level: level})
	return &Logger{logger: slog.New(handler).With(attributes...)}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return &Logger{logger: slog.New(slog.DiscardHandler)}
}

// Log writes one event with slog attributes (key, value pairs).
func (l *Logger) Log(number Number, attributes ...any) {
	definition := byNumber[number]
	if !l.logger.Enabled(context.Background(), definition.Level) {
		return
	}
	line := l.logger.With("event", int(number))
	line.Log(context.Background(), definition.Level, definition.Name, attributes...)
}
