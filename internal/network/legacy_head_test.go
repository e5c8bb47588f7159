package network

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTransferEncodingIsFoundOnlyInHeadsOfHTTP10(t *testing.T) {
	for response, malformed := range map[string]bool{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":             true,
		"HTTP/1.0 200 OK\nA: b\ntransfer-encoding:chunked\n\n":              true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":             false,
		"HTTP/1.0 200 OK\r\nA: Transfer-Encoding: chunked\r\n\r\n":          false,
		"HTTP/1.0 200 OK\r\nA: b\r\n\r\nTransfer-Encoding: chunked\r\n\r\n": false,
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.0 200 OK\r\nA: b\r\n\r\nbody\r\n": false,
	} {
		for _, partBytes := range []int{1, 5, len(response)} {
			var head legacyHead
			var err error
			for at := 0; at < len(response) && err == nil; at += partBytes {
				err = head.check([]byte(response[at:min(at+partBytes, len(response))]))
			}
			require.Equal(t, malformed, err != nil, "%q in parts of %d bytes", response, partBytes)
		}
	}
}
