package schedule

import (
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/ledger"
)

const (
	// confirmTimeout is how long a saved part may take to be read back.
	confirmTimeout = 2 * time.Second
)

// Saved tells which part of an item's text the log holds last.
type Saved interface {
	Progress(itemID string) (ledger.Progress, bool)
}

// Part is a part of an item's text that the log does not hold yet. Where its
// text lies is filled in by who puts it there.
type Part struct {
	Progress *pathbendv1.ItemProgress
	Text     []byte
}

// Unsaved returns the text that the log does not keep yet of every running
// item that has made at least minEvents events since, and counts it as sent. A
// part that was not read back in time is sent again with all that is before it:
// the log may have lost it, or another executor may have started the item anew.
func (s *Scheduler) Unsaved(minEvents uint64, log Saved, now time.Time) map[string][]Part {
	unsaved := make(map[string][]Part)
	for _, key := range s.runningKeys() {
		entry := s.items[key]
		if !entry.saved.settle(log, key.Item, now) || entry.events < entry.saved.events+entry.worthSaving(minEvents) {
			continue
		}
		unsaved[key.Job] = append(unsaved[key.Job], entry.save(s.newID(), now))
	}
	return unsaved
}

// furtherPart is the part of minEvents that is worth saving of an item that was
// saved before: it is a long one, and its step waits for what has to be made again.
const furtherPart = 3

// worthSaving returns how many new events of the item are worth saving.
func (i *item) worthSaving(minEvents uint64) uint64 {
	if i.saved.events > 0 {
		return max(minEvents/furtherPart, 1)
	}
	return minEvents
}

// settle reports whether a further part may be sent.
func (t *savedText) settle(log Saved, itemID string, now time.Time) bool {
	if t.id == 0 {
		return true
	}
	progress, _ := log.Progress(itemID)
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
func (i *item) save(id uint64, now time.Time) Part {
	fresh := i.text[i.saved.bytes:]
	if i.saved.events > 0 {
		fresh = fresh[1:] // the line feed between two events
	}
	part := Part{Text: slices.Clone(fresh), Progress: &pathbendv1.ItemProgress{
		ItemId: i.key.Item, Id: id, Previous: i.saved.id, Versions: i.versions, Events: i.events - i.saved.events,
	}}
	i.saved = savedText{id: id, events: i.events, bytes: len(i.text), at: now}
	return part
}
