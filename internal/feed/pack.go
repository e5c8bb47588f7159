package feed

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// mostUnpacked bounds the entries of one answer, in bytes: those of 20,000 samplers that
// serve eight models each have some 12 MB (worked out).
const mostUnpacked = 32 << 20

// pack writes records for the way. Entries of one topic name the same fields again and
// again: those of 2,222 samplers shrink from 0.38 MB to 60 kB.
func pack(records []sharedlog.KeyedRecord) ([]byte, error) {
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
		return nil, result.Wrap(result.RecordMalformed, err, "pack entries")
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil, result.Wrap(result.RecordMalformed, err, "pack entries")
	}
	if err := writer.Close(); err != nil {
		return nil, result.Wrap(result.RecordMalformed, err, "pack entries")
	}
	return packed.Bytes(), nil
}

// unpack reads records that another node packed.
func unpack(packed []byte) ([]sharedlog.KeyedRecord, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), mostUnpacked+1))
	if err != nil {
		return nil, result.Wrap(result.FrameMalformed, err, "unpack entries")
	}
	if len(encoded) > mostUnpacked {
		return nil, result.New(result.FrameTooLarge, "the entries unpack to more than %d bytes", mostUnpacked)
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
