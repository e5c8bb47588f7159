package schedule

import (
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
		if entry.job.policy.Remote {
			continue
		}
		if part, ok := entry.Unsaved(key.Item, minEvents, log, s.newID, now); ok {
			unsaved[key.Job] = append(unsaved[key.Job], part)
		}
	}
	return unsaved
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
