// Package registry keeps what samplers write of themselves in a keyed topic: the newest
// entry of each id, by incarnation.
//
// A sampler may start again under its id. Its start, in Unix milliseconds, tells one
// incarnation from another and is compared with other starts of the same id only, so that
// clocks of two machines are never compared. The entry of a former incarnation never takes
// the place of a newer one's, however late it comes. An entry that cannot be read names no
// sampler to use, also where a good one stood before.
//
// The package is pure: it takes the time as an argument and makes no calls.
package registry

import (
	"slices"
	"time"

	"github.com/pathbend/pathbend/internal/schedule"
)

// formerMemory is how long the newest start of an id is remembered after its entry went.
// What was written before may be handed over again by a log that lost its place; the users'
// store rewinds by seconds, and ids that never return would be kept forever (chosen).
const formerMemory = 10 * time.Minute

// Registry is the list of samplers by id. It is not safe for concurrent use.
type Registry struct {
	samplers map[string]schedule.Sampler
	// ids are those of the samplers, ordered.
	ids []string
	// revision numbers the entries that were taken.
	revision uint64
	// former holds the newest start of ids that have no entry.
	former map[string]departed
	// unusable holds the ids whose newest entry cannot be read.
	unusable map[string]struct{}
}

// departed is an id whose entry went, or turned unusable.
type departed struct {
	born int64
	at   time.Time
}

// New returns an empty list.
func New() *Registry {
	return &Registry{
		samplers: make(map[string]schedule.Sampler), former: make(map[string]departed), unusable: make(map[string]struct{}),
	}
}

// Put takes an entry. It reports false if the entry is of a former incarnation, and is
// passed over.
func (r *Registry) Put(sampler schedule.Sampler) bool {
	if sampler.Born < r.newestStart(sampler.ID) {
		return false
	}
	delete(r.unusable, sampler.ID)
	delete(r.former, sampler.ID)
	r.revision++
	sampler.Revision = r.revision
	if place, listed := slices.BinarySearch(r.ids, sampler.ID); !listed {
		r.ids = slices.Insert(r.ids, place, sampler.ID)
	}
	r.samplers[sampler.ID] = sampler
	return true
}

// Drop takes the end of an entry.
func (r *Registry) Drop(id string, now time.Time) {
	delete(r.unusable, id)
	r.forget(id, now)
}

// Reject takes an entry that cannot be read: its id names no sampler until a good one
// comes. It reports whether the id was usable before, or not known.
func (r *Registry) Reject(id string, now time.Time) (first bool) {
	_, known := r.unusable[id]
	r.unusable[id] = struct{}{}
	r.forget(id, now)
	return !known
}

// newestStart returns the newest start known of an id, 0 if none is, or samplers tell none.
func (r *Registry) newestStart(id string) int64 {
	if sampler, listed := r.samplers[id]; listed {
		return sampler.Born
	}
	return r.former[id].born
}

// TellsStart reports whether an entry of an id told its start before. One that does not
// tell it then is not the sampler's.
func (r *Registry) TellsStart(id string) bool { return r.newestStart(id) > 0 }

// Clear drops all entries, before the newest of each id are read anew.
func (r *Registry) Clear(now time.Time) {
	for _, id := range slices.Backward(slices.Clone(r.ids)) {
		r.forget(id, now)
	}
	clear(r.unusable)
}

func (r *Registry) forget(id string, now time.Time) {
	sampler, listed := r.samplers[id]
	if !listed {
		return
	}
	if sampler.Born > 0 {
		r.former[id] = departed{born: sampler.Born, at: now}
	}
	delete(r.samplers, id)
	if place, found := slices.BinarySearch(r.ids, id); found {
		r.ids = slices.Delete(r.ids, place, place+1)
	}
}

// Expire forgets the starts of ids that went long ago.
func (r *Registry) Expire(now time.Time) {
	for id, gone := range r.former {
		if now.Sub(gone.at) > formerMemory {
			delete(r.former, id)
		}
	}
}

// Unusable counts the ids whose newest entry cannot be read.
func (r *Registry) Unusable() int { return len(r.unusable) }

// All returns the samplers by id.
func (r *Registry) All() []schedule.Sampler {
	listed := make([]schedule.Sampler, 0, len(r.samplers))
	for _, id := range r.ids {
		listed = append(listed, r.samplers[id])
	}
	return listed
}
