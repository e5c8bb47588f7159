package simulation

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// revisionCheckInterval is how often the configuration revision of every node is read.
	revisionCheckInterval = 100 * time.Millisecond
	// convergenceTimeout is how long after the last fault all nodes may take to
	// reach the same revision.
	convergenceTimeout = 5 * time.Second
)

// watchRevisions checks until ctx is done that the configuration revision of no
// node decreases, also not across a restart.
func (r *simulationRun) watchRevisions(ctx context.Context) {
	highest := make(map[string]uint64)
	wait.Every(ctx, revisionCheckInterval, func() {
		for _, slot := range r.cluster.Nodes {
			running := slot.Node()
			if running == nil {
				continue
			}
			_, revision := running.Current()
			if revision > 0 && revision < highest[slot.Name] {
				r.cluster.Checker.ReportViolation("node %s reverted from revision %d to %d", slot.Name, highest[slot.Name], revision)
			}
			highest[slot.Name] = max(highest[slot.Name], revision)
		}
	})
}

// checkConvergence waits until all nodes run and have the newest accepted revision,
// and records a violation if they do not within convergenceTimeout.
func (r *simulationRun) checkConvergence() {
	ctx, cancel := context.WithTimeout(context.Background(), convergenceTimeout)
	defer cancel()
	want := r.acceptedPublishes()
	for !r.converged(want) {
		if !wait.For(ctx, revisionCheckInterval) {
			r.cluster.Checker.ReportViolation("not all nodes reached revision %d within %v after the last fault", want, convergenceTimeout)
			return
		}
	}
}

// acceptedPublishes counts the publishes in the log that are based on the then
// current revision, which is what makes a publish accepted.
func (r *simulationRun) acceptedPublishes() uint64 {
	var accepted uint64
	for _, data := range r.cluster.Platform.Records(logstore.ControlStream) {
		record := &pathbendv1.Record{}
		if err := proto.Unmarshal(data, record); err != nil {
			continue
		}
		if publish := record.GetConfigPublish(); publish != nil && publish.BaseRevision == accepted {
			accepted++
		}
	}
	return accepted
}

// converged reports whether all nodes run and have the wanted revision.
func (r *simulationRun) converged(want uint64) bool {
	for _, slot := range r.cluster.Nodes {
		running := slot.Node()
		if running == nil {
			return false
		}
		_, revision := running.Current()
		if revision != want {
			return false
		}
	}
	return true
}
