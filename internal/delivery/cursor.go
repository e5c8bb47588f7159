package delivery

import (
	"fmt"
	"slices"

	"github.com/pathbend/pathbend/internal/result"
)

// SlotRange is a range of consecutive slots, To exclusive.
type SlotRange struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Cursor lists the slots that a trainer holds as ascending, disjoint ranges.
type Cursor []SlotRange

// Validate checks that the ranges are non-empty, ascending, disjoint and within the
// number of slots. The error names the first range that is not.
func (c Cursor) Validate(slots int) error {
	previous := -1
	for i, r := range c {
		if r.From <= previous || r.To <= r.From || r.To > slots {
			return result.New(result.MalformedRequest,
				"range %d..%d must be ascending, non-empty and within %d slots", r.From, r.To, slots).
				WithField(fmt.Sprintf("held[%d]", i))
		}
		previous = r.To - 1
	}
	return nil
}

// Has reports whether the cursor contains a slot.
func (c Cursor) Has(slot int) bool {
	index, found := slices.BinarySearchFunc(c, slot, func(r SlotRange, slot int) int {
		switch {
		case r.To <= slot:
			return -1
		case r.From > slot:
			return 1
		default:
			return 0
		}
	})
	return found && index < len(c)
}

// Count returns the number of slots in the cursor.
func (c Cursor) Count() int {
	count := 0
	for _, r := range c {
		count += r.To - r.From
	}
	return count
}

// Add returns a copy of the cursor with slot added, with adjacent ranges merged.
func (c Cursor) Add(slot int) Cursor {
	if c.Has(slot) {
		return c
	}
	index, _ := slices.BinarySearchFunc(c, slot, func(r SlotRange, slot int) int { return r.From - slot })
	merged := slices.Insert(slices.Clone(c), index, SlotRange{From: slot, To: slot + 1})
	if index+1 < len(merged) && merged[index].To == merged[index+1].From {
		merged[index].To = merged[index+1].To
		merged = slices.Delete(merged, index+1, index+2)
	}
	if index > 0 && merged[index-1].To == merged[index].From {
		merged[index-1].To = merged[index].To
		merged = slices.Delete(merged, index, index+1)
	}
	return merged
}
