package schedule

import (
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/locality"
)

// Key identifies an item of a job, or the speculative run of that item.
type Key struct {
	Job  string
	Item string
	// Speculative is set for a speculative run of the item on behalf of a later job.
	Speculative bool
}

// Policy holds the rules by which the items of a job are scheduled.
type Policy struct {
	// Services lists the services whose samplers may generate the items.
	Services []string
	// Regions restricts the regions whose samplers may generate the items. Topology maps
	// zones to regions.
	Regions  locality.Regions
	Topology locality.Topology
	// MaxFailures is the number of failed runs, or of samplers that failed, after which an
	// item is given up.
	MaxFailures int
	// SingleVersion requires each text to be made by one weight version.
	SingleVersion bool
	// Remote is set if a worker in the job's regions executes the runs and holds the texts.
	Remote bool
	// Priority is the job's rank; 0 is the most urgent.
	Priority int
	// Due is the time by which the results are wanted.
	Due time.Time
}

// allows reports whether the sampler's service and region are permitted.
func (p *Policy) allows(sampler *Sampler) bool {
	if p.Regions.Restricted() && !p.Regions.Allows(p.Topology.Region(sampler.Zone)) {
		return false
	}
	return slices.Contains(p.Services, sampler.Service)
}

// Event is one event of a sampler's stream.
type Event struct {
	// ID is the sequence number of the event in its text, from 1.
	ID uint64
	// Version is the weight version that made the event.
	Version uint64
	Data    []byte
}

// phase is the stage of an item between its submission and its result.
type phase int

const (
	pending phase = iota
	running
	// scoring means that the text is complete and its reward call is in progress.
	scoring
	// settled means that the item needs no further work and its result is about to be
	// appended to the log. A speculative run is settled once its text is complete.
	settled
)

type item struct {
	key   Key
	spec  *pathbendv1.BatchItem
	job   *job
	phase phase
	// rank orders the items of a job that have the same latest start.
	rank int
	// resubmitted is set if an earlier job already submitted the item's group.
	resubmitted bool
	// latestStart is the latest time to start the item so that it completes before its job
	// is due, as of the last call of readyItems.
	latestStart time.Time

	Text

	sampler    *samplerState
	run        uint64
	startedAt  time.Time
	lastEvent  time.Time
	milestones Milestones
	// speculativeComplete is set if a speculative run completed the text before the job was
	// submitted.
	speculativeComplete bool
	// remote is set if a worker holds the text of this speculative run, or the text kept for
	// a later job.
	remote bool
	// jobEndedAt is when the job of this speculative run or kept text ended, the zero time
	// while the job is open.
	jobEndedAt time.Time
	notBefore  time.Time
	// unplacedSince is when, since the last event, a sampler was first looked for in vain. It is
	// zero if there always was one.
	unplacedSince time.Time
	// lastSampler is the sampler of the last run that ended.
	lastSampler Incarnation
	failures    int
	refusals    int
	// failedAt is the set of samplers that ran the item and failed.
	failedAt map[Incarnation]struct{}
}

// Milestones are the times of an item's progress to its result, as observed by this
// executor. Times that it did not observe are zero.
type Milestones struct {
	// Started is when the item was first sent to a sampler.
	Started time.Time
	// Completed is when its text was complete, Scored when its reward call returned.
	Completed time.Time
	Scored    time.Time
	// Sampler is the id of the sampler of the last run. Events is the length of the
	// complete text.
	Sampler string
	Events  uint64
	// Runs counts the runs of the item.
	Runs int
	// Group is the item's group, GroupOpen the number of its other items whose results are
	// not in the log yet. Resubmitted is set if an earlier job already submitted the group.
	Group       string
	GroupOpen   int
	Resubmitted bool
	// ExpectedTokens is the caller's estimate of its length.
	ExpectedTokens uint64
	// Durations breaks down the time between Started and Completed.
	Durations Durations
}

// Durations breaks down the time from an item's first start to its complete text. The time
// that none of the fields covers was spent generating events.
type Durations struct {
	// Prompt is the time from the starts of its runs to their first events.
	Prompt time.Duration
	// Paused is the time from the last event, or the start, of each run that ended early
	// to the next run.
	Paused time.Duration
	// Stalled is the sum of the gaps between events of minStall or longer.
	Stalled time.Duration
}

// minStall is the shortest gap between two events that counts as a stall. Users accept
// pauses of up to 150 ms; events normally come about 35 ms apart.
const minStall = 150 * time.Millisecond

// addGap records the time from one event of a run, or from its start, to the next event.
// first is set for the first event of the run.
func (d *Durations) addGap(length time.Duration, first bool) {
	switch {
	case first:
		d.Prompt += length
	case length >= minStall:
		d.Stalled += length
	}
}

// recordStart records the start of a run. lastActivity is the time of the last event, or
// the start, of the previous run.
func (m *Milestones) recordStart(samplerID string, lastActivity, now time.Time) {
	if m.Started.IsZero() {
		m.Started = now
	} else {
		m.Durations.Paused += now.Sub(lastActivity)
	}
	m.Sampler = samplerID
	m.Runs++
}

// savedText describes the prefix of an item's text that was sent to the log.
type savedText struct {
	// id identifies the last part sent, 0 if there is none.
	id     uint64
	events uint64
	bytes  int
	// at is when that part was sent; confirmed is set once it was read back from the log.
	at        time.Time
	confirmed bool
}

type job struct {
	id     string
	spec   *pathbendv1.BatchJob
	policy Policy
	items  []*item
	// paused prevents its items from being started.
	paused bool
	// newestVersion is the newest version of the model when the job was added.
	newestVersion uint64
}

// versionConstraint returns the versions that may have made the job's texts.
func (j *job) versionConstraint() VersionConstraint {
	return VersionConstraint{MinVersion: j.spec.MinVersion, SingleVersion: j.policy.SingleVersion}
}

// workload returns the workload that the job belongs to.
func (j *job) workload() Workload {
	return Workload{Model: j.spec.Model, Pool: NewPool(j.policy.Services, j.policy.Regions)}
}

// accepts reports whether text made by the versions may be part of a result.
func (j *job) accepts(versions []uint64) bool { return j.versionConstraint().Accepts(versions) }
