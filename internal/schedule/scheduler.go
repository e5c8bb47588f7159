package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/coldlimit"
	"github.com/pathbend/pathbend/internal/evacuation"
	"github.com/pathbend/pathbend/internal/ledger"
)

// Scheduler assigns the items of the open jobs to samplers. It is not safe for
// concurrent use.
type Scheduler struct {
	jobs     map[string]*job
	items    map[Key]*item
	samplers map[string]*samplerState
	// limits are the request limits of cold samplers, by service.
	limits map[string]coldlimit.Limits
	// ordered lists the samplers by id. nextIndex is reset when ordered changes, but is not read:
	// selections use servingIndex.nextIndex.
	ordered   []*samplerState
	nextIndex int
	serving   servingIndex
	// listingCount counts the lists of samplers that were applied.
	listingCount uint64
	// cachedFastPace is the result of computeFastPace at cachedFastPaceAt.
	cachedFastPace   time.Duration
	cachedFastPaceAt time.Time
	// evacuated holds the zones whose samplers get no new runs.
	evacuated evacuation.Zones
	// groupLastSeen maps a group to the last time that a job submitted it, or ended without it being
	// complete.
	groupLastSeen map[string]time.Time
	// fleetPace is a moving average of the time between two events at any sampler.
	fleetPace time.Duration
	// firstGap is a moving average of the time to the first event of a run.
	firstGap time.Duration
	runs     uint64
	newID    func() uint64

	// newestVersions holds the newest announced version of each model, versionLags how far
	// behind it the versions accepted by the model's latest job may be.
	newestVersions map[string]uint64
	versionLags    map[string]versionLag
	// resubmitsGroups is set for models whose jobs resubmit groups of earlier jobs.
	resubmitsGroups map[string]bool
	// speculativeItems holds, by item id, speculative runs and the texts of unfinished items
	// that are kept for later jobs.
	speculativeItems map[string]*item
	demand           demand
	estimator        lengthEstimator
	// averageEvents is a moving average of the length of complete texts.
	averageEvents float64
}

// New returns an empty scheduler. newID must return ids that are unique across executors.
func New(newID func() uint64) *Scheduler {
	return &Scheduler{
		newID:            newID,
		fleetPace:        initialPace,
		firstGap:         maxSilenceTimeout / silenceTimeoutFirstGaps,
		estimator:        newLengthEstimator(),
		jobs:             make(map[string]*job),
		items:            make(map[Key]*item),
		samplers:         make(map[string]*samplerState),
		serving:          newServingIndex(),
		groupLastSeen:    make(map[string]time.Time),
		newestVersions:   make(map[string]uint64),
		versionLags:      make(map[string]versionLag),
		resubmitsGroups:  make(map[string]bool),
		speculativeItems: make(map[string]*item),
	}
}

// StoredTextSource provides texts of items from earlier runs.
type StoredTextSource interface {
	// Partial returns the text of an unfinished item, or false if there is none.
	Partial(itemID string) (PartialText, bool)
	// Finished returns the result of a finished item, or false if there is none.
	Finished(itemID string) (ledger.Result, bool)
}

// PartialText is the stored text of an unfinished item.
type PartialText struct {
	// ID identifies the last part of the text in the log.
	ID       uint64
	Events   uint64
	Text     []byte
	Versions []uint64
}

// AddJob adds an open job with its items. It returns the items whose text is already
// complete, which need only their score, and the speculative runs to stop. A known job is
// ignored.
func (s *Scheduler) AddJob(open *ledger.Job, items []*pathbendv1.BatchItem, policy Policy, stored StoredTextSource) (finished []Finished, stopped []Key) {
	if _, known := s.jobs[open.ID]; known {
		return nil, nil
	}
	added := &job{id: open.ID, spec: open.Spec, policy: policy}
	s.jobs[open.ID] = added
	s.recordVersionLag(added)
	for _, spec := range items {
		key := Key{Job: open.ID, Item: spec.Id}
		if open.HasResult(spec.Id) || s.items[key] != nil {
			continue
		}
		entry := &item{key: key, spec: spec, job: added}
		s.items[key] = entry
		added.items = append(added.items, entry)
		completed, reused := entry.reuse(stored)
		if reused {
			finished = append(finished, completed)
		}
		stopped = append(stopped, s.adoptSpeculative(entry)...)
		if !reused && entry.speculativeComplete {
			entry.phase = scoring
			finished = append(finished, entry.finished())
		}
	}
	s.rank(added)
	s.recordGroups(items, open.ReceivedAt)
	workload := added.workload()
	s.RecordDemand(workload, s.openItems()[workload], open.ReceivedAt)
	return finished, stopped
}

// groupResubmitTimeout is how long after the end of its last job a group can be resubmitted.
const groupResubmitTimeout = 2 * time.Minute

// recordGroups records the groups of a job and removes those that were not submitted
// within groupResubmitTimeout.
func (s *Scheduler) recordGroups(items []*pathbendv1.BatchItem, now time.Time) {
	maps.DeleteFunc(s.groupLastSeen, func(_ string, seen time.Time) bool { return now.Sub(seen) > groupResubmitTimeout })
	for _, spec := range items {
		s.groupLastSeen[spec.Group] = now
	}
}

// reuse adopts the complete or partial text of an earlier run. It returns true if the text
// is complete.
func (i *item) reuse(stored StoredTextSource) (Finished, bool) {
	if done, ok := stored.Finished(i.key.Item); ok && i.job.accepts(done.Versions) && len(done.Versions) > 0 {
		i.versions = done.Versions
		i.phase = scoring
		completed := i.finished()
		completed.StoredText = done.Text
		if done.RewardID == i.spec.GetReward().GetId() {
			completed.Score = done.Score
		}
		return completed, true
	}
	if partial, ok := stored.Partial(i.key.Item); ok {
		i.Resume(partial, i.job.versionConstraint())
	}
	return Finished{}, false
}

// rank orders a job's items: resubmitted groups first, then those with the longest item.
func (s *Scheduler) rank(added *job) {
	longest := make(map[string]uint64)
	for _, entry := range added.items {
		longest[entry.spec.Group] = max(longest[entry.spec.Group], entry.spec.ExpectedTokens)
	}
	ordered := slices.Clone(added.items)
	resubmittedFirst := func(entry *item) int {
		if _, seen := s.groupLastSeen[entry.spec.Group]; seen {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(ordered, func(a, b *item) int {
		return cmp.Or(
			cmp.Compare(resubmittedFirst(a), resubmittedFirst(b)),
			cmp.Compare(longest[b.spec.Group], longest[a.spec.Group]),
			cmp.Compare(a.spec.Group, b.spec.Group),
			cmp.Compare(b.spec.ExpectedTokens, a.spec.ExpectedTokens),
		)
	})
	for rank, entry := range ordered {
		entry.rank = rank
		entry.resubmitted = resubmittedFirst(entry) == 0
		if entry.resubmitted {
			s.resubmitsGroups[added.spec.Model] = true
		}
	}
	added.items = ordered
}

// DropJob removes a job and returns the runs to stop. Texts of unfinished items are kept for
// a later job.
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
		s.keepUnfinishedText(entry, now)
		s.release(entry)
		delete(s.items, entry.key)
		s.groupLastSeen[entry.spec.Group] = now
	}
	delete(s.jobs, id)
	return stopped
}

// RemoveItem removes an item whose result is in the log. It returns the item's milestones and
// its runs to stop.
func (s *Scheduler) RemoveItem(key Key) (milestones Milestones, stopped []Key) {
	entry, ok := s.items[key]
	if !ok {
		return Milestones{}, nil
	}
	if entry.phase == running {
		stopped = append(stopped, key)
	}
	if speculativeKey, wasRunning := s.dropSpeculative(key.Item); wasRunning {
		stopped = append(stopped, speculativeKey)
	}
	s.release(entry)
	delete(s.items, key)
	entry.job.items = slices.DeleteFunc(entry.job.items, func(other *item) bool { return other == entry })
	milestones = entry.milestones
	milestones.Group, milestones.Resubmitted, milestones.ExpectedTokens = entry.spec.Group, entry.resubmitted, entry.spec.ExpectedTokens
	for _, other := range entry.job.items {
		if other.spec.Group == entry.spec.Group {
			milestones.GroupOpen++
		}
	}
	return milestones, stopped
}

// Policy returns the policy of a job, or false if the job is unknown.
func (s *Scheduler) Policy(jobID string) (Policy, bool) {
	open, known := s.jobs[jobID]
	if !known {
		return Policy{}, false
	}
	return open.policy, true
}

// SetPolicy replaces the policy of an open job. Runs in progress continue at their samplers even
// if the policy no longer allows these; later runs start at samplers that it allows. Text that
// the policy no longer accepts is discarded. It returns the runs of such text, which must be
// stopped.
func (s *Scheduler) SetPolicy(jobID string, policy Policy) (stopped []Key) {
	open, known := s.jobs[jobID]
	if !known {
		return nil
	}
	open.policy = policy
	for _, entry := range open.items {
		if entry.phase != running && entry.phase != pending || open.accepts(entry.versions) {
			continue
		}
		if entry.phase == running {
			stopped = append(stopped, entry.key)
		}
		s.release(entry)
		entry.phase = pending
		entry.Restart()
	}
	return append(stopped, s.setSpeculativePolicy(jobID, policy)...)
}

// HasJob reports whether a job was added and not dropped.
func (s *Scheduler) HasJob(id string) bool { return s.jobs[id] != nil }

// SingleVersion reports whether an open job of a model requires each text to be made by
// one version.
func (s *Scheduler) SingleVersion(model string) bool {
	for _, open := range s.jobs {
		if open.spec.Model == model && open.policy.SingleVersion {
			return true
		}
	}
	return false
}
