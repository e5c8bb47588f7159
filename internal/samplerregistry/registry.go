// Package samplerregistry is the registry of samplers. It holds the newest entry of each
// sampler id from the keyed topic in which samplers register themselves.
//
// A sampler may be restarted under the same id. Its start time, in Unix milliseconds,
// identifies the incarnation and is compared only with other start times of the same id, so
// that the clocks of two machines are never compared. The entry of an earlier incarnation
// never replaces that of a later one, however late it arrives. While the newest entry of an
// id cannot be decoded, the id has no usable sampler, even if an earlier entry was valid.
//
// The package does no I/O and takes the time as an argument.
package samplerregistry

import (
	"slices"
	"time"

	"github.com/pathbend/pathbend/internal/schedule"
)

// startTimeRetention is how long the newest start time of an id is retained after its entry
// was removed. A log that rewinds delivers earlier entries again; the users' log service
// rewinds by seconds. Without a limit, ids that never return would be retained forever.
const startTimeRetention = 10 * time.Minute

// Registry is the list of samplers by id. It is not safe for concurrent use.
type Registry struct {
	samplers map[string]schedule.Sampler
	// ids are the ids of samplers in ascending order.
	ids []string
	// revision is the number of entries that were accepted so far.
	revision uint64
	// removed maps ids without an entry to their newest start time.
	removed map[string]removedEntry
	// unusable is the set of ids whose newest entry cannot be decoded.
	unusable map[string]struct{}
}

// removedEntry is an entry that was removed, or replaced by one that cannot be decoded.
type removedEntry struct {
	// startedAtMs is the start time of the sampler in Unix milliseconds.
	startedAtMs int64
	removedAt   time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		samplers: make(map[string]schedule.Sampler), removed: make(map[string]removedEntry), unusable: make(map[string]struct{}),
	}
}

// Put adds or replaces the entry of a sampler and assigns its revision. It returns false,
// and ignores the entry, if it is from an earlier incarnation.
func (r *Registry) Put(sampler schedule.Sampler) bool {
	if sampler.StartedAtMs < r.newestStart(sampler.ID) {
		return false
	}
	delete(r.unusable, sampler.ID)
	delete(r.removed, sampler.ID)
	r.revision++
	sampler.Revision = r.revision
	if index, found := slices.BinarySearch(r.ids, sampler.ID); !found {
		r.ids = slices.Insert(r.ids, index, sampler.ID)
	}
	r.samplers[sampler.ID] = sampler
	return true
}

// Remove removes the entry of an id.
func (r *Registry) Remove(id string, now time.Time) {
	delete(r.unusable, id)
	r.remove(id, now)
}

// Reject records that the newest entry of an id cannot be decoded: the id has no sampler
// until a valid entry arrives. It returns false if that was also so before the call.
func (r *Registry) Reject(id string, now time.Time) (first bool) {
	_, known := r.unusable[id]
	r.unusable[id] = struct{}{}
	r.remove(id, now)
	return !known
}

// newestStart returns the newest known start time of an id in Unix milliseconds. It is 0 if
// the id is unknown or its entries have no start time.
func (r *Registry) newestStart(id string) int64 {
	if sampler, found := r.samplers[id]; found {
		return sampler.StartedAtMs
	}
	return r.removed[id].startedAtMs
}

// HasStartTime reports whether an earlier entry of an id had a start time. An entry without
// one is not valid for such an id.
func (r *Registry) HasStartTime(id string) bool { return r.newestStart(id) > 0 }

// Clear removes all entries, so that the newest entry of each id can be read again. Their
// start times are retained.
func (r *Registry) Clear(now time.Time) {
	for _, id := range slices.Backward(slices.Clone(r.ids)) {
		r.remove(id, now)
	}
	clear(r.unusable)
}

// remove removes an entry and retains its start time.
func (r *Registry) remove(id string, now time.Time) {
	sampler, found := r.samplers[id]
	if !found {
		return
	}
	if sampler.StartedAtMs > 0 {
		r.removed[id] = removedEntry{startedAtMs: sampler.StartedAtMs, removedAt: now}
	}
	delete(r.samplers, id)
	if index, found := slices.BinarySearch(r.ids, id); found {
		r.ids = slices.Delete(r.ids, index, index+1)
	}
}

// Expire drops the start times of ids whose entry was removed longer than startTimeRetention
// ago.
func (r *Registry) Expire(now time.Time) {
	for id, entry := range r.removed {
		if now.Sub(entry.removedAt) > startTimeRetention {
			delete(r.removed, id)
		}
	}
}

// UnusableCount returns the number of ids whose newest entry cannot be decoded.
func (r *Registry) UnusableCount() int { return len(r.unusable) }

// All returns the samplers in ascending order of their ids.
func (r *Registry) All() []schedule.Sampler {
	samplers := make([]schedule.Sampler, 0, len(r.samplers))
	for _, id := range r.ids {
		samplers = append(samplers, r.samplers[id])
	}
	return samplers
}
