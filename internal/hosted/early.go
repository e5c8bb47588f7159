package hosted

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/schedule"
)

const (
	// startPatience is how long a request waits for what a node that has just started
	// reads first: the configuration comes within about 100 ms, the first samplers soon
	// after.
	startPatience = 400 * time.Millisecond
	// notReadyHint is when to come back to a node that has no configuration, or knows no
	// sampler for the request yet.
	notReadyHint = 300 * time.Millisecond
	// earlyLimit is how long requests go by a part of the first list: changes of what was
	// read first are known only once the last was read, and the users allow 3 s until a
	// sampler that leaves gets nothing more (chosen).
	earlyLimit = 2 * time.Second
)

// earlyList is the part of the first list of samplers that was read so far. It serves
// requests of the application only: what batch jobs may use, and whether samplers that
// are missing are gone, is decided by entire lists.
type earlyList struct {
	mutex    sync.Mutex
	samplers *[]schedule.Sampler
	// began is when the first part came.
	began time.Time
	// changed is closed and replaced when more was read.
	changed chan struct{}
}

func (l *earlyList) list() *[]schedule.Sampler {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.samplers
}

func (l *earlyList) take(listed []schedule.Sampler) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.samplers == nil {
		l.began = time.Now()
	}
	l.samplers = &listed
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// look reports whether a sampler is among those that were read, and returns what is closed
// when there are more.
func (l *earlyList) look(usable func(schedule.Sampler) bool) (found bool, changed <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	fresh := l.samplers != nil && time.Since(l.began) < earlyLimit
	return fresh && slices.ContainsFunc(*l.samplers, usable), l.changed
}

// TakeEarlySamplers applies a part of the first list of samplers.
func (n *Node) TakeEarlySamplers(listed []schedule.Sampler) {
	if n.samplers.Load() != nil {
		return
	}
	n.early.take(listed)
	n.updateFleet()
}

// awaitConfigured waits a little for the first configuration.
func (n *Node) awaitConfigured(ctx context.Context) {
	select {
	case <-n.configured:
		return
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	select {
	case <-n.configured:
	case <-ctx.Done():
	}
}

// awaitSampler waits a little until the node, if it has just started, knows a sampler for a
// request or the entire list. A node cannot tell before whether there is one.
func (n *Node) awaitSampler(ctx context.Context, request *dispatch.Request) error {
	if n.samplers.Load() != nil {
		return nil
	}
	usable := func(sampler schedule.Sampler) bool {
		return sampler.Service == request.Pool && !sampler.Leaving &&
			(!request.Regions.Bound() || request.Regions.Allow(n.settings.Topology.Region(sampler.Zone)))
	}
	ctx, cancel := context.WithTimeout(ctx, min(startPatience, time.Until(request.Deadline)/2))
	defer cancel()
	for {
		found, changed := n.early.look(usable)
		if found {
			return nil
		}
		select {
		case <-changed:
		case <-n.informed:
			return nil
		case <-ctx.Done():
			return notReady("the list of samplers is not read yet")
		}
	}
}
