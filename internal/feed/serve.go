package feed

import (
	"context"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

const (
	// mostHold bounds how long a question is held, mostHeld how many are at once: several
	// times those that the plan gives a reader, as when half of the readers are gone (chosen).
	mostHold = 2 * time.Second
	mostHeld = 256
)

// Server answers the questions of other nodes about topics that this node reads.
type Server struct {
	feeds map[string]*Feed
	slots chan struct{}
}

// NewServer returns a server of feeds.
func NewServer(feeds ...*Feed) *Server {
	server := &Server{feeds: make(map[string]*Feed), slots: make(chan struct{}, mostHeld)}
	for _, feed := range feeds {
		server.feeds[feed.config.Topic] = feed
	}
	return server
}

// Answer answers a question. A node that does not read the topic says that it is not ready.
func (s *Server) Answer(ctx context.Context, question *pathbendv1.ReadEntries) (*pathbendv1.EntryBatch, error) {
	feed := s.feeds[question.Topic]
	if feed == nil {
		return nil, result.New(result.FrameMalformed, "no entries of topic %q here", question.Topic)
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return nil, result.New(result.PeerUnreached, "%d questions are held already", mostHeld)
	}
	batch, truncated, err := feed.answer(ctx, question)
	if err != nil {
		return nil, err
	}
	answer := &pathbendv1.EntryBatch{Next: batch.Next, Truncated: truncated, AgeMs: (*feed.age.Load())().Milliseconds()}
	if answer.Packed, err = pack(batch.Records); err != nil {
		return nil, err
	}
	feed.config.Counts.EntriesServed(len(answer.Packed))
	return answer, nil
}

func (f *Feed) answer(ctx context.Context, question *pathbendv1.ReadEntries) (batch sharedlog.KeyedBatch, truncated bool, err error) {
	if f.age.Load() == nil || !f.serves() || !f.cache.Ready() {
		return batch, false, result.New(result.NotReady, "this node does not read the entries for others, or not yet")
	}
	groups := groupsOf(question)
	if question.Newest {
		batch, ready := f.cache.Newest(groups)
		return batch, !ready, nil
	}
	hold := min(time.Duration(max(question.HoldMs, 0))*time.Millisecond, mostHold)
	batch, kept := f.await(ctx, question.From, groups, hold)
	return batch, !kept, nil
}

// await waits for a record that is wanted.
func (f *Feed) await(ctx context.Context, from uint64, groups fanout.Groups, hold time.Duration) (sharedlog.KeyedBatch, bool) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		batch, kept, changed := f.cache.Since(from, groups)
		if !kept || len(batch.Records) > 0 || hold <= 0 {
			return batch, kept
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, kept
		case <-ctx.Done():
			return batch, kept
		}
	}
}

// groupsOf reads the groups of a question.
func groupsOf(question *pathbendv1.ReadEntries) fanout.Groups {
	if question.All {
		return fanout.All()
	}
	return fanout.Only(question.Groups...)
}
