package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/ledger"
)

const (
	// silenceLimit is how long a run may make no event before the item is taken
	// elsewhere.
	silenceLimit = 1500 * time.Millisecond
	// moveRatio is how much faster another sampler must be for an item to move.
	moveRatio = 1.8
	// moveAfter is how long a run is watched before it may move.
	moveAfter = 400 * time.Millisecond
	// moveWorth is the time that a move must save.
	moveWorth = 400 * time.Millisecond
	// itemPause is how long an item rests after a refused or broken run.
	itemPause = 30 * time.Millisecond
	// maxItemPause bounds the growing pause of an item that is refused again
	// and again.
	maxItemPause = 500 * time.Millisecond
	// confirmTimeout is how long a saved part may take to be read back.
	confirmTimeout = 2 * time.Second
	// assumedTokensPerEvent serves to turn expected tokens into events.
	assumedTokensPerEvent = 45
)

// Scheduler holds the open jobs and the samplers. It is not safe for
// concurrent use.
type Scheduler struct {
	jobs     map[string]*job
	items    map[Key]*item
	samplers map[string]*samplerState
	// seenGroups are groups that a job brought already.
	seenGroups map[string]struct{}
	runs       uint64
	newID      func() uint64
}

// New returns an empty scheduler. newID draws ids that no other executor draws.
func New(newID func() uint64) *Scheduler {
	return &Scheduler{
		newID:      newID,
		jobs:       make(map[string]*job),
		items:      make(map[Key]*item),
		samplers:   make(map[string]*samplerState),
		seenGroups: make(map[string]struct{}),
	}
}

// Kept finds text of items from earlier runs.
type Kept interface {
	Progress(itemID string) (ledger.Progress, bool)
	Finished(itemID string) (ledger.Result, bool)
}

// AddJob takes in an open job. It returns the items whose text is whole
// already, which need only their score.
func (s *Scheduler) AddJob(open *ledger.Job, policy Policy, kept Kept) []Finished {
	if _, known := s.jobs[open.ID]; known {
		return nil
	}
	added := &job{id: open.ID, spec: open.Spec, policy: policy}
	s.jobs[open.ID] = added
	var finished []Finished
	for _, spec := range open.Spec.Items {
		key := Key{Job: open.ID, Item: spec.Id}
		if open.Listed(spec.Id) || s.items[key] != nil {
			continue
		}
		entry := &item{key: key, spec: spec, job: added}
		s.items[key] = entry
		added.items = append(added.items, entry)
		if whole, ok := entry.reuse(kept); ok {
			finished = append(finished, whole)
		}
	}
	s.rank(added)
	for _, spec := range open.Spec.Items {
		s.seenGroups[spec.Group] = struct{}{}
	}
	return finished
}

// reuse takes over text of an earlier run, whole or in part.
func (i *item) reuse(kept Kept) (Finished, bool) {
	if done, ok := kept.Finished(i.key.Item); ok && i.job.fits(done.Versions) && len(done.Versions) > 0 {
		i.text, i.versions = done.Text, done.Versions
		i.phase = scoring
		whole := i.finished()
		if done.RewardID == i.spec.GetReward().GetId() {
			whole.Score = done.Score
		}
		return whole, true
	}
	if progress, ok := kept.Progress(i.key.Item); ok {
		i.resume(progress)
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
	}
	added.items = ordered
}

// DropJob forgets a job and returns the runs to stop.
func (s *Scheduler) DropJob(id string) []Key {
	dropped, ok := s.jobs[id]
	if !ok {
		return nil
	}
	var stopped []Key
	for _, entry := range dropped.items {
		if entry.phase == running {
			stopped = append(stopped, entry.key)
		}
		s.free(entry)
		delete(s.items, entry.key)
	}
	delete(s.jobs, id)
	return stopped
}

// Settled forgets an item whose result is listed. It reports whether a run of
// it must be stopped.
func (s *Scheduler) Settled(key Key) bool {
	entry, ok := s.items[key]
	if !ok {
		return false
	}
	wasRunning := entry.phase == running
	s.free(entry)
	delete(s.items, key)
	entry.job.items = slices.DeleteFunc(entry.job.items, func(other *item) bool { return other == entry })
	return wasRunning
}

// HasJob reports whether a job is known.
func (s *Scheduler) HasJob(id string) bool { return s.jobs[id] != nil }

// Jobs returns the ids of the jobs, ordered.
func (s *Scheduler) Jobs() []string { return slices.Sorted(maps.Keys(s.jobs)) }

// Samplers takes in the list of samplers. What is known of each is kept.
func (s *Scheduler) Samplers(listed []Sampler) {
	present := make(map[string]struct{}, len(listed))
	for _, sampler := range listed {
		present[sampler.ID] = struct{}{}
		state, ok := s.samplers[sampler.ID]
		if !ok {
			state = &samplerState{pace: initialPace, groups: make(map[string]time.Time), loading: make(map[string]struct{})}
			s.samplers[sampler.ID] = state
		}
		known := state.Versions
		state.Sampler = sampler
		state.Versions = newest(known, sampler.Versions)
	}
	for id, state := range s.samplers {
		if _, ok := present[id]; !ok {
			state.Leaving = true
			if state.running == 0 {
				delete(s.samplers, id)
			}
		}
	}
}

func newest(known, listed map[string]uint64) map[string]uint64 {
	merged := maps.Clone(listed)
	if merged == nil {
		merged = make(map[string]uint64)
	}
	for model, version := range known {
		merged[model] = max(merged[model], version)
	}
	return merged
}

// SetVersion records the version that a sampler was found to serve.
func (s *Scheduler) SetVersion(samplerID, model string, version uint64) {
	if state, ok := s.samplers[samplerID]; ok {
		state.setVersion(model, version)
	}
}

// SetLoading records whether a sampler changes the weights of a model.
func (s *Scheduler) SetLoading(samplerID, model string, loading bool) {
	state, ok := s.samplers[samplerID]
	switch {
	case !ok:
	case loading:
		state.loading[model] = struct{}{}
	default:
		delete(state.loading, model)
	}
}

// Sampler returns a sampler by id.
func (s *Scheduler) Sampler(id string) (Sampler, bool) {
	state, ok := s.samplers[id]
	if !ok {
		return Sampler{}, false
	}
	return state.Sampler, true
}

// Load tells how loaded a sampler is.
type Load struct {
	ID      string
	Running int
	Pace    time.Duration
	Leaving bool
	// Versions maps a model to the version that it serves.
	Versions map[string]uint64
}

// Loads lists the samplers by id.
func (s *Scheduler) Loads() []Load {
	loads := make([]Load, 0, len(s.samplers))
	for _, id := range slices.Sorted(maps.Keys(s.samplers)) {
		state := s.samplers[id]
		loads = append(loads, Load{
			ID: id, Running: state.running, Pace: state.pace, Leaving: state.Leaving,
			Versions: maps.Clone(state.Versions),
		})
	}
	return loads
}

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

// Start asks the executor to run an item at a sampler.
type Start struct {
	Key     Key
	Run     uint64
	Sampler Sampler
	Job     *pathbendv1.BatchJob
	Item    *pathbendv1.BatchItem
	// AfterEvent is the event to continue after, 0 to begin.
	AfterEvent uint64
	// Candidates and Running tell what the choice was made from.
	Candidates int
	Running    int
	Pace       time.Duration
}

// Starts returns the runs to begin now.
func (s *Scheduler) Starts(now time.Time) []Start {
	var starts []Start
	free := s.freeSlots(now)
	for _, open := range s.byDue() {
		for _, entry := range open.items {
			if free == 0 {
				return starts
			}
			if entry.phase != pending || now.Before(entry.notBefore) {
				continue
			}
			chosen, candidates := s.choose(entry, now)
			if chosen == nil {
				continue
			}
			starts = append(starts, s.start(entry, chosen, candidates, now))
			free--
		}
	}
	return starts
}

func (s *Scheduler) freeSlots(now time.Time) int {
	free := 0
	for _, state := range s.samplers {
		if state.usable(now) {
			free += state.slots() - state.running
		}
	}
	return free
}

func (s *Scheduler) byDue() []*job {
	ordered := slices.Collect(maps.Values(s.jobs))
	slices.SortFunc(ordered, func(a, b *job) int {
		return cmp.Or(a.policy.Due.Compare(b.policy.Due), cmp.Compare(a.id, b.id))
	})
	return ordered
}

// choose returns the sampler that is expected to finish the item first, nil if
// none may run it now, and the number of samplers that might.
func (s *Scheduler) choose(entry *item, now time.Time) (*samplerState, int) {
	var best *samplerState
	bestCost, candidates := 0.0, 0
	for _, id := range slices.Sorted(maps.Keys(s.samplers)) {
		state := s.samplers[id]
		if !state.usable(now) || !s.serves(state, entry) {
			continue
		}
		candidates++
		cost := state.cost(entry.spec.Group, now)
		if state.ID == entry.avoid {
			cost *= 2
		}
		if best == nil || cost < bestCost {
			best, bestCost = state, cost
		}
	}
	return best, candidates
}

// serves reports whether a sampler's service and weights fit an item.
func (s *Scheduler) serves(state *samplerState, entry *item) bool {
	if !slices.Contains(entry.job.policy.Services, state.Service) {
		return false
	}
	version, known := state.Versions[entry.job.spec.Model]
	if !known || version < entry.job.spec.MinVersion || state.isLoading(entry.job.spec.Model) {
		return false
	}
	if entry.job.policy.SingleVersion && len(entry.versions) > 0 {
		return entry.versions[0] == version
	}
	return true
}

func (s *Scheduler) start(entry *item, chosen *samplerState, candidates int, now time.Time) Start {
	s.runs++
	entry.phase, entry.sampler, entry.run = running, chosen, s.runs
	entry.startedAt, entry.lastEvent = now, now
	started := Start{
		Key: entry.key, Run: s.runs, Sampler: chosen.Sampler, Job: entry.job.spec, Item: entry.spec,
		AfterEvent: entry.events, Candidates: candidates, Running: chosen.running, Pace: chosen.pace,
	}
	chosen.running++
	chosen.groups[entry.spec.Group] = now
	return started
}

// free takes an item off its sampler.
func (s *Scheduler) free(entry *item) {
	if entry.sampler == nil {
		return
	}
	entry.sampler.running--
	entry.sampler = nil
}

// Progress takes in an event of a run. It reports false if the run is not
// wanted any more.
func (s *Scheduler) Progress(key Key, run uint64, event Event, now time.Time) bool {
	entry := s.current(key, run)
	if entry == nil || event.ID != entry.events+1 {
		return false
	}
	if event.Version < entry.job.spec.MinVersion {
		entry.sampler.setVersion(entry.job.spec.Model, event.Version)
		return false
	}
	versions := ledger.MergeVersions(entry.versions, []uint64{event.Version})
	if !entry.job.fits(versions) {
		entry.restart()
		return false
	}
	if entry.events > 0 {
		entry.text = append(entry.text, '\n')
	}
	entry.text = append(entry.text, event.Data...)
	entry.events++
	entry.versions = versions
	if entry.lastEvent != entry.startedAt {
		entry.sampler.observe(now.Sub(entry.lastEvent))
	}
	entry.lastEvent = now
	if event.Version > entry.sampler.Versions[entry.job.spec.Model] {
		entry.sampler.setVersion(entry.job.spec.Model, event.Version)
	}
	return true
}

func (s *Scheduler) current(key Key, run uint64) *item {
	entry, ok := s.items[key]
	if !ok || entry.phase != running || entry.run != run {
		return nil
	}
	return entry
}

// Finished is an item whose text is whole.
type Finished struct {
	Key      Key
	Text     []byte
	Versions []uint64
	Reward   *pathbendv1.RewardCall
	// Score is set if the text was scored by the same call before.
	Score string
}

func (i *item) finished() Finished {
	return Finished{Key: i.key, Text: i.text, Versions: i.versions, Reward: i.spec.Reward}
}

// Ending is how a run ended.
type Ending int

// Endings of a run.
const (
	// Whole means that the stream ended as complete.
	Whole Ending = iota + 1
	// Refused means that the sampler did not begin.
	Refused
	// WrongSampler means that the address belongs to another sampler.
	WrongSampler
	// Failed means that the sampler ran the item and failed.
	Failed
	// Impossible means that the item can never be done.
	Impossible
	// Broken means that the stream ended early or made no sense.
	Broken
	// Stopped means that the executor stopped the run.
	Stopped
)

var endingNames = [...]string{
	Whole: "whole", Refused: "refused", WrongSampler: "wrong_sampler", Failed: "failed",
	Impossible: "impossible", Broken: "broken", Stopped: "stopped",
}

// String implements fmt.Stringer.
func (e Ending) String() string { return endingNames[e] }

// Verdict is what follows from the end of a run.
type Verdict struct {
	// Finished is set if the text is whole and wants its score.
	Finished *Finished
	// Dead is set if the item is given up.
	Dead bool
	// Failures counts the failed runs of the item.
	Failures int
}

// RunEnded takes in the end of a run.
func (s *Scheduler) RunEnded(key Key, run uint64, ending Ending, now time.Time) Verdict {
	entry := s.current(key, run)
	if entry == nil {
		return Verdict{}
	}
	sampler := entry.sampler
	s.free(entry)
	entry.phase = pending
	entry.avoid = sampler.ID
	switch ending {
	case Whole:
		if entry.events == 0 {
			entry.notBefore = now.Add(itemPause)
			return Verdict{}
		}
		entry.phase = scoring
		whole := entry.finished()
		return Verdict{Finished: &whole}
	case Impossible:
		entry.phase = settled
		return Verdict{Dead: true}
	case Failed:
		return entry.failed(now)
	case WrongSampler:
		sampler.Leaving = true
	case Refused, Broken:
		sampler.pause(now)
		entry.rest(now)
	}
	return Verdict{}
}

func (i *item) failed(now time.Time) Verdict {
	i.failures++
	if i.failures >= i.job.policy.MaxFailures {
		i.phase = settled
		return Verdict{Dead: true, Failures: i.failures}
	}
	i.rest(now)
	return Verdict{Failures: i.failures}
}

func (i *item) rest(now time.Time) {
	i.notBefore = now.Add(min(itemPause<<min(i.refusals, 5), maxItemPause))
	i.refusals++
}

// Scored records that an item's result waits for its place in the log.
func (s *Scheduler) Scored(key Key) bool {
	entry, ok := s.items[key]
	if !ok {
		return false
	}
	entry.phase = settled
	return true
}

// Move is a run to stop so that the item goes on elsewhere.
type Move struct {
	Key    Key
	Run    uint64
	From   string
	Silent time.Duration
	Pace   time.Duration
	Reason string
}

// Moves returns the runs to stop now: silent ones, and, if there is room at a
// much faster sampler, those on slow ones. Their items are pending again.
func (s *Scheduler) Moves(now time.Time) []Move {
	var moves []Move
	for _, key := range s.runningKeys() {
		entry := s.items[key]
		silent := now.Sub(entry.lastEvent)
		move := Move{Key: key, Run: entry.run, From: entry.sampler.ID, Silent: silent, Pace: entry.sampler.pace}
		switch {
		case silent > silenceLimit && !entry.sampler.isLoading(entry.job.spec.Model):
			move.Reason = "silent"
			entry.sampler.pause(now)
		case s.fasterElsewhere(entry, now):
			move.Reason = "slow"
		default:
			continue
		}
		entry.avoid = entry.sampler.ID
		s.free(entry)
		entry.phase = pending
		moves = append(moves, move)
	}
	return moves
}

func (s *Scheduler) runningKeys() []Key {
	var keys []Key
	for _, open := range s.byDue() {
		for _, entry := range open.items {
			if entry.phase == running {
				keys = append(keys, entry.key)
			}
		}
	}
	return keys
}

func (s *Scheduler) fasterElsewhere(entry *item, now time.Time) bool {
	if now.Sub(entry.startedAt) < moveAfter {
		return false
	}
	best, _ := s.choose(entry, now)
	if best == nil || best == entry.sampler {
		return false
	}
	gain := float64(entry.sampler.pace) - float64(best.pace)
	saved := time.Duration(gain * entry.remaining(assumedTokensPerEvent))
	return float64(entry.sampler.pace) > moveRatio*float64(best.pace) && saved > moveWorth
}

// Unsaved returns the text that the log does not keep yet of every running
// item that has made at least minEvents events since, and counts it as sent. A
// part that was not read back in time is sent again with all that is before it:
// the log may have lost it, or another executor may have begun the item anew.
func (s *Scheduler) Unsaved(minEvents uint64, kept Kept, now time.Time) map[string][]*pathbendv1.ItemProgress {
	unsaved := make(map[string][]*pathbendv1.ItemProgress)
	for _, key := range s.runningKeys() {
		entry := s.items[key]
		if !entry.saved.settle(kept, key.Item, now) || entry.events < entry.saved.events+minEvents {
			continue
		}
		unsaved[key.Job] = append(unsaved[key.Job], entry.save(s.newID(), now))
	}
	return unsaved
}

// settle reports whether a further part may be sent.
func (t *savedText) settle(kept Kept, itemID string, now time.Time) bool {
	if t.id == 0 {
		return true
	}
	progress, _ := kept.Progress(itemID)
	if progress.ID == t.id {
		t.confirmed = true
		return true
	}
	if !t.confirmed && now.Sub(t.at) < confirmTimeout {
		return false
	}
	*t = savedText{}
	return true
}

// save returns the part of the text that was not sent yet.
func (i *item) save(id uint64, now time.Time) *pathbendv1.ItemProgress {
	fresh := i.text[i.saved.bytes:]
	if i.saved.events > 0 {
		fresh = fresh[1:] // the line feed between two events
	}
	part := &pathbendv1.ItemProgress{
		ItemId: i.key.Item, Id: id, Previous: i.saved.id, Text: slices.Clone(fresh),
		Versions: i.versions, Events: i.events - i.saved.events,
	}
	i.saved = savedText{id: id, events: i.events, bytes: len(i.text), at: now}
	return part
}

// Counts tells how many items stand where.
type Counts struct {
	Pending, Running, Scoring, Settled int
}

// Counts counts the items by phase.
func (s *Scheduler) Counts() Counts {
	var counts Counts
	for _, entry := range s.items {
		switch entry.phase {
		case pending:
			counts.Pending++
		case running:
			counts.Running++
		case scoring:
			counts.Scoring++
		case settled:
			counts.Settled++
		}
	}
	return counts
}
