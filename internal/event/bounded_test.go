package event

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedOutput blocks each write until release is closed.
type blockedOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (o *blockedOutput) Write(content []byte) (int, error) {
	<-o.release
	return o.Buffer.Write(content)
}

func TestBoundedWriterNeverBlocksAndReportsDroppedLines(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{})}
	writer := NewBoundedWriter(output)
	const lines = 3 * maxQueuedLines
	for i := range lines {
		n, err := writer.Write(fmt.Appendf(nil, "line %d\n", i))
		require.NoError(t, err)
		require.Positive(t, n)
	}
	require.Positive(t, writer.Dropped())
	close(output.release)
	writer.Close()
	written := strings.Count(output.String(), "line ")
	require.EqualValues(t, lines, int64(written)+writer.Dropped())
	require.Contains(t, output.String(), `"event":808`)
	n, err := writer.Write([]byte("late\n"))
	require.NoError(t, err)
	require.Positive(t, n)
	writer.Close()
}
