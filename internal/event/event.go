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
	NodeStarting         Number = 101
	NodeReady            Number = 102
	NodeDraining         Number = 103
	NodeStopped          Number = 104
	SettingsLoaded       Number = 105
	DrainTimedOut        Number = 106
	HandlerPanicked      Number = 107
	ConfigApplied        Number = 201
	ConfigRejected       Number = 202
	RecordSkipped        Number = 203
	LogReadFailed        Number = 204
	LogReadRecovered     Number = 205
	LogAppendFailed      Number = 206
	SnapshotAppended     Number = 207
	MemberJoined         Number = 301
	MemberSuspected      Number = 302
	MemberLeaving        Number = 303
	MemberDead           Number = 304
	MachineListFailed    Number = 305
	SelfDeclaredDead     Number = 306
	PeerRejected         Number = 401
	PeerProtocol         Number = 402
	PeerListening        Number = 403
	PeerPortsTaken       Number = 404
	ReaderUnhelpful      Number = 405
	EndpointAdded        Number = 501
	EndpointLeaving      Number = 502
	EndpointGone         Number = 503
	EndpointSlow         Number = 504
	AnswerMismatched     Number = 505
	AttemptFailed        Number = 506
	RequestGivenUp       Number = 507
	RequestRefused       Number = 508
	RequestServed        Number = 509
	EndpointsAdded       Number = 510
	AttemptHedged        Number = 511
	ZoneEvacuated        Number = 512
	ZoneTakenBack        Number = 513
	EvacuationUnknown    Number = 514
	BackEndEnded         Number = 515
	RequestQuarantined   Number = 516
	QuarantineTried      Number = 517
	QuarantineCleared    Number = 518
	SuspectUntold        Number = 519
	SamplersCold         Number = 520
	ColdWorkWaits        Number = 521
	EndpointRestarted    Number = 522
	EndpointsGone        Number = 523
	LeaseTaken           Number = 601
	LeaseLost            Number = 602
	WeightsOrdered       Number = 603
	WeightsSwitched      Number = 604
	WeightsFailed        Number = 605
	VersionAnnounced     Number = 606
	LeaseClaimLost       Number = 607
	JobAccepted          Number = 701
	JobCompleted         Number = 702
	JobCancelled         Number = 703
	SampleRestarted      Number = 704
	SampleResumed        Number = 705
	JobExpired           Number = 706
	BatchSubmitted       Number = 707
	BatchRefused         Number = 708
	BatchEnded           Number = 709
	BatchReadRefused     Number = 710
	ItemStarted          Number = 711
	ItemRunEnded         Number = 712
	ItemMoved            Number = 713
	ItemListed           Number = 714
	ItemDead             Number = 715
	RewardFailed         Number = 716
	ExecutorStarted      Number = 717
	ExecutorStopped      Number = 718
	JobUnread            Number = 719
	ExecutorYielded      Number = 720
	WorkerChosen         Number = 721
	WorkerLost           Number = 722
	WorkerMissing        Number = 723
	WorkerServes         Number = 724
	RunsOrphaned         Number = 725
	BatchRead            Number = 730
	LogThroughPeer       Number = 731
	GroupShareChanged    Number = 801
	GroupContactLost     Number = 802
	GroupContactRegained Number = 803
	CatalogApplied       Number = 804
	CatalogRejected      Number = 805
	SettingsReloaded     Number = 806
	LogAppendRetried     Number = 807
	LinesDropped         Number = 808
	StandingChanged      Number = 809
	PageCut              Number = 810
	LogDistanceChanged   Number = 811
	UsageUnsaved         Number = 901
	UsageDecided         Number = 902
	UsageReported        Number = 903
	UsageUnsent          Number = 904
	SamplersOrdered      Number = 905
	SamplersUnordered    Number = 906
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
	{PeerListening, "peer_listening", slog.LevelInfo, "This node takes calls of other nodes.", "None."},
	{PeerPortsTaken, "peer_ports_taken", slog.LevelWarn, "No port of the range for calls between nodes is free; it is tried again.", "Check what holds the ports."},
	{ReaderUnhelpful, "reader_unhelpful", slog.LevelWarn, "A node that reads samplers' entries for this one gave no answer of use; another, or the log, is asked.", "Many from one node: check its links and its log of the platform's store."},
	{EndpointAdded, "endpoint_added", slog.LevelInfo, "An engine or back end appeared in the machine list.", "None."},
	{EndpointLeaving, "endpoint_leaving", slog.LevelInfo, "An engine or back end is leaving and gets no new work.", "None."},
	{EndpointGone, "endpoint_gone", slog.LevelInfo, "An engine or back end disappeared from the machine list.", "None."},
	{EndpointSlow, "endpoint_slow", slog.LevelWarn, "An engine or back end failed repeatedly and is avoided for a while.", "Check the machine."},
	{AnswerMismatched, "answer_mismatched", slog.LevelError, "A back end echoed the id of another request; the connection was closed.", "Report it to the back end's owner."},
	{AttemptFailed, "attempt_failed", slog.LevelInfo, "One attempt of a request failed; the line tells the back end, the ending, the cause, the digest that all tries of the request share, and whether the back end was found to have ended.", "None unless frequent for one back end."},
	{RequestGivenUp, "request_given_up", slog.LevelWarn, "A request got its final refusal or failure; the line tells the attempts and the result code.", "Look at the attempts with the same request id."},
	{RequestRefused, "request_refused", slog.LevelWarn, "A request was refused before any attempt; the line tells why and when to come back.", "See the result code."},
	{RequestServed, "request_served", slog.LevelInfo, "A request got a back end's answer; the line tells which, after how many attempts and how long.", "None."},
	{EndpointsAdded, "endpoints_added", slog.LevelInfo, "Many engines or back ends appeared in the list at once, as after a start; the line tells how many.", "None."},
	{AttemptHedged, "attempt_hedged", slog.LevelInfo, "A request without an answer for half its objective goes to a second back end beside the first; the line tells both.", "Frequent for one back end: it is slow."},
	{ZoneEvacuated, "zone_evacuated", slog.LevelWarn, "A zone is evacuated: its samplers and back ends get nothing more from this node.", "None, if it was meant; what the other zones cannot carry is refused."},
	{ZoneTakenBack, "zone_taken_back", slog.LevelInfo, "A zone is not evacuated any more; its samplers and back ends get work again.", "None."},
	{EvacuationUnknown, "evacuation_unknown", slog.LevelWarn, "A zone is to be evacuated that the deployment does not have.", "Check the name; drop the record and write the right one."},
	{BackEndEnded, "back_end_ended", slog.LevelWarn, "A back end ended while it ran a request of this node; the line tells the digest that all tries of the request share.", "Several for one digest: see request_quarantined."},
	{RequestQuarantined, "request_quarantined", slog.LevelWarn, "Back ends ended under a request as often as is allowed, at any nodes; it is kept from them. The line tells when it may be tried again.", "Find the request by its digest in the lines of its attempts; mend what it crashes."},
	{QuarantineTried, "quarantine_tried", slog.LevelInfo, "This node sends a request once more under which back ends ended, to see whether they still do.", "None."},
	{QuarantineCleared, "quarantine_cleared", slog.LevelInfo, "A back end survived a request under which others had ended; it is a request like any other.", "None."},
	{SuspectUntold, "suspect_untold", slog.LevelWarn, "What this node knows of a request under which back ends ended could not be written to the log; other nodes learn of it only if it comes again.", "Check the log service."},
	{SamplersCold, "samplers_cold", slog.LevelInfo, "The number of model samplers that are cold, or may be, changed; the line tells it of all that are listed.", "A zone that stays cold: see docs/OPERATIONS.md."},
	{ColdWorkWaits, "cold_work_waits", slog.LevelInfo, "Items wait, at most once a second, though samplers have free slots: they got all that a sampler may get in a second that is cold or may be; the line tells how many of each.", "None while samplers are cold; else look for samplers that turn cold again and again."},
	{EndpointRestarted, "endpoint_restarted", slog.LevelInfo, "An engine or back end started again under its id: what was known of its former incarnation is forgotten.", "None."},
	{EndpointsGone, "endpoints_gone", slog.LevelInfo, "Several engines or back ends are not on the list of machines any more.", "None, unless nobody took them away."},
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
	{BatchSubmitted, "batch_submitted", slog.LevelInfo, "A batch job is kept in the log.", "None."},
	{BatchRefused, "batch_refused", slog.LevelWarn, "A batch job was not accepted; the line tells whether it may be in the log.", "Check the log service."},
	{BatchEnded, "batch_ended", slog.LevelInfo, "A batch job was ended by its trainer; the line tells how much was listed.", "None."},
	{BatchReadRefused, "batch_read_refused", slog.LevelWarn, "A read of a batch job was refused because this node may not know its newest state.", "Check the log service."},
	{ItemStarted, "item_started", slog.LevelInfo, "An item was sent to a sampler; the line tells the candidates, their load and the event it goes on from.", "None."},
	{ItemRunEnded, "item_run_ended", slog.LevelInfo, "A run of an item ended other than complete.", "None unless frequent for one sampler."},
	{ItemMoved, "item_moved", slog.LevelInfo, "A run was stopped to go on at another sampler; the line tells why.", "None."},
	{ItemListed, "item_listed", slog.LevelInfo, "A result of an item has its place in the log; the executor's line tells how long ago the item was started, complete and scored, and -1 for what it did not see.", "None."},
	{ItemDead, "item_dead", slog.LevelWarn, "An item was given up; the line tells after how many failures.", "Look at the runs of the item."},
	{RewardFailed, "reward_failed", slog.LevelInfo, "A reward call failed and is repeated.", "None unless frequent."},
	{ExecutorStarted, "executor_started", slog.LevelInfo, "This node runs the batch jobs; the line tells the generation and what it took over.", "None."},
	{ExecutorStopped, "executor_stopped", slog.LevelInfo, "This node no longer runs the batch jobs.", "None."},
	{JobUnread, "job_unread", slog.LevelWarn, "The items of a job, or the text that was made of one, could not be read from the log; the items are read again, the text is made again.", "Check the log service."},
	{ExecutorYielded, "executor_yielded", slog.LevelInfo, "This node ran the batch jobs without its share, and samplers have work of another node, so it gives them up.", "Check the node's way to the log service."},
	{WorkerChosen, "worker_chosen", slog.LevelInfo, "The node that runs the batch jobs lets another one, in the regions that jobs are bound to, carry their runs.", "None."},
	{WorkerLost, "worker_lost", slog.LevelWarn, "A node that carries runs was given up; the line tells why. Its jobs go to another one.", "Look at that node, and at the way to it."},
	{WorkerMissing, "worker_missing", slog.LevelWarn, "Jobs wait as no node in their regions takes calls.", "Start nodes in these regions, or check their ports for calls between nodes."},
	{WorkerServes, "worker_serves", slog.LevelInfo, "This node carries runs for another one, from now on or for a successor.", "None."},
	{RunsOrphaned, "runs_orphaned", slog.LevelWarn, "The node that decides was silent for too long; the runs that this node carried for it were stopped.", "Check the way between the two nodes."},
	{BatchRead, "batch_read", slog.LevelDebug, "A page of results was read; the line tells its positions, how long the answer was held and what the texts took.", "None."},
	{LogThroughPeer, "log_reached_through_peer", slog.LevelInfo, "The log service does not answer this node, and a peer that it answers makes this node's calls.", "Check the node's way to the log service."},
	{GroupShareChanged, "group_share_changed", slog.LevelInfo, "The log service dealt partitions anew; the line tells the generation and this node's part.", "None."},
	{GroupContactLost, "group_contact_lost", slog.LevelWarn, "This node cannot renew its share; it gives no orders until it can.", "Check the log service."},
	{GroupContactRegained, "group_contact_regained", slog.LevelInfo, "This node renews its share again.", "None."},
	{CatalogApplied, "catalog_applied", slog.LevelInfo, "A version of the routes and services is in force on this node.", "None."},
	{CatalogRejected, "catalog_rejected", slog.LevelWarn, "A version of the routes and services is malformed; the former one stays in force.", "Correct the named field."},
	{SettingsReloaded, "settings_reloaded", slog.LevelInfo, "The settings file was read again.", "None."},
	{LogAppendRetried, "log_append_retried", slog.LevelInfo, "An append had no answer in time or was refused and is repeated.", "Check the log service if it lasts."},
	{LinesDropped, "lines_dropped", slog.LevelWarn, "Log lines were dropped because the output did not keep up.", "Check the reader of the output."},
	{StandingChanged, "standing_changed", slog.LevelInfo, "A node with a small machine enters the group of executors as no larger one is in it, or leaves it again.", "None, unless small nodes execute for long: the large ones are gone."},
	{PageCut, "page_cut", slog.LevelInfo, "The texts of a page of results could not all be read from the log in time; the page ends before the first that was not, and its caller reads on from there.", "Frequent: the log service is far away or slow."},
	{LogDistanceChanged, "log_distance_changed", slog.LevelInfo, "The log service answers much sooner or later than this node last told; the line tells the smoothed round trip, its deviation and the time-out, in ms.", "Check the way to the log service if it is not far away."},
	{UsageUnsaved, "usage_unsaved", slog.LevelWarn, "Counts of tenants' requests could not be written to the log; they are kept and written later.", "Check the log service; counts that a killed process held are lost."},
	{UsageDecided, "usage_decided", slog.LevelInfo, "The holder of the duty sums a window's requests; the line tells whether all nodes had closed it.", "Not complete again and again: look for a node that cannot write to the log."},
	{UsageReported, "usage_reported", slog.LevelInfo, "The platform took the report of a window; the line tells how long after its end.", "None."},
	{UsageUnsent, "usage_unsent", slog.LevelWarn, "The platform did not take the report of a window; it is sent again.", "Check the platform's API."},
	{SamplersOrdered, "samplers_ordered", slog.LevelInfo, "The platform took the number of samplers wanted in a zone; the line tells what it was decided from.", "None."},
	{SamplersUnordered, "samplers_unordered", slog.LevelWarn, "The platform did not take the number of samplers wanted in a zone; it is sent again.", "Check the platform's API; 409 means that there are none of the kind."},
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

// Handler returns a handler for a library's own lines, which carry the event.
func (l *Logger) Handler(number Number) slog.Handler {
	return l.logger.With("event", int(number)).Handler()
}
