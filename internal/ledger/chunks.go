package ledger

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/result"
)

const (
	// chunkOverheadBytes is the most that a chunk's own fields take.
	chunkOverheadBytes = 64
	// maxChunks bounds the chunks of one entry.
	maxChunks = 1024
	// maxPartialEntries bounds the entries whose chunks are not all in yet.
	maxPartialEntries = 256
)

// Encode cuts an entry into records of at most maxRecordBytes. The nonce must
// be unique to this call.
func Encode(entry *pathbendv1.LedgerEntry, nonce uint64, maxRecordBytes int) ([][]byte, error) {
	encoded, err := proto.Marshal(entry)
	if err != nil {
		return nil, errors.Wrap(err, "encode ledger entry")
	}
	size := maxRecordBytes - chunkOverheadBytes
	count := max((len(encoded)+size-1)/size, 1)
	if size <= 0 || count > maxChunks {
		return nil, result.New(result.BodyTooLarge, "an entry of %d bytes does not fit the log's records", len(encoded))
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

// assembler puts entries together from their chunks.
type assembler struct {
	partial map[uint64]*partialEntry
	// order lists the nonces by arrival, oldest first.
	order []uint64
}

type partialEntry struct {
	chunks  [][]byte
	missing int
}

func newAssembler() *assembler { return &assembler{partial: make(map[uint64]*partialEntry)} }

// add adds a record and returns the entry that it completes, or nil.
func (a *assembler) add(record []byte) (*pathbendv1.LedgerEntry, error) {
	var chunk pathbendv1.LedgerChunk
	if err := proto.Unmarshal(record, &chunk); err != nil {
		return nil, result.Wrap(result.RecordMalformed, err, "decode ledger chunk")
	}
	if chunk.Count == 0 || chunk.Count > maxChunks || chunk.Index >= chunk.Count {
		return nil, result.New(result.RecordMalformed, "chunk %d of %d", chunk.Index, chunk.Count)
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

func (a *assembler) collect(chunk *pathbendv1.LedgerChunk) []byte {
	entry, ok := a.partial[chunk.Nonce]
	if !ok || len(entry.chunks) != int(chunk.Count) {
		a.forgetOldest()
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

func (a *assembler) forgetOldest() {
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
	// Earlier releases announced capacities of nodes here; their entries say nothing now.
	aboutJob := entry.GetClaimed() == nil && entry.GetAnnounced() == nil && entry.GetSuspect() == nil
	if entry.Fact == nil || (aboutJob && entry.JobId == "") {
		return nil, result.New(result.RecordMalformed, "ledger entry without a job id or fact")
	}
	return entry, nil
}
