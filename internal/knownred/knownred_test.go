package knownred

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const module = "example.org/m"

// events returns lines of `go test -json` from "ACTION PACKAGE TEST".
func events(lines ...string) string {
	var text strings.Builder
	for _, line := range lines {
		fields := append(strings.Fields(line), "")
		fmt.Fprintf(&text, `{"Action":%q,"Package":%q,"Test":%q}`+"\n", fields[0], module+"/"+fields[1], fields[2])
	}
	return text.String()
}

var listed = []Entry{{Package: "a", Test: "TestRed/one", Cause: "cause", Issue: "issue"}}

func judged(t *testing.T, entries []Entry, lines ...string) (*Verdict, string) {
	t.Helper()
	var output strings.Builder
	verdict, err := Judge(strings.NewReader(events(lines...)), &output, module, entries)
	require.NoError(t, err)
	verdict.Print(&output)
	return verdict, output.String()
}

func TestListedFailureIsPrintedAndPasses(t *testing.T) {
	verdict, output := judged(t, listed,
		"run a TestRed", "run a TestRed/one", "fail a TestRed/one", "fail a TestRed", "run a TestGreen", "pass a TestGreen", "fail a")
	require.True(t, verdict.OK(), output)
	require.Contains(t, output, "KNOWN RED: a TestRed/one (cause; issue)")
	require.True(t, strings.HasSuffix(output, "1 passed, 1 failed\n"), output)
}

func TestAnythingElseFails(t *testing.T) {
	green := "pass a TestGreen"
	cases := map[string][]string{
		"another test":               {green, "fail a TestRed/one", "fail a TestRed", "fail a TestOther", "fail a"},
		"another subtest":            {green, "fail a TestRed/one", "fail a TestRed/two", "fail a TestRed", "fail a"},
		"the same name elsewhere":    {green, "fail a TestRed/one", "fail a TestRed", "fail a", "fail b TestRed/one", "fail b TestRed", "fail b"},
		"a package without a test":   {green, "fail a TestRed/one", "fail a TestRed", "fail a", "fail b"},
		"a test that did not end":    {green, "fail a TestRed/one", "fail a TestRed", "run a TestHangs", "fail a"},
		"a package that did not end": {green, "fail a TestRed/one", "fail a TestRed", "fail a", "start b"},
		"a listed test that passes":  {green, "pass a TestRed/one", "pass a TestRed", "pass a"},
		"a listed test not run":      {green, "pass a"},
		"a listed test skipped":      {green, "skip a TestRed/one", "pass a TestRed", "pass a"},
		"no test that passes":        {"fail a TestRed/one", "fail a TestRed", "fail a"},
	}
	for name, lines := range cases {
		t.Run(name, func(t *testing.T) {
			verdict, output := judged(t, listed, lines...)
			require.False(t, verdict.OK(), output)
		})
	}
}

func TestRunWithoutAListIsJudgedAlike(t *testing.T) {
	verdict, _ := judged(t, nil, "pass a TestGreen", "pass a")
	require.True(t, verdict.OK())
	verdict, _ = judged(t, nil, "pass a TestGreen", "fail a TestRed", "fail a")
	require.Equal(t, []string{module + "/a TestRed"}, verdict.Unlisted)
}

func TestListNamesItsFaults(t *testing.T) {
	entries, err := Parse(strings.NewReader("# known\n\na TestRed/one | cause | issue\n"))
	require.NoError(t, err)
	require.Equal(t, listed, entries)
	for _, line := range []string{"a TestRed", "a | cause | issue", "a TestRed |  | issue", "a TestRed | cause | "} {
		_, err := Parse(strings.NewReader("# first\n" + line))
		require.ErrorContains(t, err, "line 2", line)
	}
	_, err = Parse(strings.NewReader(strings.Repeat("a TestRed | cause | issue\n", MostEntries+1)))
	require.ErrorContains(t, err, "at most 3")
}
