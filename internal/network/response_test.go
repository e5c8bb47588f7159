package network

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestBodyIsReadCompletelyOrNotAtAll(t *testing.T) {
	const limit = 1000
	for _, length := range []int{0, 1, limit - 1, limit} {
		for _, body := range []io.Reader{
			strings.NewReader(strings.Repeat("x", length)), iotest.DataErrReader(iotest.OneByteReader(strings.NewReader(strings.Repeat("x", length)))),
		} {
			content, err := ReadBody(body, limit)
			require.NoError(t, err, "%d bytes", length)
			require.Len(t, content, length)
		}
	}
	content, err := ReadBody(strings.NewReader(strings.Repeat("x", limit+1)), limit)
	require.ErrorIs(t, err, ErrOversizedResponse)
	require.Len(t, content, limit)
	limited := LimitBody(iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 2*limit))), limit)
	read, err := io.Copy(io.Discard, limited)
	require.ErrorIs(t, err, ErrOversizedResponse)
	require.EqualValues(t, limit, read)
	_, err = limited.Read(make([]byte, 1))
	require.ErrorIs(t, err, ErrOversizedResponse, "a later read must not go on")
	_, err = ReadBody(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("xx"))), limit)
	require.ErrorIs(t, err, iotest.ErrTimeout)
}
