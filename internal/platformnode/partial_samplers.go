package platformnode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/schedule"
)

const (
	// startupTimeout is how long a request to a node that has just started waits for the
	// configuration, which takes about 100 ms to arrive, and for the first samplers, which
	// follow soon after.
	startupTimeout = 400 * time.Millisecond
	// notReadyRetryAfter is the retry-after hint of a node that has no configuration, or knows
	// no sampler for the request yet.
	notReadyRetryAfter = 300 * time.Millisecond
	// maxPartialListAge is how long requests may use a partly read first list of samplers.
	// Changes to entries that were read early become known only once the whole list is read,
	// and a leaving sampler must get no new work after 3 s.
	maxPartialListAge = 2 * time.Second
)

// partialSamplerList is the part of the first sampler list that was read so far. It is used
// only for application requests: batch jobs, and the decision whether a missing sampler is
// gone, need the complete list.
type partialSamplerList struct {
	mutex    sync.Mutex
	samplers *[]schedule.Sampler
	// firstReadAt is when the first part was read.
	firstReadAt time.Time
	// changed is closed and reset when more is read; nil if nothing waits for it.
	changed chan struct{}
}

func (l *partialSamplerList) list() *[]schedule.Sampler {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.samplers
}

func (l *partialSamplerList) update(listed []schedule.Sampler) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.samplers == nil {
		l.firstReadAt = time.Now()
	}
	l.samplers = &listed
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// find reports whether the list is recent enough to be used and has a usable sampler. It
// returns a channel that is closed when more samplers are read.
func (l *partialSamplerList) find(usable func(schedule.Sampler) bool) (found bool, changed <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	fresh := l.samplers != nil && time.Since(l.firstReadAt) < maxPartialListAge
	return fresh && slices.ContainsFunc(*l.samplers, usable), l.changed
}

// ApplyPartialSamplers applies a part of the first sampler list. It does nothing once a
// complete list is known.
func (n *Node) ApplyPartialSamplers(listed []schedule.Sampler) {
	if n.samplers.Load() != nil {
		return
	}
	n.partialSamplers.update(listed)
	n.updateFleet()
}

// awaitConfiguration waits up to startupTimeout for the first configuration.
func (n *Node) awaitConfiguration(ctx context.Context) {
	select {
	case <-n.configured:
		return
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	select {
	case <-n.configured:
	case <-ctx.Done():
	}
}

// awaitSampler waits, on a node that has just started, until it knows a sampler for the
// request or the complete list; before, it cannot tell whether there is one. It waits for the
// shorter of startupTimeout and half of the time to the deadline, and then returns NotReady.
func (n *Node) awaitSampler(ctx context.Context, request *dispatch.Request) error {
	if n.samplers.Load() != nil {
		return nil
	}
	usable := func(sampler schedule.Sampler) bool {
		return sampler.Service == request.Pool && !sampler.Leaving &&
			(!request.Regions.Restricted() || request.Regions.Allows(n.settings.Topology.Region(sampler.Zone)))
	}
	ctx, cancel := context.WithTimeout(ctx, min(startupTimeout, time.Until(request.Deadline)/2))
	defer cancel()
	for {
		found, changed := n.partialSamplers.find(usable)
		if found {
			return nil
		}
		select {
		case <-changed:
		case <-n.initialized:
			return nil
		case <-ctx.Done():
			return notReady("sampler list not read yet")
		}
	}
}
