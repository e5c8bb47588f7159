package event

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// stuckOutput takes nothing until it is released.
type stuckOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (o *stuckOutput) Write(content []byte) (int, error) {
	<-o.release
	return o.Buffer.Write(content)
}

func TestBoundedWriterNeverBlocksAndTellsWhatItDropped(t *testing.T) {
	output := &stuckOutput{release: make(chan struct{})}
	writer := NewBoundedWriter(output)
	const lines = 3 * queuedLines
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
