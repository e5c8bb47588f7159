package topicreader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// responseTimeout bounds a reader's response, beyond the time for which the reader may hold
// the request. The newest entries for one node are about 60 kB compressed, which takes 100 ms
// on the slowest link, and a reader may serve about thirty nodes at once.
const responseTimeout = 700 * time.Millisecond

// maxAge is the largest valid age of a response.
const maxAge = 365 * 24 * time.Hour

// answer is the outcome of asking readers for entries.
type answer struct {
	sharedlog.KeyedBatch
	// received is set if a reader sent entries or reported that there are none.
	received bool
	// truncated is set if readers answered, but none keeps the requested entries.
	truncated bool
}

// fetch sends a request to readers in turn until one gives a current response. If all responses
// are late it returns the freshest of them with its age: late entries are valid, and newer than
// what this node has. All readers together hold the request no longer than hold, or maxHoldTime.
// A reader that is unreachable, sends an invalid response, or is later than another one is avoided
// for a while.
func (f *Feed) fetch(ctx context.Context, plan fanout.Plan, request *pathbendv1.ReadEntries, hold time.Duration) answer {
	request.Topic = f.config.Topic
	hold = min(hold, maxHoldTime)
	began := time.Now()
	var best answer
	var late []lateReader
	for _, reader := range f.selector.Select(plan, began) {
		asked := time.Now()
		remaining := max(hold-asked.Sub(began), 0)
		if len(best.Records) > 0 {
			remaining = 0
		}
		batch, err := f.fetchFrom(ctx, reader, request, remaining)
		f.config.Counter.EntriesRead(FromReader, err == nil || result.Is(err, result.LogTruncated))
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			return answer{}
		case result.Is(err, result.LogTruncated):
			best.truncated = true
		case result.Is(err, result.NotReady):
			// A reader that is still starting has no entries yet. It is not avoided, so that it
			// is asked again soon.
			f.selector.RecordNotReady(time.Now())
		case err != nil:
			f.avoid(reader, err)
		default:
			if len(batch.Records) == 0 {
				batch.Waited = asked.Sub(began) + remaining
			}
			f.selector.RecordAnswer()
			f.fallback.End()
			late = append(late, lateReader{reader, batch})
			if !best.received || fresher(batch, best.KeyedBatch) {
				best.KeyedBatch, best.received = batch, true
			}
			if batch.Age <= fanout.MaxReaderAge {
				f.avoidLater(late, best.KeyedBatch)
				return best
			}
		}
		if ctx.Err() != nil {
			break
		}
	}
	f.avoidLater(late, best.KeyedBatch)
	return best
}

// lateReader is a reader and its response, which is late unless it is the last one.
type lateReader struct {
	fanout.Node
	batch sharedlog.KeyedBatch
}

// fresher reports whether a batch reaches farther than another one, or as far with a lower age.
func fresher(batch, other sharedlog.KeyedBatch) bool {
	if batch.NextOffset != other.NextOffset {
		return batch.NextOffset > other.NextOffset
	}
	return batch.Age < other.Age
}

// avoidLater avoids the late readers whose response was not as fresh as the best one.
func (f *Feed) avoidLater(readers []lateReader, best sharedlog.KeyedBatch) {
	for _, reader := range readers {
		if reader.batch.Age > fanout.MaxReaderAge && fresher(best, reader.batch) {
			f.avoid(reader.Node, result.New(result.LogUnavailable, "the reader last read the log %s ago, another one is fresher", reader.batch.Age))
		}
	}
}

// avoid excludes a reader from being selected for a while, and logs its error.
func (f *Feed) avoid(reader fanout.Node, err error) {
	now := time.Now()
	f.selector.RecordFailure(reader.Name, now)
	if f.logLimiter.Allow(now) {
		f.config.Logger.Log(event.ReaderUnhelpful, "reader", reader.Name, "topic", f.config.Topic, "detail", err.Error())
	}
}

func (f *Feed) fetchFrom(ctx context.Context, reader fanout.Node, request *pathbendv1.ReadEntries, hold time.Duration) (sharedlog.KeyedBatch, error) {
	request.HoldMs = hold.Milliseconds()
	ctx, cancel := context.WithTimeout(ctx, hold+responseTimeout)
	defer cancel()
	response, err := f.config.Caller.Call(ctx, reader.Address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_ReadEntries{ReadEntries: request}})
	if err != nil {
		return sharedlog.KeyedBatch{}, err
	}
	return decodeResponse(response.GetEntryBatch(), request)
}

// decodeResponse validates and decodes a reader's response. An invalid response is rejected as
// a whole, so that no part of it is applied.
func decodeResponse(response *pathbendv1.EntryBatch, request *pathbendv1.ReadEntries) (sharedlog.KeyedBatch, error) {
	switch {
	case response == nil:
		return sharedlog.KeyedBatch{}, result.New(result.FrameMalformed, "the response is not an entry batch")
	case response.Truncated:
		return sharedlog.KeyedBatch{}, result.New(result.LogTruncated, "the reader no longer keeps the entries from offset %d", request.From)
	case response.AgeMs < 0 || response.AgeMs > maxAge.Milliseconds():
		return sharedlog.KeyedBatch{}, result.New(result.FrameMalformed, "the age of the response is %d ms", response.AgeMs)
	case response.Next == 0 && !request.Newest || response.Next < request.From:
		return sharedlog.KeyedBatch{}, result.New(result.FrameMalformed, "the response to a read from offset %d ends at offset %d", request.From, response.Next)
	}
	records, err := decompress(response.Packed)
	if err != nil {
		return sharedlog.KeyedBatch{}, err
	}
	for _, record := range records {
		// The newest entries are not a consistent snapshot: some may lie at or beyond the offset
		// at which reading continues.
		if !request.Newest && (record.Offset >= response.Next || record.Offset < request.From) {
			return sharedlog.KeyedBatch{}, result.New(result.FrameMalformed, "the entry at offset %d is outside of the range from %d to %d", record.Offset, request.From, response.Next)
		}
	}
	return sharedlog.KeyedBatch{
		EndOffset: response.Next, NextOffset: response.Next, Records: records, Age: time.Duration(response.AgeMs) * time.Millisecond,
	}, nil
}
