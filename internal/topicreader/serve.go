package topicreader

import (
	"context"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

const (
	// maxHoldTime bounds how long a request is held.
	maxHoldTime = 2 * time.Second
	// maxHeldRequests bounds the requests held at once. It is several times the number that the
	// plan assigns to a reader, so that it suffices when half of the readers have failed.
	maxHeldRequests = 256
)

// Server serves the read requests of other nodes for the topics that this node reads.
type Server struct {
	feeds map[string]*Feed
	slots chan struct{}
}

// NewServer returns a server of the given feeds, each under its topic.
func NewServer(feeds ...*Feed) *Server {
	server := &Server{feeds: make(map[string]*Feed), slots: make(chan struct{}, maxHeldRequests)}
	for _, feed := range feeds {
		server.feeds[feed.config.Topic] = feed
	}
	return server
}

// Serve serves one request. It returns result.NotReady if this node is not a reader of the
// topic, or has not loaded it yet, and result.PeerUnreached if too many requests are held.
func (s *Server) Serve(ctx context.Context, request *pathbendv1.ReadEntries) (*pathbendv1.EntryBatch, error) {
	feed := s.feeds[request.Topic]
	if feed == nil {
		return nil, result.New(result.FrameMalformed, "topic %q is not served", request.Topic)
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return nil, result.New(result.PeerUnreached, "%d read requests are already held", maxHeldRequests)
	}
	batch, truncated, err := feed.read(ctx, request)
	if err != nil {
		return nil, err
	}
	response := &pathbendv1.EntryBatch{Next: batch.NextOffset, Truncated: truncated, AgeMs: batch.Age.Milliseconds()}
	if response.Packed, err = compress(batch.Records); err != nil {
		return nil, err
	}
	feed.config.Counter.EntriesServed(len(response.Packed))
	return response, nil
}

// read serves a request from the cache. truncated reports that the cache does not keep the
// requested entries.
func (f *Feed) read(ctx context.Context, request *pathbendv1.ReadEntries) (batch sharedlog.KeyedBatch, truncated bool, err error) {
	age := f.age.Load()
	if age == nil || !f.serves() || !f.cache.Ready() {
		return batch, false, result.New(result.NotReady, "this node is not a reader of the topic, or has not loaded it yet")
	}
	groups := requestedGroups(request)
	if request.Newest {
		// The age is taken before the entries: after them it could be that of later ones.
		current := (*age)()
		batch, ready := f.cache.Snapshot(groups)
		batch.Age = current
		return batch, !ready, nil
	}
	hold := min(time.Duration(max(request.HoldMs, 0))*time.Millisecond, maxHoldTime)
	batch, available := f.await(ctx, request.From, groups, hold, *age)
	return batch, !available, nil
}

// await returns the records of the groups from an offset, and waits up to hold for the first
// one. It reports false if the cache no longer keeps that offset.
func (f *Feed) await(ctx context.Context, from uint64, groups fanout.Groups, hold time.Duration, age func() time.Duration) (sharedlog.KeyedBatch, bool) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for expired := hold <= 0; ; {
		// As in read, the age is taken before the entries.
		current := age()
		batch, available, changed := f.cache.Since(from, groups)
		batch.Age = current
		if !available || len(batch.Records) > 0 || expired {
			return batch, available
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return batch, available
		}
	}
}

// requestedGroups returns the groups that a request names.
func requestedGroups(request *pathbendv1.ReadEntries) fanout.Groups {
	if request.All {
		return fanout.All()
	}
	return fanout.Only(request.Groups...)
}
