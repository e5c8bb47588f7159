package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

// A trainer ends a job once enough of its groups are complete, and brings the others
// again in a later job. That job wants newer weights, so the text of their long
// items, which take an entire step to make, would begin anew. While the first job is
// still open, such items are therefore run a second time under weights that the
// later job will accept, and go on from there when it brings them.

const (
	// aheadPart is the part of the slots that runs ahead may take.
	aheadPart = 8
	// AheadPatience is how long a run ahead goes on after its job has ended.
	AheadPatience = 3 * time.Second
	// longRatio is how many times as long as a usual item one must be to be run
	// ahead.
	longRatio = 2.0
	// usualWeight is the share of a new observation in the usual length.
	usualWeight = 0.02
)

// Named records the newest version of a model that trainers named. It reports
// whether that is newer than what was known.
func (s *Scheduler) Named(model string, version uint64) (newer bool) {
	if s.named[model] >= version {
		return false
	}
	s.named[model] = version
	return true
}

// noteSlack remembers how many versions behind the newest the latest job of a
// model allows.
func (s *Scheduler) noteSlack(added *job) {
	added.newest = max(s.named[added.spec.Model], added.spec.MinVersion)
	last, known := s.slack[added.spec.Model]
	if !known || added.spec.Step >= last.step {
		s.slack[added.spec.Model] = jobSlack{step: added.spec.Step, versions: added.newest - added.spec.MinVersion}
	}
}

// jobSlack is how many versions behind the newest a job allows.
type jobSlack struct {
	step     uint64
	versions uint64
}

// laterVersion returns the oldest version that a job after the next version of
// the model will accept. ok is false while no sampler can have it, or nothing
// newer than the job itself was named.
func (s *Scheduler) laterVersion(open *job) (version uint64, ok bool) {
	newest, slack := s.named[open.spec.Model], s.slack[open.spec.Model].versions
	if newest <= open.newest || slack == 0 {
		return 0, false
	}
	return newest + 1 - slack, true
}

// startsAhead returns runs ahead to begin now.
func (s *Scheduler) startsAhead(now time.Time) []Start {
	room := -1
	var starts []Start
	for _, open := range s.byDue() {
		version, ok := s.laterVersion(open)
		if !ok || open.held || !s.carries[open.spec.Model] {
			continue
		}
		for _, entry := range s.worthAhead(open, version) {
			if room < 0 {
				// It looks at all samplers, so it is worked out where it is wanted.
				room = s.aheadRoom()
			}
			if room == 0 {
				return starts
			}
			copied := entry.ahead(version)
			chosen, candidates := s.choose(copied, now)
			if chosen == nil {
				break
			}
			s.ahead[copied.key.Item] = copied
			s.items[copied.key] = copied
			starts = append(starts, s.start(copied, chosen, candidates, now))
			room--
		}
	}
	return starts
}

// aheadRoom is the number of runs ahead that may begin.
func (s *Scheduler) aheadRoom() int {
	slots, taken := 0, 0
	for _, state := range s.ordered {
		if !state.Leaving && !state.evacuated {
			slots += state.slots()
		}
	}
	for _, copied := range s.ahead {
		if copied.phase == running {
			taken++
		}
	}
	return max(slots/aheadPart-taken, 0)
}

// worthAhead lists the running items of a job that are long, the longest first,
// and whose text a later job would not accept.
func (s *Scheduler) worthAhead(open *job, version uint64) []*item {
	var long []*item
	for _, entry := range open.items {
		_, started := s.ahead[entry.key.Item]
		if started || entry.phase != running || entry.events == 0 || entry.versions[0] >= version {
			continue
		}
		if s.suspect(entry) {
			continue
		}
		if float64(entry.events) >= longRatio*s.usualEvents {
			long = append(long, entry)
		}
	}
	slices.SortFunc(long, func(a, b *item) int {
		return cmp.Or(cmp.Compare(b.events, a.events), cmp.Compare(a.key.Item, b.key.Item))
	})
	return long
}

// ahead returns a second entry for an item, whose text begins at a version.
func (i *item) ahead(version uint64) *item {
	spec := &pathbendv1.BatchJob{
		Host: i.job.spec.Host, Path: i.job.spec.Path, Step: i.job.spec.Step, Model: i.job.spec.Model, MinVersion: version,
		Tenant: i.job.spec.Tenant,
	}
	later := &job{id: i.job.id, spec: spec, policy: i.job.policy}
	key := i.key
	key.Ahead = true
	return &item{key: key, spec: i.spec, job: later, remote: i.job.policy.Remote}
}

// endAhead records the end of a run ahead. Its text is kept for a later job.
func (s *Scheduler) endAhead(copied *item, ending Ending) {
	s.free(copied)
	delete(s.items, copied.key)
	copied.phase = pending
	if ending == Complete && copied.events > 0 {
		copied.phase = settled
	}
	if copied.events == 0 {
		delete(s.ahead, copied.key.Item)
	}
}

// dropAhead forgets what was made ahead of an item, and reports whether a run of
// it must be stopped.
func (s *Scheduler) dropAhead(itemID string) (key Key, wasRunning bool) {
	copied, ok := s.ahead[itemID]
	if !ok {
		return Key{}, false
	}
	wasRunning = copied.phase == running
	s.free(copied)
	delete(s.items, copied.key)
	delete(s.ahead, itemID)
	return copied.key, wasRunning
}

// takeAhead gives an item that a later job brings again what was made ahead of it,
// if the job accepts it. It returns the run to stop, if there is one.
func (s *Scheduler) takeAhead(entry *item) (stopped []Key) {
	copied, ok := s.ahead[entry.key.Item]
	if !ok {
		return nil
	}
	key, wasRunning := s.dropAhead(entry.key.Item)
	if wasRunning {
		stopped = append(stopped, key)
	}
	if copied.remote == entry.job.policy.Remote && copied.events > entry.events && entry.job.fits(copied.versions) {
		entry.Text = Text{text: copied.text, events: copied.events, versions: copied.versions}
		entry.aheadComplete = copied.phase == settled
	}
	return stopped
}

// leave keeps the text of an unfinished item of a job that is over, unless more
// fitting text was made ahead.
func (s *Scheduler) leave(entry *item, now time.Time) {
	copied, started := s.ahead[entry.key.Item]
	if started {
		copied.leftAt = now
		return
	}
	if entry.events > 0 && entry.phase != settled {
		// The job itself is not kept: it holds the texts of all its items.
		s.ahead[entry.key.Item] = &item{
			key: entry.key, leftAt: now, remote: entry.job.policy.Remote,
			Text: Text{text: entry.text, events: entry.events, versions: entry.versions},
		}
	}
}

// staleAhead returns the runs ahead to stop: of jobs that ended long ago, or that
// are silent. What is older than a group may take to come again is forgotten.
func (s *Scheduler) staleAhead(now time.Time) []Move {
	var moves []Move
	for _, itemID := range slices.Sorted(maps.Keys(s.ahead)) {
		copied := s.ahead[itemID]
		left := !copied.leftAt.IsZero()
		if copied.phase != running {
			if left && now.Sub(copied.leftAt) > carryTime {
				delete(s.ahead, itemID)
			}
			continue
		}
		move := Move{Key: copied.key, Run: copied.run, From: copied.sampler.ID, Silent: now.Sub(copied.lastEvent), Pace: copied.sampler.pace}
		switch {
		case left && now.Sub(copied.leftAt) > AheadPatience:
			move.Reason = "not brought again"
		case move.Silent > silenceLimit && !copied.sampler.isLoading(copied.job.spec.Model):
			move.Reason = "silent"
			copied.sampler.lost(now)
		default:
			continue
		}
		s.endAhead(copied, Stopped)
		moves = append(moves, move)
	}
	return moves
}

// noteLength records the length of a complete text.
func (s *Scheduler) noteLength(events uint64) {
	if s.usualEvents == 0 {
		s.usualEvents = float64(events)
	}
	s.usualEvents += usualWeight * (float64(events) - s.usualEvents)
}
