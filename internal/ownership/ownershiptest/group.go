// Package ownershiptest has what tests of nodes need to deal shares out.
package ownershiptest

import (
	"context"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// Topic is the one whose partitions are dealt out.
const Topic = "pathbend-jobs"

// Holding is a share of partitions.
func Holding(generation uint64, partitions ...int) sharedlog.Share {
	share := sharedlog.Share{Generation: generation}
	for _, number := range partitions {
		share.Partitions = append(share.Partitions, sharedlog.Partition{Topic: Topic, Number: number})
	}
	return share
}

// Group deals out what a test says. It implements ownership.Group.
type Group struct {
	mutex sync.Mutex
	// Share is what it deals out to the member, Owners what it tells of all. While Down is
	// set nothing is answered; Delay is how long a join takes, Distance the way there and back.
	Share    sharedlog.Share
	Owned    []sharedlog.Owner
	Down     bool
	Delay    time.Duration
	Distance time.Duration
	// Joined counts the joins.
	Joined int

	left  bool
	heard uint64
}

// Set changes what it does.
func (g *Group) Set(change func()) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change()
}

// Join implements sharedlog.Group.
func (g *Group) Join(ctx context.Context, _, _, _ string, _ time.Duration, generation uint64) (sharedlog.Share, error) {
	g.mutex.Lock()
	delay, down, share := g.Delay, g.Down, g.Share
	g.Joined++
	g.heard = generation
	g.mutex.Unlock()
	time.Sleep(delay)
	if down {
		return sharedlog.Share{}, result.New(result.LogUnavailable, "down")
	}
	return share, ctx.Err()
}

// Leave implements sharedlog.Group.
func (g *Group) Leave(context.Context, string, string) error {
	g.Set(func() { g.left = true })
	return nil
}

// Owners implements sharedlog.Group.
func (g *Group) Owners(context.Context, string) ([]sharedlog.Owner, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.Down {
		return nil, result.New(result.LogUnavailable, "down")
	}
	return g.Owned, nil
}

// Joins counts the joins.
func (g *Group) Joins() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.Joined
}

// HasLeft reports whether the member gave its share back.
func (g *Group) HasLeft() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.left
}

// LastGeneration is the one that the member told last.
func (g *Group) LastGeneration() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.heard
}

// Beyond implements ownership.Group: the service is next door.
func (g *Group) Beyond() time.Duration { return 0 }

// Away implements ownership.Group.
func (g *Group) Away() time.Duration { return g.Distance }
