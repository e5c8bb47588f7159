package command

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/emulator"
)

// run executes a command line and returns its exit code and outputs.
func run(arguments ...string) (code int, output, errorOutput string) {
	var outputBuffer, errorBuffer bytes.Buffer
	code = Run(arguments, &outputBuffer, &errorBuffer)
	return code, outputBuffer.String(), errorBuffer.String()
}

func TestConfigCommands(t *testing.T) {
	server := httptest.NewServer(emulator.NewPlatform(0, 0, 1).Handler())
	defer server.Close()
	log := strings.TrimPrefix(server.URL, "http://")

	code, output, _ := run("config", "validate", "../../examples")
	require.Equal(t, ExitOK, code)
	require.Contains(t, output, "2 tenants")
	code, output, _ = run("config", "publish", "../../examples", "--log", log, "--base", "0", "--author", "awa", "--message", "first")
	require.Equal(t, ExitOK, code)
	require.Contains(t, output, "revision 1")
	code, _, errorOutput := run("config", "publish", "../../examples", "--log", log, "--base", "0")
	require.Equal(t, ExitConflict, code)
	require.Contains(t, errorOutput, "awa")
	code, output, _ = run("config", "diff", "../../examples", "--log", log)
	require.Equal(t, ExitOK, code)
	require.Contains(t, output, "0 differences")
	code, output, _ = run("config", "history", "--log", log, "--output", "json")
	require.Equal(t, ExitOK, code)
	require.Contains(t, output, `"author":"awa"`)
	code, output, _ = run("config", "render", "../../examples", "--output", "json")
	require.Equal(t, ExitOK, code)
	require.Contains(t, output, `"fraud-scorer"`)
}

func TestExitCodesAndMessages(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "bad.yaml")
	require.NoError(t, os.WriteFile(invalid, []byte("kind: Tenant\nname: shop\nspecs: {}\n"), 0o600))
	settings := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, os.WriteFile(settings, []byte("name: a\nzone: z\nlog_address: here\nmachines_address: 127.0.0.1:1\n"), 0o600))
	cases := []struct {
		code      int
		arguments []string
		message   string
	}{
		{ExitInvalid, []string{"config", "validate", invalid}, `bad.yaml:3: specs: unknown field; did you mean "spec"?`},
		{ExitUsage, []string{"config", "validate"}, "accepts 1 arg"},
		{ExitUsage, []string{"status", "--colour"}, "unknown flag"},
		{ExitUsage, []string{"status", "--output", "xml"}, "use table or json"},
		{ExitUsage, []string{"config", "publish", "../../examples", "--log", "127.0.0.1:1", "--base", "x"}, "write a number"},
		{ExitUsage, []string{"serve", "--settings", settings}, "log_address"},
		{ExitUsage, []string{"serve", "--name", "a"}, "zone"},
		{ExitUnreachable, []string{"status", "--admin", "127.0.0.1:1"}, "127.0.0.1:1"},
		{ExitUnreachable, []string{"config", "history", "--log", "127.0.0.1:1"}, "log_unavailable"},
		{ExitFailure, []string{"nonsense"}, "unknown command"},
	}
	for _, test := range cases {
		t.Run(strings.Join(test.arguments, " "), func(t *testing.T) {
			code, _, errorOutput := run(test.arguments...)
			require.Equal(t, test.code, code, errorOutput)
			require.Contains(t, errorOutput, test.message)
		})
	}
}

func TestEveryCommandHasAnExample(t *testing.T) {
	for _, command := range newRoot().Commands() {
		require.NotEmpty(t, command.Example, command.Name())
		for _, sub := range command.Commands() {
			require.NotEmpty(t, sub.Example, sub.Name())
		}
	}
}

func TestExplainPrintsOutcomeAndRejectsInvalidInput(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.log")
	line := `{"time":"2026-05-01T10:00:00Z","msg":"request_served","node":"a","event":509,"request_id":"r","status":200,"attempts":1,"back_end":"s","took_ms":7}`
	require.NoError(t, os.WriteFile(path, []byte(line+"\n"), 0o600))
	var output, errorOutput strings.Builder
	require.Equal(t, ExitOK, Run([]string{"explain", "r", path}, &output, &errorOutput))
	require.Contains(t, output.String(), "outcome: answered with status 200 by s on a")
	for _, arguments := range [][]string{{"explain", "r"}, {"explain", "r", "/does/not/exist"}} {
		errorOutput.Reset()
		require.Equal(t, ExitUsage, Run(arguments, &output, &errorOutput))
		require.Contains(t, errorOutput.String(), "explain")
	}
	require.NoError(t, os.WriteFile(path, []byte("text\n"), 0o600))
	require.Equal(t, ExitUsage, Run([]string{"explain", "r", path}, &output, &errorOutput))
	require.Contains(t, errorOutput.String(), "no log lines of a node")
}
