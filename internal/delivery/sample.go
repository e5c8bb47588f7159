package delivery

import (
	"time"

	"github.com/pathbend/pathbend/internal/config"
)

// Segment is a run of tokens made by one weight version.
type Segment struct {
	// From and To are token positions, To exclusive.
	From    int    `json:"from"`
	To      int    `json:"to"`
	Version uint64 `json:"weight_version"`
}

// Sample is a finished generation of one slot.
type Sample struct {
	Slot         int       `json:"slot"`
	Group        string    `json:"group,omitempty"`
	Tokens       []string  `json:"tokens"`
	Segments     []Segment `json:"segments"`
	FinishReason string    `json:"finish_reason"`
	// Attempt identifies the execution that made the sample.
	Attempt string `json:"attempt"`
	// Started is when the oldest token was requested.
	Started time.Time `json:"-"`
}

// AppendTokens adds tokens made by a version, extending the last segment if it
// has the same version.
func AppendTokens(segments []Segment, count int, version uint64) []Segment {
	if count == 0 {
		return segments
	}
	if last := len(segments) - 1; last >= 0 && segments[last].Version == version {
		segments[last].To += count
		return segments
	}
	from := 0
	if last := len(segments) - 1; last >= 0 {
		from = segments[last].To
	}
	return append(segments, Segment{From: from, To: from + count, Version: version})
}

// OldestVersion returns the lowest version of the segments; 0 without any.
func OldestVersion(segments []Segment) uint64 {
	var oldest uint64
	for i, segment := range segments {
		if i == 0 || segment.Version < oldest {
			oldest = segment.Version
		}
	}
	return oldest
}

// Bound is a tenant's limit on the age of samples.
type Bound struct {
	MaxVersions uint64
	MaxAge      time.Duration
}

// BoundOf returns the bound of a model's configuration.
func BoundOf(freshness config.Freshness) Bound {
	return Bound{MaxVersions: freshness.MaxVersions, MaxAge: freshness.MaxAge}
}

// Fresh reports whether a sample that began at a time, with an oldest version,
// may be handed to a trainer that is at a version.
func (b Bound) Fresh(oldest uint64, started, now time.Time, trainerVersion uint64) bool {
	return oldest+b.MaxVersions >= trainerVersion && now.Sub(started) < b.MaxAge
}

// Minimum returns the lowest weight version of which a token may reach a
// trainer at a version.
func (b Bound) Minimum(trainerVersion uint64) uint64 {
	if trainerVersion <= b.MaxVersions {
		return 0
	}
	return trainerVersion - b.MaxVersions
}
