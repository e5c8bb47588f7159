package quarantine

import (
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/result"
)

// Encode returns the protobuf message for a record.
func Encode(record Record) *pathbendv1.SuspectRequest {
	return &pathbendv1.SuspectRequest{
		Digest: record.Digest[:], Epoch: record.Epoch, Ended: record.CrashedBackEnds, Trials: uint32(record.Trials),
		Claimant: record.Claimant, ChangedUnixMs: record.ChangedAt.UnixMilli(),
	}
}

// Decode returns the record of a protobuf message, or an error if its digest has the wrong
// length.
func Decode(message *pathbendv1.SuspectRequest) (Record, error) {
	digest, ok := ParseDigest(message.GetDigest())
	if !ok {
		return Record{}, result.New(result.RecordMalformed, "digest has %d bytes", len(message.GetDigest()))
	}
	record := Record{
		Digest: digest, Epoch: message.Epoch, Trials: int(message.Trials), Claimant: message.Claimant,
		ChangedAt: time.UnixMilli(message.ChangedUnixMs),
	}
	for _, id := range message.Ended {
		record.addCrashed(id)
	}
	return record, nil
}
