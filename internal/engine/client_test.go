package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/result"
)

// serve starts an engine that answers every request with handler, and returns a client
// and the engine's address.
func serve(t testing.TB, handler http.HandlerFunc) (*Client, string) {
	t.Helper()
	server := httptest.NewServer(handler)
	client := NewClient(network.TCP{})
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, strings.TrimPrefix(server.URL, "http://")
}

func streamEvents(events ...string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		for _, event := range events {
			fmt.Fprintf(writer, "data: %s\n\n", event)
		}
	}
}

func encodeChunk(id string, first int, version uint64, finish string, tokens ...string) string {
	encoded, _ := json.Marshal(Chunk{RequestID: id, Model: "m", FirstIndex: first, Tokens: tokens, Version: version, FinishReason: finish})
	return string(encoded)
}

func generate(t *testing.T, handler http.HandlerFunc, resume ...string) ([]Chunk, error) {
	t.Helper()
	client, address := serve(t, handler)
	stream, err := client.Generate(context.Background(), address, GenerateRequest{RequestID: "r", Model: "m", ResumeTokens: resume})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var chunks []Chunk
	for {
		next, err := stream.Next()
		if err == io.EOF {
			return chunks, nil
		}
		if err != nil {
			return chunks, err
		}
		chunks = append(chunks, next)
	}
}

func TestCompleteStreamIsRead(t *testing.T) {
	chunks, err := generate(t, streamEvents(encodeChunk("r", 1, 3, "", "b"), encodeChunk("r", 2, 4, "stop", "c", "d"), "[DONE]"), "a")
	require.NoError(t, err)
	require.Len(t, chunks, 2)
	require.Equal(t, uint64(4), chunks[1].Version)
}

func TestInvalidStreamsAreErrors(t *testing.T) {
	cases := map[string]struct {
		events []string
		code   result.Code
	}{
		"another request":  {[]string{encodeChunk("other", 0, 3, "stop", "a"), "[DONE]"}, result.AnswerMismatch},
		"a gap":            {[]string{encodeChunk("r", 0, 3, "", "a"), encodeChunk("r", 2, 3, "stop", "c"), "[DONE]"}, result.AnswerMismatch},
		"repeated tokens":  {[]string{encodeChunk("r", 0, 3, "", "a"), encodeChunk("r", 0, 3, "stop", "a"), "[DONE]"}, result.AnswerMismatch},
		"no version":       {[]string{encodeChunk("r", 0, 0, "stop", "a"), "[DONE]"}, result.AnswerMismatch},
		"no end":           {[]string{encodeChunk("r", 0, 3, "", "a")}, result.AnswerTruncated},
		"no finish reason": {[]string{encodeChunk("r", 0, 3, "", "a"), "[DONE]"}, result.AnswerTruncated},
		"garbage":          {[]string{"{"}, result.AnswerTruncated},
		"an endless line":  {[]string{strings.Repeat("x", 2*maxChunkBytes)}, result.AnswerTooLarge},
		"endless comments": {[]string{encodeChunk("r", 0, 3, "", "a") + strings.Repeat("\n:", maxChunkBytes)}, result.AnswerTooLarge},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := generate(t, streamEvents(test.events...))
			require.True(t, result.Is(err, test.code), "%v", err)
		})
	}
}

func TestBusyAndStaleFenceErrors(t *testing.T) {
	_, err := generate(t, func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusServiceUnavailable) })
	require.ErrorIs(t, err, ErrBusy)
	client, address := serve(t, func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusConflict) })
	require.ErrorIs(t, client.SendOrder(context.Background(), address, Order{Fence: 1}), ErrStaleFence)
}

// BenchmarkStream reads chunks of eight tokens, as the node that owns a job does.
func BenchmarkStream(b *testing.B) {
	event := "data: " + encodeChunk("r", 0, 3, "", "token1", "token2", "token3", "token4", "token5", "token6", "token7", "token8") + "\n\n"
	client, address := serve(b, func(writer http.ResponseWriter, request *http.Request) {
		for request.Context().Err() == nil {
			if _, err := io.WriteString(writer, event); err != nil {
				return
			}
		}
	})
	stream, err := client.Generate(context.Background(), address, GenerateRequest{RequestID: "r", Model: "m"})
	require.NoError(b, err)
	defer stream.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := stream.Next(); err != nil {
			b.Fatal(err)
		}
		stream.nextIndex = 0
	}
}
