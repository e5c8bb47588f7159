package schedule

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pathbend/pathbend/internal/ledger"
)

// A caller waits for some of its job's groups only, whichever are whole first. Where slots
// are scarce, the groups beyond that number are best left until nothing else waits: those
// with the longest items, of which no text was made yet. Where slots are free they begin
// with the others, so that the caller need not wait for a group that turns out longer than
// it was guessed.

// groupState is what is known of a group when its job is taken in.
type groupState struct {
	name    string
	longest uint64
	// begun is set if an item of it has a result or a text.
	begun   bool
	carried bool
}

// markSpare marks the items of the groups that are left last.
func (j *job) markSpare(open *ledger.Job) {
	wanted := int(j.spec.WantedGroups)
	if wanted == 0 || len(open.Results) > 0 {
		// Of a job that was taken over, some groups are nearly whole.
		return
	}
	groups := make(map[string]*groupState)
	for _, entry := range j.items {
		group := groups[entry.spec.Group]
		if group == nil {
			group = &groupState{name: entry.spec.Group, carried: entry.carried}
			groups[entry.spec.Group] = group
		}
		group.longest = max(group.longest, entry.spec.ExpectedTokens)
		group.begun = group.begun || entry.events > 0 || entry.phase != pending
	}
	ordered := slices.SortedFunc(maps.Values(groups), func(a, b *groupState) int {
		return cmp.Or(cmp.Compare(b.longest, a.longest), cmp.Compare(a.name, b.name))
	})
	left := len(groups) - wanted
	for _, group := range ordered {
		if left <= 0 {
			return
		}
		if group.carried || group.begun {
			continue
		}
		left--
		for _, entry := range j.items {
			entry.spare = entry.spare || entry.spec.Group == group.name
		}
	}
}
