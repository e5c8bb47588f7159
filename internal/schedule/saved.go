package schedule

import (
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/ledger"
)

const (
	// confirmTimeout is how long a saved part may take to be read back from the log.
	confirmTimeout = 2 * time.Second
)

// ProgressSource provides the last part of an item's text that was read back from the log.
type ProgressSource interface {
	// Progress returns false if the log holds no part of the item's text.
	Progress(itemID string) (ledger.Progress, bool)
}

// TextPart is a part of an item's text to append to the log. The caller stores Text and sets
// its location in Progress.
type TextPart struct {
	Progress *pathbendv1.ItemProgress
	Text     []byte
}

// Unsaved returns, by job, the unsaved text of each running item that made enough events since
// its last saved part, and marks it as sent. The first part needs minEvents events, later ones
// fewer. Texts held by a worker are left out. If a part is not read back in time, the whole
// text is sent again: the log may have lost the part, or another executor may have restarted
// the item.
func (s *Scheduler) Unsaved(minEvents uint64, log ProgressSource, now time.Time) map[string][]TextPart {
	unsaved := make(map[string][]TextPart)
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

// canSendNext reports whether the next part may be sent. It resets t if the last part was
// lost, so that the whole text is sent again.
func (t *savedText) canSendNext(log ProgressSource, itemID string, now time.Time) bool {
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
