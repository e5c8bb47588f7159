package topicreader

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// maxDecompressedBytes bounds the decompressed entries of one response. Those of 20,000 samplers
// that serve eight models each take about 12 MB.
const maxDecompressedBytes = 32 << 20

// compress encodes records for a response to another node. The entries of a topic repeat the
// same field names: those of 2,222 samplers shrink from 0.38 MB to 60 kB.
func compress(records []sharedlog.KeyedRecord) ([]byte, error) {
	if len(records) == 0 {
		return nil, nil
	}
	list := &pathbendv1.EntryList{}
	for _, record := range records {
		list.Entries = append(list.Entries, &pathbendv1.Entry{
			Key: record.Key, Value: record.Value, Offset: record.Offset, Malformed: record.Malformed,
		})
	}
	encoded, err := proto.Marshal(list)
	if err != nil {
		return nil, result.Wrap(result.RecordMalformed, err, "encode entries")
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, result.Wrap(result.RecordMalformed, err, "compress entries")
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil, result.Wrap(result.RecordMalformed, err, "compress entries")
	}
	if err := writer.Close(); err != nil {
		return nil, result.Wrap(result.RecordMalformed, err, "compress entries")
	}
	return packed.Bytes(), nil
}

// decompress decodes records that another node compressed. It fails with
// result.FrameTooLarge beyond maxDecompressedBytes.
func decompress(packed []byte) ([]sharedlog.KeyedRecord, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDecompressedBytes+1))
	if err != nil {
		return nil, result.Wrap(result.FrameMalformed, err, "decompress entries")
	}
	if len(encoded) > maxDecompressedBytes {
		return nil, result.New(result.FrameTooLarge, "the decompressed entries exceed %d bytes", maxDecompressedBytes)
	}
	var list pathbendv1.EntryList
	if err := proto.Unmarshal(encoded, &list); err != nil {
		return nil, result.Wrap(result.FrameMalformed, err, "decode entries")
	}
	records := make([]sharedlog.KeyedRecord, 0, len(list.Entries))
	for _, entry := range list.Entries {
		records = append(records, sharedlog.KeyedRecord{
			Key: entry.Key, Value: entry.Value, Offset: entry.Offset, Malformed: entry.Malformed,
		})
	}
	return records, nil
}
