package event

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTableInDocsMatchesDefinitions(t *testing.T) {
	content, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	var want, got []string
	previous := Number(0)
	for _, d := range Definitions() {
		require.Greater(t, d.Number, previous)
		previous = d.Number
		want = append(want, fmt.Sprintf("| %d | `%s` | %s | %s | %s |", d.Number, d.Name, d.Level, d.Meaning, d.Action))
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| event") && !strings.HasPrefix(line, "| ---") {
			got = append(got, line)
		}
	}
	require.Equal(t, want, got)
}

func TestLineCarriesNumberNameAndAttributes(t *testing.T) {
	var output bytes.Buffer
	logger := NewLogger(&output, slog.LevelInfo, "process", "p1")
	logger.Log(SampleResumed, "hidden", true)
	require.Zero(t, output.Len(), "a logger at level info must not write debug events")
	logger.Log(MemberDead, "member", "n7")
	var line map[string]any
	require.NoError(t, json.Unmarshal(output.Bytes(), &line))
	require.Equal(t, "member_dead", line["msg"])
	require.Equal(t, float64(MemberDead), line["event"])
	require.Equal(t, "n7", line["member"])
	require.Equal(t, "p1", line["process"])
}
