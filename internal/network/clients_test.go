package network

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// otherClients matches code that makes HTTP requests without a Transport of this package.
var otherClients = regexp.MustCompile(`http\.(Transport\{|Client\{\}|Default(Transport|Client)|Get\(|Head\(|Post(Form)?\(|ReadResponse\()`)

// surroundings are the packages that stand in for callers and trainers, with their own clients.
var surroundings = []string{"internal/lab", "internal/labcommand", "internal/emulator"}

// buildOutput are the directories of the repository that hold no sources of their own.
var buildOutput = []string{".git", "bin", "out", "target"}

// Every reader of answers needs the checks of Transport.
func TestAllClientsUseTransport(t *testing.T) {
	root := filepath.Join("..", "..")
	files := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && entry.IsDir() && filepath.Dir(path) == root && slices.Contains(buildOutput, entry.Name()) {
			return fs.SkipDir
		}
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil || filepath.Dir(name) == "internal/network" || slices.Contains(surroundings, filepath.Dir(name)) {
			return err
		}
		content, err := os.ReadFile(path)
		if otherClients.Match(content) {
			t.Errorf("%s makes requests without network.Transport", name)
		}
		files++
		return err
	})
	require.NoError(t, err)
	require.Greater(t, files, 100, "the files of this module")
}
