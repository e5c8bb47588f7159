package fanout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLateReaderIsAskedLater(t *testing.T) {
	readers := []Node{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	var late LateReaders
	now := time.Now()
	require.Equal(t, readers, late.Apply(readers, now))
	late.RecordLate(now)
	require.Equal(t, []Node{{Name: "b"}, {Name: "c"}, {Name: "a"}}, late.Apply(readers, now))
	late.RecordLate(now)
	late.RecordLate(now)
	require.Equal(t, readers, late.Apply(readers, now), "all of them are late")
	late.RecordLate(now)
	require.Equal(t, readers, late.Apply(readers, now.Add(lateReaderMemory+1)))
	require.Empty(t, late.Apply(nil, now))
}
