// Package mutation switches mechanisms of the product off, one at a time, and
// expects a simulation to notice. It serves tests under the build tag mutation.
package mutation

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Edit replaces text in a source file of the product.
type Edit struct{ File, From, To string }

// Replace returns an edit of a file.
func Replace(file, from, to string) Edit { return Edit{File: file, From: from, To: to} }

// Mutant is the product with one mechanism switched off.
type Mutant struct {
	// Promise is what the mechanism keeps.
	Promise string
	Edits   []Edit
	// Test is the test that must fail; TestSeeds unless set.
	Test string
	// Package holds the test if it is not the simulation's.
	Package string
}

// Simulation is a package of simulation tests. Arguments go to its tests.
type Simulation struct {
	Package   string
	Arguments []string
}

// ExpectCaught builds the simulation with each mutant, by an overlay over the
// sources, and expects it to fail.
func (s Simulation) ExpectCaught(t *testing.T, mutants []Mutant) {
	t.Helper()
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	for _, mutant := range mutants {
		t.Run(mutant.Promise, func(t *testing.T) {
			overlay := writeOverlay(t, root, mutant.Edits)
			test := mutant.Test
			if test == "" {
				test = "TestSeeds"
			}
			command := s.command(overlay, test, mutant.Package)
			command.Dir = root
			output, err := command.CombinedOutput()
			require.Error(t, err, "the mutant was not caught")
			require.NotContains(t, string(output), "build failed", string(output))
			t.Log(firstViolation(string(output)))
		})
	}
}

func (s Simulation) command(overlay, test, other string) *exec.Cmd {
	arguments := []string{"test", "-overlay", overlay, "-run", "^" + test + "$", "-failfast", "-timeout", "300s"}
	if other != "" {
		return exec.Command("go", append(arguments, other)...)
	}
	arguments = append(arguments, s.Package, "-args")
	return exec.Command("go", append(arguments, s.Arguments...)...)
}

// Build builds a program with the mutant and returns its path.
func (m Mutant) Build(t *testing.T, command string) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	program := filepath.Join(t.TempDir(), filepath.Base(command))
	build := exec.Command("go", "build", "-overlay", writeOverlay(t, root, m.Edits), "-o", program, command)
	build.Dir = root
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	return program
}

func writeOverlay(t *testing.T, root string, edits []Edit) string {
	t.Helper()
	contents := make(map[string]string)
	for _, change := range edits {
		path := filepath.Join(root, change.File)
		if _, read := contents[path]; !read {
			content, err := os.ReadFile(path)
			require.NoError(t, err)
			contents[path] = string(content)
		}
		require.Equal(t, 1, strings.Count(contents[path], change.From), "%s: %q", change.File, change.From)
		contents[path] = strings.Replace(contents[path], change.From, change.To, 1)
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
