// Package mutation provides mutation testing of the simulations: it disables one
// mechanism of pathbend at a time and requires a simulation test to fail. It is used by
// tests with the build tag mutation.
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

// Edit replaces the only occurrence of From by To in a source file, whose path is relative
// to the repository root.
type Edit struct{ File, From, To string }

// Replace returns an edit that replaces from by to in a file.
func Replace(file, from, to string) Edit { return Edit{File: file, From: from, To: to} }

// Mutant is a build of pathbend in which one mechanism is disabled.
type Mutant struct {
	// Promise names the guarantee that the mechanism provides, and the subtest.
	Promise string
	// Edits disable the mechanism.
	Edits []Edit
	// Test is the name of the test that must fail. The default is TestSeeds.
	Test string
	// Package is the package of the test. The default is the package of the simulation.
	Package string
}

// Simulation is a package of simulation tests.
type Simulation struct {
	Package string
	// Arguments are passed to the test binary, unless a mutant has its own package.
	Arguments []string
}

// RequireDetected runs the test of each mutant, with the edits applied by a build overlay, and
// requires it to fail other than by a build error.
func (s Simulation) RequireDetected(t *testing.T, mutants []Mutant) {
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
			require.Error(t, err, "the mutant was not detected")
			require.NotContains(t, string(output), "build failed", string(output))
			t.Log(firstViolation(string(output)))
		})
	}
}

func (s Simulation) command(overlay, test, otherPackage string) *exec.Cmd {
	arguments := []string{"test", "-overlay", overlay, "-run", "^" + test + "$", "-failfast", "-timeout", "300s"}
	if otherPackage != "" {
		return exec.Command("go", append(arguments, otherPackage)...)
	}
	arguments = append(arguments, s.Package, "-args")
	return exec.Command("go", append(arguments, s.Arguments...)...)
}

// Build builds the program of a package with the mutant and returns its path.
func (m Mutant) Build(t *testing.T, mainPackage string) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	program := filepath.Join(t.TempDir(), filepath.Base(mainPackage))
	build := exec.Command("go", "build", "-overlay", writeOverlay(t, root, m.Edits), "-o", program, mainPackage)
	build.Dir = root
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	return program
}

// writeOverlay writes the edited files and an overlay file for the go command, and returns
// the path of the latter.
func writeOverlay(t *testing.T, root string, edits []Edit) string {
	t.Helper()
	contents := make(map[string]string)
	for _, edit := range edits {
		path := filepath.Join(root, edit.File)
		if _, read := contents[path]; !read {
			content, err := os.ReadFile(path)
			require.NoError(t, err)
			contents[path] = string(content)
		}
		require.Equal(t, 1, strings.Count(contents[path], edit.From), "%s: %q", edit.File, edit.From)
		contents[path] = strings.Replace(contents[path], edit.From, edit.To, 1)
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

// firstViolation returns the first line of test output that reports a failure.
func firstViolation(output string) string {
	for line := range strings.SplitSeq(output, "\n") {
		reported := strings.Contains(line, "simulation_test.go") && !strings.Contains(line, " target ") && !strings.Contains(line, "repeat with")
		if reported || strings.Contains(line, "Error:") || strings.HasPrefix(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return "no line of the output reports a failure"
}
