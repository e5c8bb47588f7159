package knownfailures

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Actions of `go test -json` events.
const (
	actionStart       = "start"
	actionRun         = "run"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
	actionOutput      = "output"
	actionBuildOutput = "build-output"
)

// testEvent is one line of `go test -json` output.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testID identifies a test, or a package if test is empty.
type testID struct{ pkg, test string }

// Verdict is the result of evaluating a test run.
type Verdict struct {
	// Passed counts the tests that passed, subtests included.
	Passed int
	// Known holds the entries whose tests failed as listed.
	Known []Entry
	// Unlisted holds the failed tests and packages that are not on the list.
	Unlisted []string
	// Fixed holds the entries whose tests passed.
	Fixed []Entry
	// Missing holds the entries whose tests were skipped or did not run.
	Missing []Entry
}

// OK reports whether at least one test passed and the failures are exactly those on the list.
func (v *Verdict) OK() bool {
	return v.Passed > 0 && len(v.Unlisted) == 0 && len(v.Fixed) == 0 && len(v.Missing) == 0
}

// testRun accumulates the events of a test run.
type testRun struct {
	// results maps each test and package to its final action, empty until it has ended.
	results map[testID]string
	// output maps each test and package to its output; that of passed and skipped ones is
	// discarded.
	output map[testID][]string
}

// Evaluate reads the output of `go test -json` and compares it with the list. It writes a
// summary line for each package, and the output of each failed test, to output. Packages
// of entries are relative to module.
func Evaluate(input io.Reader, output io.Writer, module string, entries []Entry) (*Verdict, error) {
	run := &testRun{results: make(map[testID]string), output: make(map[testID][]string)}
	scanner := bufio.NewScanner(input)
	const maxLineBytes = 16 << 20
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var event testEvent
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			// Lines that are not events come from the Go toolchain.
			fmt.Fprintln(output, scanner.Text())
			continue
		}
		run.record(event, output)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read test events")
	}
	return run.evaluate(output, module, entries), nil
}

// record applies an event and writes package summaries and build output.
func (r *testRun) record(event testEvent, output io.Writer) {
	id := testID{event.Package, event.Test}
	switch event.Action {
	case actionStart, actionRun:
		r.results[id] = ""
	case actionPass, actionFail, actionSkip:
		r.results[id] = event.Action
		if event.Action != actionFail {
			delete(r.output, id)
		}
	case actionOutput:
		r.output[id] = append(r.output[id], event.Output)
		if event.Test == "" && isSummary(event.Output) {
			fmt.Fprint(output, event.Output)
		}
	case actionBuildOutput:
		fmt.Fprint(output, event.Output)
	}
}

// isSummary reports whether a line of package output states the package's result.
func isSummary(line string) bool {
	return strings.HasPrefix(line, "ok  \t") || strings.HasPrefix(line, "FAIL\t") || strings.HasPrefix(line, "---")
}

func (r *testRun) evaluate(output io.Writer, module string, entries []Entry) *Verdict {
	verdict := &Verdict{}
	knownFailures := make(map[testID]bool)
	for _, entry := range entries {
		id := testID{module + "/" + entry.Package, entry.Test}
		result, ran := r.results[id]
		switch {
		case !ran || result == actionSkip:
			verdict.Missing = append(verdict.Missing, entry)
		case result == actionPass:
			verdict.Fixed = append(verdict.Fixed, entry)
		default:
			verdict.Known = append(verdict.Known, entry)
			knownFailures[id] = true
		}
	}
	for _, id := range r.sortedIDs() {
		switch result := r.results[id]; {
		case result == actionPass && id.test != "":
			verdict.Passed++
		case result == actionPass || result == actionSkip:
		case r.failedByItself(id, knownFailures):
			verdict.Unlisted = append(verdict.Unlisted, strings.TrimSpace(id.pkg+" "+id.test))
			r.print(output, id)
		case knownFailures[id]:
			r.print(output, id)
		}
	}
	return verdict
}

// failedByItself reports whether an unlisted test or package failed without a failed
// descendant: a package fails if one of its tests does, and a test if one of its subtests
// does. A further fault of a package whose listed test fails cannot be distinguished.
func (r *testRun) failedByItself(id testID, knownFailures map[testID]bool) bool {
	if knownFailures[id] {
		return false
	}
	descendantFailed := false
	for other, result := range r.results {
		if other.pkg != id.pkg || other == id || !isDescendant(other.test, id.test) || result == actionPass || result == actionSkip {
			continue
		}
		descendantFailed = true
	}
	return !descendantFailed
}

// isDescendant reports whether a test is a subtest of parent. An empty parent stands for the
// package, which contains every test.
func isDescendant(test, parent string) bool {
	return parent == "" || strings.HasPrefix(test, parent+"/")
}

func (r *testRun) sortedIDs() []testID {
	ids := make([]testID, 0, len(r.results))
	for id := range r.results {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b testID) int {
		return strings.Compare(a.pkg+" "+a.test, b.pkg+" "+b.test)
	})
	return ids
}

func (r *testRun) print(output io.Writer, id testID) {
	for _, line := range r.output[id] {
		fmt.Fprint(output, line)
	}
}

// Print writes the verdict. The last line has the number of passed and failed tests.
func (v *Verdict) Print(output io.Writer) {
	for _, entry := range v.Known {
		fmt.Fprintf(output, "KNOWN RED: %s %s (%s; %s)\n", entry.Package, entry.Test, entry.Cause, entry.Issue)
	}
	for _, entry := range v.Fixed {
		fmt.Fprintf(output, "MENDED: %s %s passes: remove it from the list\n", entry.Package, entry.Test)
	}
	for _, entry := range v.Missing {
		fmt.Fprintf(output, "MISSING: %s %s is on the list but did not run\n", entry.Package, entry.Test)
	}
	for _, name := range v.Unlisted {
		fmt.Fprintln(output, "FAILED:", name)
	}
	fmt.Fprintf(output, "%d passed, %d failed\n", v.Passed, len(v.Known)+len(v.Unlisted))
}
