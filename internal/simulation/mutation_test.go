//go:build mutation

package simulation

import (
	"testing"

	"github.com/pathbend/pathbend/internal/mutation"
)

var mutants = []mutation.Mutant{
	{Promise: "samples name their true versions", Edits: []mutation.Edit{mutation.Replace("internal/rollout/job.go", "AppendTokens(running.segments, len(tokens), version)",
		"AppendTokens(running.segments, len(tokens), max(version, j.trainerVersion))")}},
	{Promise: "no sample over the bound", Edits: []mutation.Edit{
		mutation.Replace("internal/delivery/sample.go", "return oldest+l.MaxVersions >= trainerVersion && now", "return now"),
		mutation.Replace("internal/rollout/job.go", "OldestVersion(sample.Segments) + j.policy.Freshness.MaxVersions,", "OldestVersion(sample.Segments) + 1000,"),
		mutation.Replace("internal/delivery/sample.go", "return trainerVersion - l.MaxVersions", "return 0"),
	}},
	{Promise: "each sample once", Edits: []mutation.Edit{
		mutation.Replace("client/trainer.go", "usable && !j.held[next.Slot]", "usable"),
		mutation.Replace("client/trainer.go", "TrainerVersion: j.trainerVersion(), Held: j.heldRanges(), WaitMS", "TrainerVersion: j.trainerVersion(), Held: []SlotRange{}, WaitMS"),
	}},
	{Promise: "whole answer to its own request", Edits: []mutation.Edit{mutation.Replace("internal/dispatch/protocol.go", "case echoed != requestID:", "case false:")}},
	{Promise: "not run is true", Edits: []mutation.Edit{mutation.Replace("internal/result/definitions.go", `{AnswerLost, "answer_lost", http.StatusBadGateway, Unknown,`,
		`{AnswerLost, "answer_lost", http.StatusBadGateway, NotRun,`)}},
	{Promise: "at most once", Edits: []mutation.Edit{mutation.Replace("internal/gateway/application.go", "return g.services.IdempotentDispatcher", "return g.services.Dispatcher")}},
	{Promise: "leaving back ends get nothing new", Edits: []mutation.Edit{mutation.Replace("internal/routing/not_leaving.go", "return !endpoint.Leaving", "return true")}},
	{Promise: "a planned stop cuts nothing", Test: "TestPlannedRestartsFailNoRequest", Edits: []mutation.Edit{
		mutation.Replace("internal/node/node.go", "	idle := n.gateway.Drain()\n", "	idle := make(chan struct{})\n	close(idle)\n"),
		mutation.Replace("internal/node/node.go", "	n.gate.Close(result.New(result.Draining, \"this node is leaving\"))\n", "	_ = result.Draining\n"),
	}},
	{Promise: "an accepted configuration never reverts", Edits: []mutation.Edit{mutation.Replace("internal/controlstate/machine.go", "if publish.BaseRevision != current.Number {", "if false {")}},
}

// TestEachMechanismIsNeeded disables one mechanism at a time and expects the
// simulation to fail.
func TestEachMechanismIsNeeded(t *testing.T) {
	mutation.Simulation{Package: "./internal/simulation", Arguments: []string{"-seeds", "50"}}.RequireDetected(t, mutants)
}
