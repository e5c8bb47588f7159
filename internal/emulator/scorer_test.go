package emulator

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/client"
)

func TestScorerAnswersForTheSlotOfTheSample(t *testing.T) {
	server := httptest.NewServer(Scorer{})
	defer server.Close()
	score := NewScoreFunc(strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, score(context.Background(), &client.Sample{Slot: 3, Tokens: []string{"a"}}))
	server.Close()
	require.Error(t, score(context.Background(), &client.Sample{Slot: 3}))
}
