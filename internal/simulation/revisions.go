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
	// watchInterval is how often the revision of every node is looked at.
	watchInterval = 100 * time.Millisecond
	// agreeLimit is how long after the last fault all nodes may take to agree.
	agreeLimit = 5 * time.Second
)

// watchRevisions checks that no node ever shows an older configuration than it,
// or the process before it in its place, has shown.
func (w *world) watchRevisions(ctx context.Context) {
	highest := make(map[string]uint64)
	wait.Every(ctx, watchInterval, func() {
		for _, slot := range w.cluster.Nodes {
			running := slot.Node()
			if running == nil {
				continue
			}
			_, revision := running.Current()
			if revision > 0 && revision < highest[slot.Name] {
				w.cluster.Truth.Violate("node %s went back from revision %d to %d", slot.Name, highest[slot.Name], revision)
			}
			highest[slot.Name] = max(highest[slot.Name], revision)
		}
	})
}

// checkAgreement waits until all nodes run and show one revision.
func (w *world) checkAgreement() {
	ctx, cancel := context.WithTimeout(context.Background(), agreeLimit)
	defer cancel()
	want := w.acceptedPublishes()
	for !w.agree(want) {
		if !wait.For(ctx, watchInterval) {
			w.cluster.Truth.Violate("nodes are not all at revision %d, %v after the last fault", want, agreeLimit)
			return
		}
	}
}

// acceptedPublishes counts, from the log itself, the publishes that were made
// from the revision in force.
func (w *world) acceptedPublishes() uint64 {
	var accepted uint64
	for _, data := range w.cluster.Platform.Records(logstore.ControlStream) {
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

func (w *world) agree(want uint64) bool {
	for _, slot := range w.cluster.Nodes {
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
