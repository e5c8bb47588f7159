package feed

import (
	"context"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// answerTime is how long an answer may take beside the time for which it is held: the newest
// entries for one node are some 60 kB packed, a tenth of a second on the smallest link, and a
// reader may serve some thirty at once (chosen).
const answerTime = 700 * time.Millisecond

// ask puts a question to the readers in turn. It reports false if none of them helped.
func (f *Feed) ask(ctx context.Context, plan fanout.Plan, question *pathbendv1.ReadEntries, hold time.Duration) (sharedlog.KeyedBatch, bool) {
	question.Topic = f.config.Topic
	for _, parent := range f.choice.Parents(plan, time.Now()) {
		batch, err := f.askOne(ctx, parent, question, hold)
		f.config.Counts.EntriesRead(FromReader, err == nil)
		if err == nil {
			return batch, true
		}
		if ctx.Err() != nil {
			return sharedlog.KeyedBatch{}, false
		}
		// One that starts as this node does has nothing yet, and is asked again soon.
		if !result.Is(err, result.NotReady) {
			f.passOver(parent, err)
		}
	}
	return sharedlog.KeyedBatch{}, false
}

// passOver leaves a reader alone for a while.
func (f *Feed) passOver(parent fanout.Node, err error) {
	now := time.Now()
	f.choice.Unhelpful(parent.Name, now)
	if f.lines.Allow(now) {
		f.config.Logger.Log(event.ReaderUnhelpful, "reader", parent.Name, "topic", f.config.Topic, "detail", err.Error())
	}
}

func (f *Feed) askOne(ctx context.Context, parent fanout.Node, question *pathbendv1.ReadEntries, hold time.Duration) (sharedlog.KeyedBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+answerTime)
	defer cancel()
	reply, err := f.config.Caller.Call(ctx, parent.Address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_ReadEntries{ReadEntries: question}})
	if err != nil {
		return sharedlog.KeyedBatch{}, err
	}
	return readAnswer(reply.GetEntryBatch(), question)
}

// readAnswer checks a reader's answer whole: nothing of one that makes no sense is applied.
func readAnswer(answer *pathbendv1.EntryBatch, question *pathbendv1.ReadEntries) (sharedlog.KeyedBatch, error) {
	switch {
	case answer == nil:
		return sharedlog.KeyedBatch{}, result.New(result.FrameMalformed, "the answer holds no entries")
	case answer.Truncated:
		return sharedlog.KeyedBatch{}, nil
	case answer.AgeMs < 0 || time.Duration(answer.AgeMs)*time.Millisecond > fanout.StalestAge:
		return sharedlog.KeyedBatch{}, result.New(result.LogUnavailable, "the reader heard of the log %d ms ago", answer.AgeMs)
	case answer.Next == 0 && !question.Newest || answer.Next < question.From:
		return sharedlog.KeyedBatch{}, result.New(result.FrameMalformed, "the answer to entries from %d on ends at %d", question.From, answer.Next)
	}
	records, err := unpack(answer.Packed)
	if err != nil {
		return sharedlog.KeyedBatch{}, err
	}
	for _, record := range records {
		// The newest of each key are no snapshot: some may be newer than the offset to go on from.
		if !question.Newest && (record.Offset >= answer.Next || record.Offset < question.From) {
			return sharedlog.KeyedBatch{}, result.New(result.FrameMalformed, "an entry at %d, outside of %d to %d", record.Offset, question.From, answer.Next)
		}
	}
	return sharedlog.KeyedBatch{
		End: answer.Next, Next: answer.Next, Records: records, Age: time.Duration(answer.AgeMs) * time.Millisecond,
	}, nil
}
