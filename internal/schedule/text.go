package schedule

import (
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/ledger"
)

// VersionConstraint restricts the weight versions that may make a text.
type VersionConstraint struct {
	// MinVersion is the oldest accepted version.
	MinVersion uint64
	// SingleVersion requires each text to be made by one version.
	SingleVersion bool
}

// Accepts reports whether text made by the versions, in ascending order, may be part of a
// result.
func (c VersionConstraint) Accepts(versions []uint64) bool {
	if len(versions) == 0 {
		return true
	}
	if c.SingleVersion && len(versions) > 1 {
		return false
	}
	return versions[0] >= c.MinVersion
}

// Text is the text generated for an item so far. Its zero value is empty.
type Text struct {
	// text is empty if a worker holds it (Policy.Remote).
	text     []byte
	events   uint64
	versions []uint64
	// saved describes the part of the text that was sent to the log.
	saved savedText
}

// Events returns the number of events of the text.
func (t *Text) Events() uint64 { return t.events }

// Versions returns the versions that made the text, in ascending order. The caller must not
// modify the slice.
func (t *Text) Versions() []uint64 { return t.versions }

// Bytes returns the text, its events separated by line feeds. The caller must not modify it.
func (t *Text) Bytes() []byte { return t.text }

// Append appends the next event. It reports false if the event is out of sequence or made by
// a version that is not accepted. If the event's version cannot be combined with those of
// the text, the text is reset as well.
func (t *Text) Append(event Event, constraint VersionConstraint) bool {
	before := t.events
	if !t.advance(event, constraint) {
		return false
	}
	if before > 0 {
		t.text = append(t.text, '\n')
	}
	t.text = append(t.text, event.Data...)
	return true
}

// advance does what Append does, for a text whose bytes a worker holds.
func (t *Text) advance(event Event, constraint VersionConstraint) bool {
	if event.ID != t.events+1 || event.Version < constraint.MinVersion {
		return false
	}
	versions := t.versions
	if !slices.Contains(versions, event.Version) {
		versions = ledger.MergeVersions(versions, []uint64{event.Version})
	}
	if !constraint.Accepts(versions) {
		t.Restart()
		return false
	}
	t.events++
	t.versions = versions
	return true
}

// Restart discards the text, so that the item starts from the beginning.
func (t *Text) Restart() { *t = Text{} }

// Resume adopts a stored text if its versions are accepted.
func (t *Text) Resume(stored PartialText, constraint VersionConstraint) {
	if !constraint.Accepts(stored.Versions) {
		return
	}
	t.text, t.events, t.versions = slices.Clip(stored.Text), stored.Events, stored.Versions
	t.saved = savedText{id: stored.ID, events: stored.Events, bytes: len(stored.Text), confirmed: true}
}

// Unsaved returns the part of the text that is not in the log yet, if it has enough events,
// and marks it as sent under a new id. The first part needs minEvents events, later ones
// fewer.
func (t *Text) Unsaved(itemID string, minEvents uint64, log ProgressSource, newID func() uint64, now time.Time) (TextPart, bool) {
	if !t.saved.canSendNext(log, itemID, now) || t.events < t.saved.events+t.minUnsavedEvents(minEvents) {
		return TextPart{}, false
	}
	return t.save(itemID, newID(), now), true
}

// laterPartDivisor lowers minEvents for the later parts of a text. A text with several
// parts is long, and its step waits for the events that have to be generated again.
const laterPartDivisor = 3

// minUnsavedEvents returns the minimum number of unsaved events for which a part is saved.
func (t *Text) minUnsavedEvents(minEvents uint64) uint64 {
	if t.saved.events > 0 {
		return max(minEvents/laterPartDivisor, 1)
	}
	return minEvents
}

// save returns the unsent part of the text and marks it as sent.
func (t *Text) save(itemID string, id uint64, now time.Time) TextPart {
	unsent := t.text[t.saved.bytes:]
	if t.saved.events > 0 {
		unsent = unsent[1:] // the line feed between two events
	}
	part := TextPart{Text: slices.Clone(unsent), Progress: &pathbendv1.ItemProgress{
		ItemId: itemID, Id: id, Previous: t.saved.id, Versions: t.versions, Events: t.events - t.saved.events,
	}}
	t.saved = savedText{id: id, events: t.events, bytes: len(t.text), at: now}
	return part
}
