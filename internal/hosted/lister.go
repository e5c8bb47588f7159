package hosted

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// listLinger is how long a result waits for others to share an append.
	listLinger = 50 * time.Millisecond
	// listPatience bounds one round of appends; what is left is tried again.
	listPatience = 5 * time.Second
)

// lister appends results and progress of items to the log, many in one call.
type lister struct {
	node  *Node
	woken chan struct{}
	// writing holds a token during a round of appends.
	writing chan struct{}

	mutex    sync.Mutex
	results  map[string][]*pathbendv1.BatchResult
	progress map[string][]*pathbendv1.ItemProgress
}

func newLister(n *Node) *lister {
	return &lister{
		node: n, woken: make(chan struct{}, 1), writing: make(chan struct{}, 1),
		results:  make(map[string][]*pathbendv1.BatchResult),
		progress: make(map[string][]*pathbendv1.ItemProgress),
	}
}

func (l *lister) addResult(jobID string, listed *pathbendv1.BatchResult) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.results[jobID] = append(l.results[jobID], listed)
	l.wake()
}

func (l *lister) addProgress(unsaved map[string][]*pathbendv1.ItemProgress) {
	if len(unsaved) == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for jobID, items := range unsaved {
		l.progress[jobID] = append(l.progress[jobID], items...)
	}
	l.wake()
}

func (l *lister) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

func (l *lister) run(ctx context.Context) {
	for {
		select {
		case <-l.woken:
		case <-ctx.Done():
			return
		}
		wait.For(ctx, listLinger)
		l.flush(ctx)
	}
}

// flush appends all that waits, until it is kept, not wanted any more, or ctx
// ends.
func (l *lister) flush(ctx context.Context) {
	// A round may last as long as the log is down; a caller whose time is over
	// must not wait for it.
	select {
	case l.writing <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-l.writing }()
	results, progress := l.take()
	for ctx.Err() == nil {
		results = l.unlisted(results)
		entries := entriesOf(results, progress)
		if len(entries) == 0 {
			return
		}
		err := l.node.jobs.record(ctx, listPatience, func() bool { return l.allListed(results, progress) }, entries...)
		if err == nil {
			return
		}
		// Progress that could not be saved in time is not worth more tries.
		progress = nil
	}
}

func (l *lister) take() (map[string][]*pathbendv1.BatchResult, map[string][]*pathbendv1.ItemProgress) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	results, progress := l.results, l.progress
	l.results = make(map[string][]*pathbendv1.BatchResult)
	l.progress = make(map[string][]*pathbendv1.ItemProgress)
	return results, progress
}

// unlisted drops the results of jobs that are over and those that are listed.
func (l *lister) unlisted(results map[string][]*pathbendv1.BatchResult) map[string][]*pathbendv1.BatchResult {
	left := make(map[string][]*pathbendv1.BatchResult, len(results))
	for jobID, listed := range results {
		l.node.jobs.view(jobID, func(job *ledger.Job) {
			if job == nil || !job.Open() {
				return
			}
			for _, one := range listed {
				if !job.Listed(one.ItemId) {
					left[jobID] = append(left[jobID], one)
				}
			}
		})
	}
	return left
}

// allListed reports whether all results were read back. It is called under the
// ledger's lock. Progress leaves no trace to look for.
func (l *lister) allListed(results map[string][]*pathbendv1.BatchResult, progress map[string][]*pathbendv1.ItemProgress) bool {
	if len(progress) > 0 {
		return false
	}
	for jobID, listed := range results {
		job := l.node.jobs.ledger.Job(jobID)
		if job == nil || job.Ended {
			continue
		}
		if !slices.ContainsFunc(listed, func(one *pathbendv1.BatchResult) bool { return !job.Listed(one.ItemId) }) {
			continue
		}
		return false
	}
	return true
}

func entriesOf(results map[string][]*pathbendv1.BatchResult, progress map[string][]*pathbendv1.ItemProgress) []*pathbendv1.LedgerEntry {
	var entries []*pathbendv1.LedgerEntry
	for _, jobID := range slices.Sorted(maps.Keys(results)) {
		entries = append(entries, &pathbendv1.LedgerEntry{JobId: jobID, Fact: &pathbendv1.LedgerEntry_Listed{
			Listed: &pathbendv1.BatchResults{Results: results[jobID]},
		}})
	}
	for _, jobID := range slices.Sorted(maps.Keys(progress)) {
		entries = append(entries, &pathbendv1.LedgerEntry{JobId: jobID, Fact: &pathbendv1.LedgerEntry_Progress{
			Progress: &pathbendv1.BatchProgress{Items: progress[jobID]},
		}})
	}
	return entries
}
