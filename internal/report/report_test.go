package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestResultIsWrittenReadAndRendered(t *testing.T) {
	result := Result{
		Name: "trial", Description: "<b>bold</b>", Started: time.Unix(1000, 0).UTC(), Command: "do it",
		Tables: []Table{{Title: "T", Columns: []string{"a", "b"}, Rows: [][]string{{"1", "2"}}}},
		Charts: []Chart{{Title: "C", LogX: true, Lines: []Line{{Name: "l", Points: []Point{{1, 0.1}, {10, 0.9}}}, {Name: "empty"}}}},
	}
	directory := filepath.Join(t.TempDir(), "new")
	page, err := Write(directory, result)
	require.NoError(t, err)
	read, err := Read(filepath.Join(directory, "trial.json"))
	require.NoError(t, err)
	require.Equal(t, result, read)
	csv, err := os.ReadFile(filepath.Join(directory, "trial.csv"))
	require.NoError(t, err)
	require.Equal(t, "T,a,b\nT,1,2\n", string(csv))
	html, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(html), "data:image/png;base64,iVBOR")
	require.Contains(t, string(html), "&lt;b&gt;")
	require.False(t, strings.Contains(string(html), "http://") || strings.Contains(string(html), "https://"), "the page must open without a network")
	require.FileExists(t, filepath.Join(directory, "trial-1.png"))
}
