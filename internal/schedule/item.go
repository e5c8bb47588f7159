package schedule

import (
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/locality"
)

// Key names an item of a job.
type Key struct {
	Job  string
	Item string
	// Ahead is set for a second run of the item, for a later job.
	Ahead bool
}

// Policy is how the items of a job are run.
type Policy struct {
	// Services may generate the items.
	Services []string
	// Regions are those whose samplers may generate the items, by Topology.
	Regions  locality.Regions
	Topology locality.Topology
	// MaxFailures is the number of failed runs after which an item is dead.
	MaxFailures int
	// SingleVersion wants each text made by one weight version.
	SingleVersion bool
	// Remote is set if a worker of the regions carries the runs and holds the texts.
	Remote bool
	// Priority ranks the job, 0 first.
	Priority int
	// Due is when the results are wanted.
	Due time.Time
}

// allows reports whether a sampler's place and service fit.
func (p *Policy) allows(sampler *Sampler) bool {
	if p.Regions.Bound() && !p.Regions.Allow(p.Topology.Region(sampler.Zone)) {
		return false
	}
	return slices.Contains(p.Services, sampler.Service)
}

// Event is one event of a sampler's stream.
type Event struct {
	// ID numbers the events of a text from 1.
	ID uint64
	// Version is the weight version that made it.
	Version uint64
	Data    []byte
}

// phase is where an item stands.
type phase int

const (
	pending phase = iota
	running
	// scoring means that the text is complete and its reward call is under way.
	scoring
	// settled means that the result waits for its place in the log.
	settled
)

type item struct {
	key   Key
	spec  *pathbendv1.BatchItem
	job   *job
	phase phase
	// rank orders the items of a job that are equally urgent.
	rank int
	// carried is set if an earlier job brought the item's group already.
	carried bool
	// latestStart is when the item must begin to be complete in time, as of the last
	// look.
	latestStart time.Time

	Text

	sampler *samplerState
	// suspect is set while it runs as the suspect of its sampler.
	suspect    bool
	run        uint64
	startedAt  time.Time
	lastEvent  time.Time
	milestones Milestones
	// aheadComplete is set if the text was made complete ahead of the job.
	aheadComplete bool
	// remote is set if a worker holds the text of a run ahead.
	remote bool
	// leftAt is when the job of a run ahead was over.
	leftAt    time.Time
	notBefore time.Time
	// avoid is the sampler that failed the item last.
	avoid    Incarnation
	failures int
	refusals int
	// failedAt holds the samplers that ran the item and failed.
	failedAt map[Incarnation]struct{}
}

// Milestones are the moments of an item's way to its result, as far as this
// executor saw them; a moment that it did not see is zero.
type Milestones struct {
	// Started is when the item was first sent to a sampler.
	Started time.Time
	// Completed is when its text was complete, Scored when its reward call had answered.
	Completed time.Time
	Scored    time.Time
	// Sampler made the end of the text, which has Events events.
	Sampler string
	Events  uint64
	// Runs counts the times that it was sent to a sampler.
	Runs int
	// Group is the item's group, GroupOpen how many others of it have no place in the
	// log yet. Carried is set if an earlier job brought the group already.
	Group     string
	GroupOpen int
	Carried   bool
	// ExpectedTokens is the caller's guess of its length.
	ExpectedTokens uint64
	// Spent tells where the time between Started and Completed went.
	Spent Spent
}

// Spent splits the time that an item took from its first start to its complete text.
// What is in none of these, it was making events.
type Spent struct {
	// Prompt is the time from the starts of its runs to their first events.
	Prompt time.Duration
	// Paused is the time from the last sign of each run that ended early to the next
	// run.
	Paused time.Duration
	// Stalled is that of gaps between events of stallFrom or longer.
	Stalled time.Duration
}

// stallFrom is the gap between two events that counts as a stall: the users' sheets
// bound pauses by 150 ms, and events come some 35 ms apart.
const stallFrom = 150 * time.Millisecond

// gap records the time from one event of a run, or from its start, to the next.
func (s *Spent) gap(length time.Duration, first bool) {
	switch {
	case first:
		s.Prompt += length
	case length >= stallFrom:
		s.Stalled += length
	}
}

// sent records the start of a run. lastSign is the last event, or start, of the run
// before it.
func (m *Milestones) sent(samplerID string, lastSign, now time.Time) {
	if m.Started.IsZero() {
		m.Started = now
	} else {
		m.Spent.Paused += now.Sub(lastSign)
	}
	m.Sampler = samplerID
	m.Runs++
}

// savedText tells how much of an item's text was sent to the log.
type savedText struct {
	// id names the last part sent, 0 if there is none.
	id     uint64
	events uint64
	bytes  int
	// at is when it was sent; confirmed is set once it was read back.
	at        time.Time
	confirmed bool
}

type job struct {
	id     string
	spec   *pathbendv1.BatchJob
	policy Policy
	items  []*item
	// held keeps its items from being started.
	held bool
	// newest is the newest version of the model when the job was taken in.
	newest uint64
}

// accepted tells which versions the job's texts may have.
func (j *job) accepted() Acceptance {
	return Acceptance{MinVersion: j.spec.MinVersion, SingleVersion: j.policy.SingleVersion}
}

// fits reports whether text of these versions may be part of a result.
func (j *job) fits(versions []uint64) bool { return j.accepted().Fits(versions) }
