// Package event defines the numbered log events of pathbend and the logger that
// writes them. Each log line carries the number of one event. A test compares the
// definitions with the table in docs/EVENTS.md.
package event

import (
	"context"
	"io"
	"log/slog"
)

// Number identifies a log event. Numbers are never reused.
type Number int

// Definition describes a log event.
type Definition struct {
	Number Number
	// Name is the stable lower-case identifier.
	Name string
	// Level is the severity at which the event is logged.
	Level slog.Level
	// Meaning states what happened; Action states what an operator should do.
	Meaning string
	Action  string
}

// Log events, grouped by subsystem.
const (
	NodeStarting          Number = 101
	NodeReady             Number = 102
	NodeDraining          Number = 103
	NodeStopped           Number = 104
	SettingsLoaded        Number = 105
	DrainTimedOut         Number = 106
	HandlerPanicked       Number = 107
	ConfigApplied         Number = 201
	ConfigRejected        Number = 202
	RecordSkipped         Number = 203
	LogReadFailed         Number = 204
	LogReadRecovered      Number = 205
	LogAppendFailed       Number = 206
	SnapshotAppended      Number = 207
	LogCallsFailed        Number = 208
	MemberJoined          Number = 301
	MemberSuspected       Number = 302
	MemberLeaving         Number = 303
	MemberDead            Number = 304
	MachineListFailed     Number = 305
	SelfDeclaredDead      Number = 306
	PeerRejected          Number = 401
	PeerProtocol          Number = 402
	PeerListening         Number = 403
	PeerPortsTaken        Number = 404
	ReaderUnhelpful       Number = 405
	EndpointAdded         Number = 501
	EndpointLeaving       Number = 502
	EndpointGone          Number = 503
	EndpointSlow          Number = 504
	AnswerMismatched      Number = 505
	AttemptFailed         Number = 506
	RequestGivenUp        Number = 507
	RequestRefused        Number = 508
	RequestServed         Number = 509
	EndpointsAdded        Number = 510
	AttemptHedged         Number = 511
	ZoneEvacuated         Number = 512
	ZoneTakenBack         Number = 513
	EvacuationUnknown     Number = 514
	BackEndEnded          Number = 515
	RequestQuarantined    Number = 516
	QuarantineTried       Number = 517
	QuarantineCleared     Number = 518
	SuspectUntold         Number = 519
	SamplersCold          Number = 520
	ColdWorkWaits         Number = 521
	EndpointRestarted     Number = 522
	EndpointsGone         Number = 523
	LeaseTaken            Number = 601
	LeaseLost             Number = 602
	WeightsOrdered        Number = 603
	WeightsSwitched       Number = 604
	WeightsFailed         Number = 605
	VersionAnnounced      Number = 606
	LeaseClaimLost        Number = 607
	ClaimsUnread          Number = 608
	JobAccepted           Number = 701
	JobCompleted          Number = 702
	JobCancelled          Number = 703
	SampleRestarted       Number = 704
	SampleResumed         Number = 705
	JobExpired            Number = 706
	BatchSubmitted        Number = 707
	BatchRefused          Number = 708
	BatchEnded            Number = 709
	BatchReadRefused      Number = 710
	ItemStarted           Number = 711
	ItemRunEnded          Number = 712
	ItemMoved             Number = 713
	ItemListed            Number = 714
	ItemDead              Number = 715
	RewardFailed          Number = 716
	ExecutorStarted       Number = 717
	ExecutorStopped       Number = 718
	JobUnread             Number = 719
	ExecutorYielded       Number = 720
	WorkerChosen          Number = 721
	WorkerLost            Number = 722
	WorkerMissing         Number = 723
	WorkerServes          Number = 724
	RunsOrphaned          Number = 725
	BatchRead             Number = 730
	LogReachedThroughPeer Number = 731
	GroupShareChanged     Number = 801
	GroupContactLost      Number = 802
	GroupContactRegained  Number = 803
	CatalogApplied        Number = 804
	CatalogRejected       Number = 805
	SettingsReloaded      Number = 806
	LogAppendRetried      Number = 807
	LinesDropped          Number = 808
	StandingChanged       Number = 809
	PageCut               Number = 810
	LogDistanceChanged    Number = 811
	UsageUnsaved          Number = 901
	UsageDecided          Number = 902
	UsageReported         Number = 903
	UsageUnsent           Number = 904
	SamplersOrdered       Number = 905
	SamplersUnordered     Number = 906
)

var definitions = []Definition{
	{NodeStarting, "node_starting", slog.LevelInfo, "The process starts listening.", "None."},
	{NodeReady, "node_ready", slog.LevelInfo, "The node has a configuration and accepts work.", "None."},
	{NodeDraining, "node_draining", slog.LevelInfo, "The node refuses new work and finishes the work in progress.", "None."},
	{NodeStopped, "node_stopped", slog.LevelInfo, "The process is about to exit.", "None."},
	{SettingsLoaded, "settings_loaded", slog.LevelInfo, "The settings file and flags were read.", "None."},
	{DrainTimedOut, "drain_timed_out", slog.LevelWarn, "Work was still in progress when the drain timeout expired.", "Raise drain_timeout or look for a stuck back end."},
	{HandlerPanicked, "handler_panicked", slog.LevelError, "A request handler panicked; the caller got an error with a result code.", "Report the stack trace."},
	{ConfigApplied, "config_applied", slog.LevelInfo, "The node applied a configuration revision.", "None."},
	{ConfigRejected, "config_rejected", slog.LevelWarn, "A published revision conflicts with another one or is invalid; the previous one stays in force.", "Publish again from the current revision."},
	{RecordSkipped, "record_skipped", slog.LevelWarn, "A log record could not be decoded and was skipped.", "Find the writer of the record."},
	{LogReadFailed, "log_read_failed", slog.LevelWarn, "Reading the log failed; the node continues with the data that it has.", "Check the platform's log service if it persists."},
	{LogReadRecovered, "log_read_recovered", slog.LevelInfo, "The log can be read again.", "None."},
	{LogAppendFailed, "log_append_failed", slog.LevelWarn, "An append failed or its response was lost; the same record is appended again.", "Check the platform's log service if it persists."},
	{SnapshotAppended, "snapshot_appended", slog.LevelInfo, "A snapshot record was appended, so that nodes catch up faster.", "None."},
	{LogCallsFailed, "log_calls_failed", slog.LevelInfo, "Calls to the log service failed; the line shows all calls of the last second by operation, topic and route, with their outcomes, the bytes of the answers and the slowest call beyond the time for which it was to be held. Logged at most once per second.", "If many nodes log it: compare the calls of all nodes with the limits of the log service."},
	{MemberJoined, "member_joined", slog.LevelInfo, "A node was seen for the first time.", "None."},
	{MemberSuspected, "member_suspected", slog.LevelInfo, "A node misses heartbeats.", "None, unless it repeats for one node."},
	{MemberLeaving, "member_leaving", slog.LevelInfo, "A node announced that it is draining.", "None."},
	{MemberDead, "member_dead", slog.LevelWarn, "A node is considered dead; its work moves to other nodes.", "None: the platform replaces machines."},
	{MachineListFailed, "machine_list_failed", slog.LevelWarn, "The platform's machine list could not be read; the last one stays in use.", "Check the platform if it persists."},
	{SelfDeclaredDead, "self_declared_dead", slog.LevelWarn, "Other nodes declared this node dead; it refutes this.", "Check for long pauses of the process."},
	{PeerRejected, "peer_rejected", slog.LevelWarn, "A connection to the peer port sent bytes that are not a valid frame.", "Find out what connects to the peer port."},
	{PeerProtocol, "peer_protocol", slog.LevelWarn, "A peer uses another protocol version.", "Upgrade the older node."},
	{PeerListening, "peer_listening", slog.LevelInfo, "The node accepts calls from other nodes.", "None."},
	{PeerPortsTaken, "peer_ports_taken", slog.LevelWarn, "No port of the range for calls between nodes is free; the node tries again.", "Check which processes use the ports."},
	{ReaderUnhelpful, "reader_unhelpful", slog.LevelWarn, "A node that reads a topic on behalf of this one gave no usable response; another node, or the log, is asked.", "If one node causes many: check its network links and its log lines about the platform's store."},
	{EndpointAdded, "endpoint_added", slog.LevelInfo, "An engine or back end appeared in the machine list.", "None."},
	{EndpointLeaving, "endpoint_leaving", slog.LevelInfo, "An engine or back end is leaving and gets no new work.", "None."},
	{EndpointGone, "endpoint_gone", slog.LevelInfo, "An engine or back end disappeared from the machine list.", "None."},
	{EndpointSlow, "endpoint_slow", slog.LevelWarn, "An engine or back end failed repeatedly and is avoided temporarily.", "Check the machine."},
	{AnswerMismatched, "answer_mismatched", slog.LevelError, "A back end returned the id of another request; the connection was closed.", "Report it to the owner of the back end."},
	{AttemptFailed, "attempt_failed", slog.LevelInfo, "An attempt of a request failed; the line shows the back end, the outcome of the attempt, the cause, the digest that all attempts of the request share, and whether the back end was found to have crashed.", "None, unless frequent for one back end."},
	{RequestGivenUp, "request_given_up", slog.LevelWarn, "A request finally failed or was refused; the line shows the number of attempts and the result code.", "See the attempts with the same request id."},
	{RequestRefused, "request_refused", slog.LevelWarn, "A request was refused before any attempt; the line shows the reason and the retry delay.", "See the result code."},
	{RequestServed, "request_served", slog.LevelInfo, "A back end answered a request; the line shows the back end, the number of attempts and the duration.", "None."},
	{EndpointsAdded, "endpoints_added", slog.LevelInfo, "Many engines or back ends appeared in the machine list at once, for example after a start; the line shows their number.", "None."},
	{AttemptHedged, "attempt_hedged", slog.LevelInfo, "A request without an answer for half its latency objective is also sent to a second back end; the line shows both.", "If frequent for one back end: it is slow."},
	{ZoneEvacuated, "zone_evacuated", slog.LevelWarn, "A zone is evacuated: its samplers and back ends get no more work from this node.", "None, if it was intended; work that the other zones cannot carry is refused."},
	{ZoneTakenBack, "zone_taken_back", slog.LevelInfo, "A zone is no longer evacuated; its samplers and back ends get work again.", "None."},
	{EvacuationUnknown, "evacuation_unknown", slog.LevelWarn, "A record asks for the evacuation of a zone that the deployment does not have.", "Check the name; delete the record and write one with the correct name."},
	{BackEndEnded, "back_end_ended", slog.LevelWarn, "A back end crashed while it ran a request of this node; the line shows the digest that all attempts of the request share.", "If there are several for one digest: see request_quarantined."},
	{RequestQuarantined, "request_quarantined", slog.LevelWarn, "Back ends crashed under a request as often as is allowed, counted over all nodes; no back end gets it for now. The line shows when it may be tried again.", "Find the request by its digest in the lines of its attempts; fix what it crashes."},
	{QuarantineTried, "quarantine_tried", slog.LevelInfo, "This node makes another attempt of a request under which back ends crashed, to see whether they still do.", "None."},
	{QuarantineCleared, "quarantine_cleared", slog.LevelInfo, "A back end survived a request under which others had crashed; it is handled like any other request again.", "None."},
	{SuspectUntold, "suspect_untold", slog.LevelWarn, "What this node knows of a request under which back ends crashed could not be written to the log; other nodes learn of it only if the request is sent again.", "Check the log service."},
	{SamplersCold, "samplers_cold", slog.LevelInfo, "The number of model samplers that are or may be cold changed; the line shows it and the number of listed samplers.", "If a zone stays cold: see docs/OPERATIONS.md."},
	{ColdWorkWaits, "cold_work_waits", slog.LevelInfo, "Items wait although samplers have free slots: samplers that are or may be cold got as many requests as they may get in this second; the line shows the numbers of items and samplers. Logged at most once per second.", "None while samplers are cold; otherwise look for samplers that become cold repeatedly."},
	{EndpointRestarted, "endpoint_restarted", slog.LevelInfo, "An engine or back end restarted under the same id; what was known of its previous incarnation is discarded.", "None."},
	{EndpointsGone, "endpoints_gone", slog.LevelInfo, "Several engines or back ends disappeared from the machine list.", "None, unless nobody removed them."},
	{LeaseTaken, "lease_taken", slog.LevelInfo, "This node acquired a lease.", "None."},
	{LeaseLost, "lease_lost", slog.LevelInfo, "Another node's claim replaced this node's lease.", "None."},
	{WeightsOrdered, "weights_ordered", slog.LevelInfo, "An engine was ordered to load or switch to a weight version.", "None."},
	{WeightsSwitched, "weights_switched", slog.LevelInfo, "Every live engine of a model serves the target version.", "None."},
	{WeightsFailed, "weights_failed", slog.LevelWarn, "An engine failed to carry out an order; it is repaired.", "Check the engine if it repeats."},
	{VersionAnnounced, "version_announced", slog.LevelInfo, "A trainer announced a new weight version.", "None."},
	{LeaseClaimLost, "lease_claim_lost", slog.LevelDebug, "Another lease claim or release came first in the log.", "None."},
	{ClaimsUnread, "claims_unread", slog.LevelWarn, "Claims of exclusive calls were not read back from the log in time; their number and the pause before the next claims are in the line.", "Check the log service if it repeats."},
	{JobAccepted, "job_accepted", slog.LevelInfo, "A rollout job was accepted.", "None."},
	{JobCompleted, "job_completed", slog.LevelInfo, "The trainer has the samples of every slot of a job.", "None."},
	{JobCancelled, "job_cancelled", slog.LevelInfo, "A trainer cancelled a job.", "None."},
	{SampleRestarted, "sample_restarted", slog.LevelDebug, "A sample is generated from the start because the previous attempt failed or became stale.", "None."},
	{SampleResumed, "sample_resumed", slog.LevelDebug, "A sample continues at another engine from the tokens generated so far.", "None."},
	{JobExpired, "job_expired", slog.LevelInfo, "A job was dropped because no trainer pulled it for a long time.", "None."},
	{BatchSubmitted, "batch_submitted", slog.LevelInfo, "A batch job was stored in the log.", "None."},
	{BatchRefused, "batch_refused", slog.LevelWarn, "A batch job was not accepted; the line shows whether it may be in the log.", "Check the log service."},
	{BatchEnded, "batch_ended", slog.LevelInfo, "A trainer ended a batch job; the line shows how many of its items have a result.", "None."},
	{BatchReadRefused, "batch_read_refused", slog.LevelWarn, "A read of a batch job was refused because this node may not have its latest state.", "Check the log service."},
	{ItemStarted, "item_started", slog.LevelInfo, "An item was sent to a sampler; the line shows the candidates, their load and the event from which it continues.", "None."},
	{ItemRunEnded, "item_run_ended", slog.LevelInfo, "A run of an item ended with an outcome other than complete.", "None, unless frequent for one sampler."},
	{ItemMoved, "item_moved", slog.LevelInfo, "A run was stopped to continue at another sampler; the line shows the reason.", "None."},
	{ItemListed, "item_listed", slog.LevelInfo, "A result of an item has its offset in the log; the executor's line shows how long ago the item was started, completed and scored, and -1 for what it did not observe.", "None."},
	{ItemDead, "item_dead", slog.LevelWarn, "An item was given up; the line shows the number of failures.", "See the runs of the item."},
	{RewardFailed, "reward_failed", slog.LevelInfo, "A reward call failed and is retried.", "None, unless frequent."},
	{ExecutorStarted, "executor_started", slog.LevelInfo, "This node executes the batch jobs; the line shows the generation and what it took over.", "None."},
	{ExecutorStopped, "executor_stopped", slog.LevelInfo, "This node no longer executes the batch jobs.", "None."},
	{JobUnread, "job_unread", slog.LevelWarn, "The items of a job, or the text generated for one, could not be read from the log; the items are read again, the text is generated again.", "Check the log service."},
	{ExecutorYielded, "executor_yielded", slog.LevelInfo, "This node executed the batch jobs without a partition assignment, and samplers run work of another node, so it stops executing them.", "Check the node's connection to the log service."},
	{WorkerChosen, "worker_chosen", slog.LevelInfo, "The executor chose a worker: another node, in the regions that jobs are bound to, that carries out their runs.", "None."},
	{WorkerLost, "worker_lost", slog.LevelWarn, "The executor gave up a worker; the line shows the reason. Its jobs move to another one.", "Check that node and the connection to it."},
	{WorkerMissing, "worker_missing", slog.LevelWarn, "Jobs wait because no node in their regions accepts calls.", "Start nodes in these regions, or check their ports for calls between nodes."},
	{WorkerServes, "worker_serves", slog.LevelInfo, "This node carries out runs on behalf of another node, newly or as the worker of an executor's successor.", "None."},
	{RunsOrphaned, "runs_orphaned", slog.LevelWarn, "The executor was silent for too long; the runs that this node carried out on its behalf were stopped.", "Check the connection between the two nodes."},
	{BatchRead, "batch_read", slog.LevelDebug, "A page of results was read; the line shows its positions, how long the response was held and how long the texts took.", "None."},
	{LogReachedThroughPeer, "log_reached_through_peer", slog.LevelInfo, "The log service does not respond to this node; a peer that can reach it relays this node's calls.", "Check the node's connection to the log service."},
	{GroupShareChanged, "group_share_changed", slog.LevelInfo, "The log service reassigned partitions; the line shows the generation and this node's partition assignment.", "None."},
	{GroupContactLost, "group_contact_lost", slog.LevelWarn, "This node cannot renew its partition assignment; it gives no orders until it can.", "Check the log service."},
	{GroupContactRegained, "group_contact_regained", slog.LevelInfo, "This node renews its partition assignment again.", "None."},
	{CatalogApplied, "catalog_applied", slog.LevelInfo, "This node applied a version of the routes and services.", "None."},
	{CatalogRejected, "catalog_rejected", slog.LevelWarn, "A version of the routes and services is malformed; the previous one stays in force.", "Correct the named field."},
	{SettingsReloaded, "settings_reloaded", slog.LevelInfo, "The settings file was read again.", "None."},
	{LogAppendRetried, "log_append_retried", slog.LevelInfo, "An append timed out or was refused and is retried.", "Check the log service if it persists."},
	{LinesDropped, "lines_dropped", slog.LevelWarn, "Log lines were dropped because the output did not keep up.", "Check the reader of the output."},
	{StandingChanged, "standing_changed", slog.LevelInfo, "A node on a small machine joins the group of executors because the group has no larger member, or leaves it again.", "None, unless small nodes execute for long: the large ones are gone."},
	{PageCut, "page_cut", slog.LevelInfo, "Not all texts of a page of results could be read from the log in time; the page ends before the first missing one, and its caller continues from there.", "If frequent: the log service is far away or slow."},
	{LogDistanceChanged, "log_distance_changed", slog.LevelInfo, "The log service responds much faster or slower than when this node last logged it; the line shows the smoothed round-trip time, its deviation and the timeout, in ms.", "If the log service is not far away: check the connection to it."},
	{UsageUnsaved, "usage_unsaved", slog.LevelWarn, "Request counts of tenants could not be written to the log; they are kept and written later.", "Check the log service; counts that a killed process held are lost."},
	{UsageDecided, "usage_decided", slog.LevelInfo, "The node that holds the usage duty sums the requests of a window; the line shows whether all nodes had closed it.", "If windows are repeatedly incomplete: look for a node that cannot write to the log."},
	{UsageReported, "usage_reported", slog.LevelInfo, "The platform accepted the report of a window; the line shows how long after its end.", "None."},
	{UsageUnsent, "usage_unsent", slog.LevelWarn, "The platform did not accept the report of a window; it is sent again.", "Check the platform's API."},
	{SamplersOrdered, "samplers_ordered", slog.LevelInfo, "The platform accepted the number of samplers wanted in a zone; the line shows what it was decided from.", "None."},
	{SamplersUnordered, "samplers_unordered", slog.LevelWarn, "The platform did not accept the number of samplers wanted in a zone; it is sent again.", "Check the platform's API; status 409 means that there are none of the kind."},
}

var byNumber = indexByNumber()

func indexByNumber() map[Number]Definition {
	index := make(map[Number]Definition, len(definitions))
	for _, definition := range definitions {
		index[definition.Number] = definition
	}
	return index
}

// Definitions returns the definitions of all events in ascending order of number.
func Definitions() []Definition { return definitions }

// Logger writes log events as JSON lines.
type Logger struct {
	logger *slog.Logger
}

// NewLogger returns a logger that writes events at or above level to output. The
// attributes are added to each line.
func NewLogger(output io.Writer, level slog.Level, attributes ...any) *Logger {
	handler := slog.NewJSONHandler(output, &slog.HandlerOptions{Level: level})
	return &Logger{logger: slog.New(handler).With(attributes...)}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return &Logger{logger: slog.New(slog.DiscardHandler)}
}

// Log writes an event at its defined level, with attributes as key-value pairs.
func (l *Logger) Log(number Number, attributes ...any) {
	definition := byNumber[number]
	if !l.logger.Enabled(context.Background(), definition.Level) {
		return
	}
	line := l.logger.With("event", int(number))
	line.Log(context.Background(), definition.Level, definition.Name, attributes...)
}

// Handler returns a slog handler for the log lines of a library. Each line carries
// the event number; its level and message are the library's.
func (l *Logger) Handler(number Number) slog.Handler {
	return l.logger.With("event", int(number)).Handler()
}
