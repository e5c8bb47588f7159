// Package ownershiptest provides a fake consumer group for tests of nodes.
package ownershiptest

import (
	"context"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// Topic is the topic whose partitions the fake group assigns.
const Topic = "pathbend-jobs"

// NewAssignment returns an assignment of partitions of Topic.
func NewAssignment(generation uint64, partitions ...int) sharedlog.Assignment {
	assignment := sharedlog.Assignment{Generation: generation}
	for _, number := range partitions {
		assignment.Partitions = append(assignment.Partitions, sharedlog.Partition{Topic: Topic, Number: number})
	}
	return assignment
}

// Group is a fake group that returns what a test sets. It implements ownership.Group. A test
// changes or reads the exported fields only within Set while a node uses the group.
type Group struct {
	mutex sync.Mutex
	// Assignment is the assignment that Join returns.
	Assignment sharedlog.Assignment
	// Owned are the owners that Owners returns.
	Owned []sharedlog.Owner
	// Down makes Join and Owners fail with LogUnavailable.
	Down bool
	// Delay is the duration of a Join call.
	Delay time.Duration
	// RoundTrip is the round-trip time that RoundTripTime returns.
	RoundTrip time.Duration
	// JoinCalls is the number of Join calls.
	JoinCalls int

	left           bool
	lastGeneration uint64
}

// Set calls change with the group's mutex held.
func (g *Group) Set(change func()) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change()
}

// Join implements sharedlog.Group.
func (g *Group) Join(ctx context.Context, _, _, _ string, _ time.Duration, generation uint64) (sharedlog.Assignment, error) {
	g.mutex.Lock()
	delay, down, assignment := g.Delay, g.Down, g.Assignment
	g.JoinCalls++
	g.lastGeneration = generation
	g.mutex.Unlock()
	time.Sleep(delay)
	if down {
		return sharedlog.Assignment{}, result.New(result.LogUnavailable, "down")
	}
	return assignment, ctx.Err()
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

// Joins returns the number of Join calls.
func (g *Group) Joins() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.JoinCalls
}

// HasLeft reports whether the member left the group.
func (g *Group) HasLeft() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.left
}

// LastGeneration returns the generation that the last Join call confirmed.
func (g *Group) LastGeneration() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.lastGeneration
}

// ExtraLatency implements ownership.Group. It returns 0, as for a service in the same data
// center.
func (g *Group) ExtraLatency() time.Duration { return 0 }

// RoundTripTime implements ownership.Group.
func (g *Group) RoundTripTime() time.Duration { return g.RoundTrip }
