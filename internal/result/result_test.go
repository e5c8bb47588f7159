package result

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const tablePath = "../../docs/RESULT_CODES.md"

// tableRow returns the row of docs/RESULT_CODES.md for a definition.
func tableRow(d Definition) string {
	return fmt.Sprintf("| %d | `%s` | %d | %s | %s | %s |", d.Code, d.Name, d.HTTPStatus, d.Execution, d.Meaning, d.Fix)
}

func TestTableInDocsMatchesDefinitions(t *testing.T) {
	content, err := os.ReadFile(tablePath)
	require.NoError(t, err)
	var want, got []string
	for _, definition := range Definitions() {
		want = append(want, tableRow(definition))
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| code") && !strings.HasPrefix(line, "| ---") {
			got = append(got, line)
		}
	}
	require.Equal(t, want, got)
}

func TestDefinitionsAreSortedUniqueAndComplete(t *testing.T) {
	previous := Code(0)
	names := map[string]bool{}
	for _, definition := range Definitions() {
		require.Greater(t, definition.Code, previous)
		require.False(t, names[definition.Name], definition.Name)
		require.NotEmpty(t, definition.Meaning)
		require.NotEmpty(t, definition.Fix)
		require.Contains(t, []Execution{Done, NotRun, Unknown}, definition.Execution)
		previous, names[definition.Name] = definition.Code, true
	}
	require.Equal(t, Unknown, Lookup(12345).Execution, "an undefined code must not guarantee anything about execution")
}

func TestErrorKeepsCauseAndCode(t *testing.T) {
	cause := errors.New("connection reset")
	err := fmt.Errorf("outer: %w", Wrap(AnswerLost, cause, "await response").WithField("f"))
	require.True(t, Is(err, AnswerLost))
	require.ErrorIs(t, err, cause)
	require.Equal(t, "3001 answer_lost: await response: connection reset (field f)", From(err).Error())
	require.Equal(t, Internal, From(cause).Code)
}
