package topicreader

import (
	"context"
	"time"

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

// fetch sends a request to the readers in turn until one gives a usable response. It reports
// false if none of them did. A reader that is unreachable, lags or sends an invalid response is
// avoided for a while.
func (f *Feed) fetch(ctx context.Context, plan fanout.Plan, request *pathbendv1.ReadEntries, hold time.Duration) (sharedlog.KeyedBatch, bool) {
	request.Topic = f.config.Topic
	for _, reader := range f.selector.Select(plan, time.Now()) {
		batch, err := f.fetchFrom(ctx, reader, request, hold)
		f.config.Counter.EntriesRead(FromReader, err == nil)
		if err == nil {
			return batch, true
		}
		if ctx.Err() != nil {
			return sharedlog.KeyedBatch{}, false
		}
		// A reader that is still starting has no entries yet. It is not avoided, so that it is
		// asked again soon.
		if !result.Is(err, result.NotReady) {
			f.avoid(reader, err)
		}
	}
	return sharedlog.KeyedBatch{}, false
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
		return sharedlog.KeyedBatch{}, nil
	case response.AgeMs < 0 || time.Duration(response.AgeMs)*time.Millisecond > fanout.MaxReaderAge:
		return sharedlog.KeyedBatch{}, result.New(result.LogUnavailable, "the reader last read the log %d ms ago", response.AgeMs)
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
