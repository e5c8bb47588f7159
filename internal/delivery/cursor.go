package delivery

import (
	"fmt"
	"slices"

	"github.com/pathbend/pathbend/internal/result"
)

// SlotRange is a run of slots, To exclusive.
type SlotRange struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Cursor says which slots a trainer holds, as ascending disjoint ranges.
type Cursor []SlotRange

// Validate checks the cursor against the number of slots.
func (c Cursor) Validate(slots int) error {
	previous := -1
	for i, run := range c {
		if run.From <= previous || run.To <= run.From || run.To > slots {
			return result.New(result.MalformedRequest,
				"range %d..%d must be ascending, non-empty and within %d slots", run.From, run.To, slots).
				WithField(fmt.Sprintf("held[%d]", i))
		}
		previous = run.To - 1
	}
	return nil
}

// Has reports whether the trainer holds a slot.
func (c Cursor) Has(slot int) bool {
	at, found := slices.BinarySearchFunc(c, slot, func(run SlotRange, slot int) int {
		switch {
		case run.To <= slot:
			return -1
		case run.From > slot:
			return 1
		default:
			return 0
		}
	})
	return found && at < len(c)
}

// Count returns the number of slots held.
func (c Cursor) Count() int {
	count := 0
	for _, run := range c {
		count += run.To - run.From
	}
	return count
}

// Add returns the cursor with one more slot, merging adjacent ranges.
func (c Cursor) Add(slot int) Cursor {
	if c.Has(slot) {
		return c
	}
	at, _ := slices.BinarySearchFunc(c, slot, func(run SlotRange, slot int) int { return run.From - slot })
	merged := slices.Insert(slices.Clone(c), at, SlotRange{From: slot, To: slot + 1})
	if at+1 < len(merged) && merged[at].To == merged[at+1].From {
		merged[at].To = merged[at+1].To
		merged = slices.Delete(merged, at+1, at+2)
	}
	if at > 0 && merged[at-1].To == merged[at].From {
		merged[at-1].To = merged[at].To
		merged = slices.Delete(merged, at, at+1)
	}
	return merged
}
