package network

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRequestIsCompleteOnlyWithItsLastByte(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nA: \r\r\nContent-Length: 9\r\n\r\n"
	for name, test := range map[string]struct {
		request    string
		bodyLength int64
	}{
		"no body":               {head, 0},
		"body like a head":      {head + "\r\n\r\n\r\n\r\n\r", 9},
		"body with line breaks": {head + "a\r\n\r\nb\r\nc", 9},
	} {
		for _, partBytes := range []int{1, 3, len(test.request)} {
			sent := sentRequest{bodyLength: test.bodyLength}
			for at := 0; at < len(test.request); at += partBytes {
				require.False(t, sent.complete(), "%s after %d bytes", name, at)
				sent.accept([]byte(test.request[at:min(at+partBytes, len(test.request))]))
			}
			require.True(t, sent.complete(), name)
		}
	}
}

func TestBodyOfUnknownLengthEndsAfterItWasBuffered(t *testing.T) {
	sent := sentRequest{bodyLength: unknownLength}
	sent.accept([]byte("POST / HTTP/1.1\r\n\r\n5\r\n0\r\n\r\n\r\n"))
	require.False(t, sent.complete(), "the last chunk is not sent, though the data resembles it")
	sent.bodyBuffered = true
	require.False(t, sent.complete())
	sent.accept([]byte("0\r\n\r\n"))
	require.True(t, sent.complete())
}
