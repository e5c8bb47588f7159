package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/evacuation"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/warmup"
)

// Scheduler holds the open jobs and the samplers. It is not safe for
// concurrent use.
type Scheduler struct {
	jobs     map[string]*job
	items    map[Key]*item
	samplers map[string]*samplerState
	// limits are what cold samplers bear, by service.
	limits map[string]warmup.Limits
	// ordered lists the samplers by id. The next choice among more than it compares
	// begins at lookFrom.
	ordered  []*samplerState
	lookFrom int
	serving  servingIndex
	// listings counts the lists of samplers that were taken.
	listings uint64
	// brisk is the pace of briskPace as of briskAt.
	brisk   time.Duration
	briskAt time.Time
	// evacuated are the zones whose samplers get nothing new.
	evacuated evacuation.Zones
	// seenGroups tells when a job last brought a group.
	seenGroups map[string]time.Time
	// fleetPace is a moving average of the time to one event at any sampler.
	fleetPace time.Duration
	// firstGap is a moving average of the time to the first event of a run.
	firstGap time.Duration
	runs     uint64
	newID    func() uint64

	// named is the newest version of each model, slack what its latest job allows.
	named map[string]uint64
	slack map[string]jobSlack
	// carries tells of which models jobs bring groups of earlier jobs again.
	carries map[string]bool
	// ahead holds text of unfinished items for later jobs, by item id.
	ahead   map[string]*item
	demand  demand
	lengths lengths
	// usualEvents is a moving average of the length of complete texts.
	usualEvents float64
	holds       Holds
}

// Holds tells of items under which samplers ended.
type Holds interface {
	// HeldUntil is when an item may go to a sampler again, the zero time if it may now.
	HeldUntil(itemID string) time.Time
	// Suspect reports whether samplers ended under an item again and again, and none survived it
	// since.
	Suspect(itemID string) bool
}

// SetHolds names what tells of items under which samplers ended; without it there are none.
func (s *Scheduler) SetHolds(holds Holds) { s.holds = holds }

// suspect reports whether samplers ended under an item again and again. Suspects run at a sampler each: one of
// them may be the cause, and samplers suit the items of a group alike, so that those beside it
// would be there at every end.
func (s *Scheduler) suspect(entry *item) bool {
	return s.holds != nil && s.holds.Suspect(entry.key.Item)
}

// held reports whether an item must not go to a sampler now.
func (s *Scheduler) held(entry *item, now time.Time) bool {
	return s.holds != nil && now.Before(s.holds.HeldUntil(entry.key.Item))
}

// New returns an empty scheduler. newID draws ids that no other executor draws.
func New(newID func() uint64) *Scheduler {
	return &Scheduler{
		newID:      newID,
		fleetPace:  initialPace,
		firstGap:   silenceLimit / silenceFirsts,
		lengths:    newLengths(),
		jobs:       make(map[string]*job),
		items:      make(map[Key]*item),
		samplers:   make(map[string]*samplerState),
		serving:    newServingIndex(),
		seenGroups: make(map[string]time.Time),
		named:      make(map[string]uint64),
		slack:      make(map[string]jobSlack),
		carries:    make(map[string]bool),
		ahead:      make(map[string]*item),
	}
}

// Kept finds text of items from earlier runs.
type Kept interface {
	// Partial returns the text of an item that was not finished.
	Partial(itemID string) (Partial, bool)
	Finished(itemID string) (ledger.Result, bool)
}

// Partial is the kept text of an item that was not finished.
type Partial struct {
	// ID names the last part of the text in the log.
	ID       uint64
	Events   uint64
	Text     []byte
	Versions []uint64
}

// AddJob records an open job with its items. It returns the items whose text is
// whole already, which need only their score, and the runs to stop.
func (s *Scheduler) AddJob(open *ledger.Job, items []*pathbendv1.BatchItem, policy Policy, kept Kept) (finished []Finished, stopped []Key) {
	if _, known := s.jobs[open.ID]; known {
		return nil, nil
	}
	added := &job{id: open.ID, spec: open.Spec, policy: policy}
	s.jobs[open.ID] = added
	s.noteSlack(added)
	for _, spec := range items {
		key := Key{Job: open.ID, Item: spec.Id}
		if open.Listed(spec.Id) || s.items[key] != nil {
			continue
		}
		entry := &item{key: key, spec: spec, job: added}
		s.items[key] = entry
		added.items = append(added.items, entry)
		completed, reused := entry.reuse(kept)
		if reused {
			finished = append(finished, completed)
		}
		stopped = append(stopped, s.takeAhead(entry)...)
		if !reused && entry.aheadComplete {
			entry.phase = scoring
			finished = append(finished, entry.finished())
		}
	}
	s.rank(added)
	s.noteGroups(items, open.ReceivedAt)
	return finished, stopped
}

// carryTime is how long a group may take to come again in a later job.
const carryTime = 2 * time.Minute

// noteGroups remembers the groups of a job and forgets those that were not
// brought for long.
func (s *Scheduler) noteGroups(items []*pathbendv1.BatchItem, now time.Time) {
	maps.DeleteFunc(s.seenGroups, func(_ string, seen time.Time) bool { return now.Sub(seen) > carryTime })
	for _, spec := range items {
		s.seenGroups[spec.Group] = now
	}
}

// reuse takes over text of an earlier run, in full or in part.
func (i *item) reuse(kept Kept) (Finished, bool) {
	if done, ok := kept.Finished(i.key.Item); ok && i.job.fits(done.Versions) && len(done.Versions) > 0 {
		i.versions = done.Versions
		i.phase = scoring
		completed := i.finished()
		completed.Kept = done.Text
		if done.RewardID == i.spec.GetReward().GetId() {
			completed.Score = done.Score
		}
		return completed, true
	}
	if partial, ok := kept.Partial(i.key.Item); ok {
		i.Resume(partial, i.job.accepted())
	}
	return Finished{}, false
}

// rank orders a job's items: groups that came before, then long ones first.
func (s *Scheduler) rank(added *job) {
	longest := make(map[string]uint64)
	for _, entry := range added.items {
		longest[entry.spec.Group] = max(longest[entry.spec.Group], entry.spec.ExpectedTokens)
	}
	ordered := slices.Clone(added.items)
	carried := func(entry *item) int {
		if _, seen := s.seenGroups[entry.spec.Group]; seen {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(ordered, func(a, b *item) int {
		return cmp.Or(
			cmp.Compare(carried(a), carried(b)),
			cmp.Compare(longest[b.spec.Group], longest[a.spec.Group]),
			cmp.Compare(a.spec.Group, b.spec.Group),
			cmp.Compare(b.spec.ExpectedTokens, a.spec.ExpectedTokens),
		)
	})
	for rank, entry := range ordered {
		entry.rank = rank
		entry.carried = carried(entry) == 0
		if entry.carried {
			s.carries[added.spec.Model] = true
		}
	}
	added.items = ordered
}

// DropJob forgets a job and returns the runs to stop.
func (s *Scheduler) DropJob(id string, now time.Time) []Key {
	dropped, ok := s.jobs[id]
	if !ok {
		return nil
	}
	var stopped []Key
	for _, entry := range dropped.items {
		if entry.phase == running {
			stopped = append(stopped, entry.key)
		}
		s.leave(entry, now)
		s.free(entry)
		delete(s.items, entry.key)
	}
	delete(s.jobs, id)
	return stopped
}

// Settled forgets an item whose result is listed. It returns what is known of
// the item's way and the runs of it to stop.
func (s *Scheduler) Settled(key Key) (passed Milestones, stopped []Key) {
	entry, ok := s.items[key]
	if !ok {
		return Milestones{}, nil
	}
	if entry.phase == running {
		stopped = append(stopped, key)
	}
	if ahead, wasRunning := s.dropAhead(key.Item); wasRunning {
		stopped = append(stopped, ahead)
	}
	s.free(entry)
	delete(s.items, key)
	entry.job.items = slices.DeleteFunc(entry.job.items, func(other *item) bool { return other == entry })
	passed = entry.milestones
	passed.Group, passed.Carried, passed.ExpectedTokens = entry.spec.Group, entry.carried, entry.spec.ExpectedTokens
	for _, other := range entry.job.items {
		if other.spec.Group == entry.spec.Group {
			passed.GroupOpen++
		}
	}
	return passed, stopped
}

// HasJob reports whether a job is known.
func (s *Scheduler) HasJob(id string) bool { return s.jobs[id] != nil }

// SingleVersion reports whether an open job of a model wants each text made by
// one version.
func (s *Scheduler) SingleVersion(model string) bool {
	for _, open := range s.jobs {
		if open.spec.Model == model && open.policy.SingleVersion {
			return true
		}
	}
	return false
}
