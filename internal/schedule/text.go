package schedule

import (
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/ledger"
)

// Acceptance tells which weight versions may have made a text.
type Acceptance struct {
	// MinVersion is the oldest version wanted.
	MinVersion uint64
	// SingleVersion wants each text made by one version.
	SingleVersion bool
}

// Fits reports whether text of these versions, ascending, may be part of a result.
func (a Acceptance) Fits(versions []uint64) bool {
	if len(versions) == 0 {
		return true
	}
	if a.SingleVersion && len(versions) > 1 {
		return false
	}
	return versions[0] >= a.MinVersion
}

// Text is what was made of an item so far. Its zero value is empty.
type Text struct {
	// text is empty where a worker holds it (Policy.Remote).
	text     []byte
	events   uint64
	versions []uint64
	// saved is the part of the text that was sent to the log.
	saved savedText
}

// Events counts the events of the text.
func (t *Text) Events() uint64 { return t.events }

// Versions are those that made the text, ascending. The caller must not modify them.
func (t *Text) Versions() []uint64 { return t.versions }

// Bytes is the text. The caller must not modify it.
func (t *Text) Bytes() []byte { return t.text }

// Take appends the next event. It reports false if the event is not the next or not
// accepted; a text that it does not fit begins anew.
func (t *Text) Take(event Event, accepted Acceptance) bool {
	before := t.events
	if !t.count(event, accepted) {
		return false
	}
	if before > 0 {
		t.text = append(t.text, '\n')
	}
	t.text = append(t.text, event.Data...)
	return true
}

// count is Take for a text that is held elsewhere.
func (t *Text) count(event Event, accepted Acceptance) bool {
	if event.ID != t.events+1 || event.Version < accepted.MinVersion {
		return false
	}
	versions := t.versions
	if !slices.Contains(versions, event.Version) {
		versions = ledger.MergeVersions(versions, []uint64{event.Version})
	}
	if !accepted.Fits(versions) {
		t.Restart()
		return false
	}
	t.events++
	t.versions = versions
	return true
}

// Restart drops the text, so that the item begins anew.
func (t *Text) Restart() { *t = Text{} }

// Resume takes over a kept text if its versions are accepted.
func (t *Text) Resume(kept Partial, accepted Acceptance) {
	if !accepted.Fits(kept.Versions) {
		return
	}
	t.text, t.events, t.versions = slices.Clip(kept.Text), kept.Events, kept.Versions
	t.saved = savedText{id: kept.ID, events: kept.Events, bytes: len(kept.Text), confirmed: true}
}

// Unsaved returns the part of the text that the log does not keep yet, if it has at least
// minEvents events, and counts it as sent under a new id.
func (t *Text) Unsaved(itemID string, minEvents uint64, log Saved, newID func() uint64, now time.Time) (Part, bool) {
	if !t.saved.settle(log, itemID, now) || t.events < t.saved.events+t.worthSaving(minEvents) {
		return Part{}, false
	}
	return t.save(itemID, newID(), now), true
}

// furtherPart is the part of minEvents that is worth saving of a text that was saved
// before: it is a long one, and its step waits for what has to be made again.
const furtherPart = 3

// worthSaving returns how many new events are worth saving.
func (t *Text) worthSaving(minEvents uint64) uint64 {
	if t.saved.events > 0 {
		return max(minEvents/furtherPart, 1)
	}
	return minEvents
}

// save returns the part of the text that was not sent yet.
func (t *Text) save(itemID string, id uint64, now time.Time) Part {
	fresh := t.text[t.saved.bytes:]
	if t.saved.events > 0 {
		fresh = fresh[1:] // the line feed between two events
	}
	part := Part{Text: slices.Clone(fresh), Progress: &pathbendv1.ItemProgress{
		ItemId: itemID, Id: id, Previous: t.saved.id, Versions: t.versions, Events: t.events - t.saved.events,
	}}
	t.saved = savedText{id: id, events: t.events, bytes: len(t.text), at: now}
	return part
}
