package quarantine

import (
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/result"
)

// Encode returns the message that tells a record.
func Encode(record Record, item bool) *pathbendv1.SuspectRequest {
	return &pathbendv1.SuspectRequest{
		Digest: record.Digest[:], Epoch: record.Epoch, Ended: record.Ended, Trials: uint32(record.Trials),
		Claimant: record.Claimant, ChangedUnixMs: record.ChangedAt.UnixMilli(), Item: item,
	}
}

// Decode reads a record from its message.
func Decode(told *pathbendv1.SuspectRequest) (Record, error) {
	digest, ok := ParseDigest(told.GetDigest())
	if !ok {
		return Record{}, result.New(result.RecordMalformed, "a digest of %d bytes", len(told.GetDigest()))
	}
	record := Record{
		Digest: digest, Epoch: told.Epoch, Trials: int(told.Trials), Claimant: told.Claimant,
		ChangedAt: time.UnixMilli(told.ChangedUnixMs),
	}
	for _, id := range told.Ended {
		record.addEnded(id)
	}
	return record, nil
}
