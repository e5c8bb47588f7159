package delivery

import (
	"time"

	"github.com/pathbend/pathbend/internal/config"
)

// Segment is a range of tokens that one weight version generated.
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
	// Attempt is the id of the attempt that generated the sample.
	Attempt string `json:"attempt"`
	// StartedAt is the time at which the sample's oldest token was requested.
	StartedAt time.Time `json:"-"`
}

// AppendTokens appends count tokens of a version; it extends the last segment if that
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

// OldestVersion returns the lowest version of the segments; 0 if there are none.
func OldestVersion(segments []Segment) uint64 {
	var oldest uint64
	for i, segment := range segments {
		if i == 0 || segment.Version < oldest {
			oldest = segment.Version
		}
	}
	return oldest
}

// FreshnessLimit is a model's limit on the age of delivered samples.
type FreshnessLimit struct {
	// MaxVersions is how many versions a sample's oldest token may be behind the
	// trainer.
	MaxVersions uint64
	// MaxAge limits the time since the sample's oldest token was requested. A sample of
	// exactly this age is no longer delivered.
	MaxAge time.Duration
}

// NewFreshnessLimit returns the limit that a model's configuration sets.
func NewFreshnessLimit(freshness config.Freshness) FreshnessLimit {
	return FreshnessLimit{MaxVersions: freshness.MaxVersions, MaxAge: freshness.MaxAge}
}

// Fresh reports whether a sample whose oldest token was requested at startedAt and whose
// oldest version is oldest may be delivered to a trainer at trainerVersion.
func (l FreshnessLimit) Fresh(oldest uint64, startedAt, now time.Time, trainerVersion uint64) bool {
	return oldest+l.MaxVersions >= trainerVersion && now.Sub(startedAt) < l.MaxAge
}

// MinVersion returns the lowest weight version whose tokens may be delivered to a
// trainer at trainerVersion.
func (l FreshnessLimit) MinVersion(trainerVersion uint64) uint64 {
	if trainerVersion <= l.MaxVersions {
		return 0
	}
	return trainerVersion - l.MaxVersions
}
