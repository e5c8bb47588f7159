package knownfailures

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const module = "example.org/m"

// encodeEvents returns `go test -json` output for lines of the form "ACTION PACKAGE TEST".
func encodeEvents(lines ...string) string {
	var text strings.Builder
	for _, line := range lines {
		fields := append(strings.Fields(line), "")
		fmt.Fprintf(&text, `{"Action":%q,"Package":%q,"Test":%q}`+"\n", fields[0], module+"/"+fields[1], fields[2])
	}
	return text.String()
}

var knownEntries = []Entry{{Package: "a", Test: "TestRed/one", Cause: "cause", Issue: "issue"}}

// evaluate returns the verdict on a run, and all that was printed.
func evaluate(t *testing.T, entries []Entry, lines ...string) (*Verdict, string) {
	t.Helper()
	var output strings.Builder
	verdict, err := Evaluate(strings.NewReader(encodeEvents(lines...)), &output, module, entries)
	require.NoError(t, err)
	verdict.Print(&output)
	return verdict, output.String()
}

func TestKnownFailureIsPrintedAndDoesNotFailRun(t *testing.T) {
	verdict, output := evaluate(t, knownEntries,
		"run a TestRed", "run a TestRed/one", "fail a TestRed/one", "fail a TestRed", "run a TestGreen", "pass a TestGreen", "fail a")
	require.True(t, verdict.OK(), output)
	require.Contains(t, output, "KNOWN RED: a TestRed/one (cause; issue)")
	require.True(t, strings.HasSuffix(output, "1 passed, 1 failed\n"), output)
}

func TestOtherOutcomesFailRun(t *testing.T) {
	passing := "pass a TestGreen"
	cases := map[string][]string{
		"another test":               {passing, "fail a TestRed/one", "fail a TestRed", "fail a TestOther", "fail a"},
		"another subtest":            {passing, "fail a TestRed/one", "fail a TestRed/two", "fail a TestRed", "fail a"},
		"the same name elsewhere":    {passing, "fail a TestRed/one", "fail a TestRed", "fail a", "fail b TestRed/one", "fail b TestRed", "fail b"},
		"a package without a test":   {passing, "fail a TestRed/one", "fail a TestRed", "fail a", "fail b"},
		"a test that did not end":    {passing, "fail a TestRed/one", "fail a TestRed", "run a TestHangs", "fail a"},
		"a package that did not end": {passing, "fail a TestRed/one", "fail a TestRed", "fail a", "start b"},
		"a listed test that passes":  {passing, "pass a TestRed/one", "pass a TestRed", "pass a"},
		"a listed test not run":      {passing, "pass a"},
		"a listed test skipped":      {passing, "skip a TestRed/one", "pass a TestRed", "pass a"},
		"no test that passes":        {"fail a TestRed/one", "fail a TestRed", "fail a"},
	}
	for name, lines := range cases {
		t.Run(name, func(t *testing.T) {
			verdict, output := evaluate(t, knownEntries, lines...)
			require.False(t, verdict.OK(), output)
		})
	}
}

func TestEvaluateWithoutKnownFailures(t *testing.T) {
	verdict, _ := evaluate(t, nil, "pass a TestGreen", "pass a")
	require.True(t, verdict.OK())
	verdict, _ = evaluate(t, nil, "pass a TestGreen", "fail a TestRed", "fail a")
	require.Equal(t, []string{module + "/a TestRed"}, verdict.Unlisted)
}

func TestParseReportsInvalidLines(t *testing.T) {
	entries, err := Parse(strings.NewReader("# known\n\na TestRed/one | cause | issue\n"))
	require.NoError(t, err)
	require.Equal(t, knownEntries, entries)
	for _, line := range []string{"a TestRed", "a | cause | issue", "a TestRed |  | issue", "a TestRed | cause | "} {
		_, err := Parse(strings.NewReader("# first\n" + line))
		require.ErrorContains(t, err, "line 2", line)
	}
	_, err = Parse(strings.NewReader(strings.Repeat("a TestRed | cause | issue\n", MaxEntries+1)))
	require.ErrorContains(t, err, "at most 3")
}
