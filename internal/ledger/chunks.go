package ledger

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/result"
)

const (
	// chunkOverheadBytes is an upper bound on the encoded size of a chunk without its payload.
	chunkOverheadBytes = 64
	// maxChunks is the maximum number of chunks per entry.
	maxChunks = 1024
	// maxPartialEntries is the maximum number of entries that wait for further chunks.
	maxPartialEntries = 256
)

// Encode splits an entry into records of at most maxRecordBytes bytes. The nonce identifies
// the chunks of the entry and must be unique to this call. The error is BodyTooLarge if the
// entry needs more than maxChunks records.
func Encode(entry *pathbendv1.LedgerEntry, nonce uint64, maxRecordBytes int) ([][]byte, error) {
	encoded, err := proto.Marshal(entry)
	if err != nil {
		return nil, errors.Wrap(err, "encode ledger entry")
	}
	size := maxRecordBytes - chunkOverheadBytes
	count := max((len(encoded)+size-1)/size, 1)
	if size <= 0 || count > maxChunks {
		return nil, result.New(result.BodyTooLarge, "ledger entry of %d bytes exceeds the log's record limits", len(encoded))
	}
	records := make([][]byte, 0, count)
	for index := range count {
		payload := encoded[index*size : min((index+1)*size, len(encoded))]
		chunk := &pathbendv1.LedgerChunk{Nonce: nonce, Index: uint32(index), Count: uint32(count), Payload: payload}
		record, err := proto.Marshal(chunk)
		if err != nil {
			return nil, errors.Wrap(err, "encode ledger chunk")
		}
		records = append(records, record)
	}
	return records, nil
}

// assembler reassembles entries from their chunks, which may be interleaved with those of
// other entries.
type assembler struct {
	partial map[uint64]*partialEntry
	// order lists the nonces in order of arrival, oldest first.
	order []uint64
}

// partialEntry is an entry of which some chunks are missing.
type partialEntry struct {
	chunks  [][]byte
	missing int
}

func newAssembler() *assembler { return &assembler{partial: make(map[uint64]*partialEntry)} }

// add decodes a record and returns the entry that it completes, or nil if chunks are missing.
func (a *assembler) add(record []byte) (*pathbendv1.LedgerEntry, error) {
	var chunk pathbendv1.LedgerChunk
	if err := proto.Unmarshal(record, &chunk); err != nil {
		return nil, result.Wrap(result.RecordMalformed, err, "decode ledger chunk")
	}
	if chunk.Count == 0 || chunk.Count > maxChunks || chunk.Index >= chunk.Count {
		return nil, result.New(result.RecordMalformed, "invalid ledger chunk: index %d, count %d", chunk.Index, chunk.Count)
	}
	if chunk.Count == 1 {
		return decodeEntry(chunk.Payload)
	}
	assembled := a.collect(&chunk)
	if assembled == nil {
		return nil, nil
	}
	return decodeEntry(assembled)
}

// collect stores a chunk and returns the encoded entry if all of its chunks are present, or
// nil.
func (a *assembler) collect(chunk *pathbendv1.LedgerChunk) []byte {
	entry, ok := a.partial[chunk.Nonce]
	if !ok || len(entry.chunks) != int(chunk.Count) {
		a.evictOldest()
		entry = &partialEntry{chunks: make([][]byte, chunk.Count), missing: int(chunk.Count)}
		a.partial[chunk.Nonce] = entry
		a.order = append(a.order, chunk.Nonce)
	}
	if entry.chunks[chunk.Index] == nil {
		entry.chunks[chunk.Index] = chunk.Payload
		entry.missing--
	}
	if entry.missing > 0 {
		return nil
	}
	delete(a.partial, chunk.Nonce)
	var assembled []byte
	for _, part := range entry.chunks {
		assembled = append(assembled, part...)
	}
	return assembled
}

// evictOldest makes room for another partial entry, and drops the nonces of completed
// entries from the front of the order.
func (a *assembler) evictOldest() {
	for len(a.order) > 0 && (len(a.partial) >= maxPartialEntries || a.partial[a.order[0]] == nil) {
		delete(a.partial, a.order[0])
		a.order = a.order[1:]
	}
}

func decodeEntry(encoded []byte) (*pathbendv1.LedgerEntry, error) {
	entry := &pathbendv1.LedgerEntry{}
	if err := proto.Unmarshal(encoded, entry); err != nil {
		return nil, result.Wrap(result.RecordMalformed, err, "decode ledger entry")
	}
	// Entries that announce node capacities were written by earlier releases. They are
	// accepted, and have no effect.
	belongsToJob := entry.GetClaimed() == nil && entry.GetAnnounced() == nil && entry.GetSuspect() == nil
	if entry.Fact == nil || (belongsToJob && entry.JobId == "") {
		return nil, result.New(result.RecordMalformed, "ledger entry without a job id or fact")
	}
	return entry, nil
}
