//go:build mutation

package simulation

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// edit replaces text in a source file of the product.
type edit struct{ file, from, to string }

// mutation switches one mechanism off.
type mutation struct {
	promise string
	edits   []edit
	// test is the test that must fail; TestSeeds unless set.
	test string
}

const mutationSeeds = "50"

var mutations = []mutation{
	{promise: "samples name their true versions", edits: []edit{{
		"internal/rollout/job.go", "AppendTokens(running.segments, len(tokens), version)",
		"AppendTokens(running.segments, len(tokens), max(version, j.trainerVersion))",
	}}},
	{promise: "no sample over the bound", edits: []edit{
		{"internal/delivery/sample.go", "return oldest+b.MaxVersions >= trainerVersion && now", "return now"},
		{"internal/rollout/job.go", "OldestVersion(sample.Segments) + j.policy.Bound.MaxVersions,", "OldestVersion(sample.Segments) + 1000,"},
		{"internal/delivery/sample.go", "return trainerVersion - b.MaxVersions", "return 0"},
	}},
	{promise: "each sample once", edits: []edit{
		{"client/trainer.go", "usable && !j.held[next.Slot]", "usable"},
		{"client/trainer.go", "TrainerVersion: j.version(), Held: j.ranges(), WaitMS", "TrainerVersion: j.version(), Held: []SlotRange{}, WaitMS"},
	}},
	{promise: "whole answer to its own request", edits: []edit{{
		"internal/dispatch/exchange.go", "if echoed != requestID {", "if false {",
	}}},
	{promise: "not run is true", edits: []edit{{
		"internal/result/definitions.go", `{AnswerLost, "answer_lost", http.StatusBadGateway, Unknown,`,
		`{AnswerLost, "answer_lost", http.StatusBadGateway, NotRun,`,
	}}},
	{promise: "at most once", edits: []edit{{
		"internal/gateway/application.go", "return g.services.Keyed", "return g.services.Dispatcher",
	}}},
	{promise: "leaving back ends get nothing new", edits: []edit{{
		"internal/routing/not_leaving.go", "return !endpoint.Leaving", "return true",
	}}},
	{promise: "a planned stop cuts nothing", test: "TestPlannedRestartsCutNothing", edits: []edit{
		{"internal/node/node.go", "	idle := n.gateway.Drain()\n", "	idle := make(chan struct{})\n	close(idle)\n"},
		{"internal/node/node.go", "	n.gate.Close(result.New(result.Draining, \"this node is leaving\"))\n", "	_ = result.Draining\n"},
	}},
	{promise: "an accepted configuration never reverts", edits: []edit{{
		"internal/state/machine.go", "if publish.BaseRevision != current.Number {", "if false {",
	}}},
}

// TestEachMechanismIsNeeded builds the simulation with one mechanism switched
// off at a time, by an overlay over the sources, and expects it to fail.
func TestEachMechanismIsNeeded(t *testing.T) {
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	for _, mutant := range mutations {
		t.Run(mutant.promise, func(t *testing.T) {
			overlay := writeOverlay(t, root, mutant.edits)
			test := mutant.test
			if test == "" {
				test = "TestSeeds"
			}
			command := exec.Command("go", "test", "-overlay", overlay, "./internal/simulation",
				"-run", "^"+test+"$", "-failfast", "-timeout", "300s", "-args", "-seeds", mutationSeeds)
			command.Dir = root
			output, err := command.CombinedOutput()
			require.Error(t, err, "the mutant was not caught")
			require.NotContains(t, string(output), "build failed", string(output))
			t.Log(firstViolation(string(output)))
		})
	}
}

func writeOverlay(t *testing.T, root string, edits []edit) string {
	t.Helper()
	contents := make(map[string]string)
	for _, change := range edits {
		path := filepath.Join(root, change.file)
		if _, read := contents[path]; !read {
			content, err := os.ReadFile(path)
			require.NoError(t, err)
			contents[path] = string(content)
		}
		require.Equal(t, 1, strings.Count(contents[path], change.from), "%s: %q", change.file, change.from)
		contents[path] = strings.Replace(contents[path], change.from, change.to, 1)
	}
	replace := make(map[string]string)
	for path, content := range contents {
		mutated := filepath.Join(t.TempDir(), filepath.Base(path))
		require.NoError(t, os.WriteFile(mutated, []byte(content), 0o600))
		replace[path] = mutated
	}
	encoded, err := json.Marshal(map[string]any{"Replace": replace})
	require.NoError(t, err)
	overlay := filepath.Join(t.TempDir(), "overlay.json")
	require.NoError(t, os.WriteFile(overlay, encoded, 0o600))
	return overlay
}

// firstViolation finds what the failing run complained of.
func firstViolation(output string) string {
	for line := range strings.SplitSeq(output, "\n") {
		known := strings.Contains(line, "simulation_test.go") && !strings.Contains(line, " target ") && !strings.Contains(line, "repeat with")
		if known || strings.Contains(line, "Error:") || strings.HasPrefix(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return "failed without a known line"
}
