package publish

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/emulator"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/result"
)

// documentWith returns a configuration with one tenant of the given request rate.
func documentWith(t *testing.T, rate string) *config.Document {
	t.Helper()
	content := "kind: Tenant\nname: shop\nspec:\n  capacity: {requests_per_second: " + rate + "}\n"
	document, err := config.ParseDeclarations("shop.yaml", []byte(content))
	require.NoError(t, err)
	return document
}

// startLog starts an emulated platform and returns it with a client of its log.
func startLog(t *testing.T) (*emulator.Platform, *logstore.Client) {
	t.Helper()
	platform := emulator.NewPlatform(0, 0, 1)
	server := httptest.NewServer(platform.Handler())
	client := logstore.NewClient(network.TCP{}, strings.TrimPrefix(server.URL, "http://"))
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return platform, client
}

func TestPublishConflictReportsWinnerAndChanges(t *testing.T) {
	_, log := startLog(t)
	ctx := context.Background()
	published, err := Publish(ctx, log, PublishRequest{Document: documentWith(t, "10"), Author: "awa", Message: "first"})
	require.NoError(t, err)
	require.Equal(t, uint64(1), published.Number)
	_, err = Publish(ctx, log, PublishRequest{Document: documentWith(t, "20"), Author: "ben"})
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.True(t, result.Is(err, result.ConfigConflict))
	require.Equal(t, "awa", conflict.Current.Author)
	require.Equal(t, []config.Change{{Path: "tenants.shop.spec.capacity.requests_per_second", Before: "20", After: "10"}}, conflict.Changes)
}

func TestPublishTakesEffectOnceIfAppendResponsesAreLost(t *testing.T) {
	platform, log := startLog(t)
	platform.SetFaults(emulator.PlatformFaults{LoseAppendAnswers: true})
	restore := time.AfterFunc(300*time.Millisecond, func() { platform.SetFaults(emulator.PlatformFaults{}) })
	defer restore.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	revision, err := Publish(ctx, log, PublishRequest{Document: documentWith(t, "10"), Author: "awa"})
	require.NoError(t, err)
	require.Equal(t, uint64(1), revision.Number)
	require.Greater(t, len(platform.Records(logstore.ControlStream)), 1, "the record must have been appended more than once")
	machine, err := Load(ctx, log)
	require.NoError(t, err)
	require.Len(t, machine.History(), 1)
}

func TestUnreachableLogIsReportedByResultCode(t *testing.T) {
	platform, log := startLog(t)
	platform.SetFaults(emulator.PlatformFaults{LogDown: true})
	_, err := Load(context.Background(), log)
	require.True(t, result.Is(err, result.LogUnavailable))
	_, err = log.Append(context.Background(), logstore.ControlStream, []byte("x"))
	require.True(t, result.Is(err, result.LogUnavailable), "a refused append must guarantee that nothing was appended")
	platform.SetFaults(emulator.PlatformFaults{LoseAppendAnswers: true})
	_, err = log.Append(context.Background(), logstore.ControlStream, []byte("x"))
	require.True(t, result.Is(err, result.LogUnknown))
	require.False(t, errors.Is(err, context.DeadlineExceeded))
}
