package knownred

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Actions of the events that `go test -json` writes.
const (
	actionStart       = "start"
	actionRun         = "run"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
	actionOutput      = "output"
	actionBuildOutput = "build-output"
)

// testEvent is one line of `go test -json`.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// key names a test, or a package if test is empty.
type key struct{ pkg, test string }

// Verdict is what a run of the tests comes to.
type Verdict struct {
	Passed int
	// Known are entries that failed as listed, Unlisted the tests and packages that failed
	// besides, Mended the entries that passed, Missing those that did not run.
	Known    []Entry
	Unlisted []string
	Mended   []Entry
	Missing  []Entry
}

// OK reports whether the run is green but for the failures on the list.
func (v *Verdict) OK() bool {
	return v.Passed > 0 && len(v.Unlisted) == 0 && len(v.Mended) == 0 && len(v.Missing) == 0
}

// run is what was read of a run of the tests.
type run struct {
	// ends is how each test and package ended, empty while it has not.
	ends   map[key]string
	output map[key][]string
}

// Judge reads the output of `go test -json` and judges it. It prints a line for each
// package, and the output of all that failed.
func Judge(input io.Reader, output io.Writer, module string, entries []Entry) (*Verdict, error) {
	seen := &run{ends: make(map[key]string), output: make(map[key][]string)}
	scanner := bufio.NewScanner(input)
	const longestLine = 16 << 20
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		var event testEvent
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			// What is no event comes from the toolchain itself.
			fmt.Fprintln(output, scanner.Text())
			continue
		}
		seen.take(event, output)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read the events of the tests")
	}
	return seen.judge(output, module, entries), nil
}

func (r *run) take(event testEvent, output io.Writer) {
	name := key{event.Package, event.Test}
	switch event.Action {
	case actionStart, actionRun:
		r.ends[name] = ""
	case actionPass, actionFail, actionSkip:
		r.ends[name] = event.Action
		if event.Action != actionFail {
			delete(r.output, name)
		}
	case actionOutput:
		r.output[name] = append(r.output[name], event.Output)
		if event.Test == "" && isSummary(event.Output) {
			fmt.Fprint(output, event.Output)
		}
	case actionBuildOutput:
		fmt.Fprint(output, event.Output)
	}
}

// isSummary reports whether a line tells how a package ended.
func isSummary(line string) bool {
	return strings.HasPrefix(line, "ok  \t") || strings.HasPrefix(line, "FAIL\t") || strings.HasPrefix(line, "---")
}

func (r *run) judge(output io.Writer, module string, entries []Entry) *Verdict {
	verdict := &Verdict{}
	excused := make(map[key]bool)
	for _, entry := range entries {
		name := key{module + "/" + entry.Package, entry.Test}
		end, ran := r.ends[name]
		switch {
		case !ran || end == actionSkip:
			verdict.Missing = append(verdict.Missing, entry)
		case end == actionPass:
			verdict.Mended = append(verdict.Mended, entry)
		default:
			verdict.Known = append(verdict.Known, entry)
			excused[name] = true
		}
	}
	for _, name := range r.sorted() {
		switch end := r.ends[name]; {
		case end == actionPass && name.test != "":
			verdict.Passed++
		case end == actionPass || end == actionSkip:
		case r.failedForItself(name, excused):
			verdict.Unlisted = append(verdict.Unlisted, strings.TrimSpace(name.pkg+" "+name.test))
			r.print(output, name)
		case excused[name]:
			r.print(output, name)
		}
	}
	return verdict
}

// failedForItself reports whether a failure is more than the failures below it: a package
// fails if one of its tests does, a test if one of its subtests does. What else may be wrong
// with a package of which a listed test fails cannot be told.
func (r *run) failedForItself(name key, excused map[key]bool) bool {
	if excused[name] {
		return false
	}
	below := false
	for other, end := range r.ends {
		if other.pkg != name.pkg || other == name || !isBelow(other.test, name.test) || end == actionPass || end == actionSkip {
			continue
		}
		below = true
	}
	return !below
}

// isBelow reports whether a test belongs to another one, or to a package if that is empty.
func isBelow(test, parent string) bool {
	return parent == "" || strings.HasPrefix(test, parent+"/")
}

func (r *run) sorted() []key {
	names := make([]key, 0, len(r.ends))
	for name := range r.ends {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b key) int {
		return strings.Compare(a.pkg+" "+a.test, b.pkg+" "+b.test)
	})
	return names
}

func (r *run) print(output io.Writer, name key) {
	for _, line := range r.output[name] {
		fmt.Fprint(output, line)
	}
}

// Print writes the verdict. Its last line counts the tests as test runners do.
func (v *Verdict) Print(output io.Writer) {
	for _, entry := range v.Known {
		fmt.Fprintf(output, "KNOWN RED: %s %s (%s; %s)\n", entry.Package, entry.Test, entry.Cause, entry.Issue)
	}
	for _, entry := range v.Mended {
		fmt.Fprintf(output, "MENDED: %s %s passes: take its line off the list\n", entry.Package, entry.Test)
	}
	for _, entry := range v.Missing {
		fmt.Fprintf(output, "MISSING: %s %s is on the list and did not run\n", entry.Package, entry.Test)
	}
	for _, name := range v.Unlisted {
		fmt.Fprintln(output, "FAILED:", name)
	}
	fmt.Fprintf(output, "%d passed, %d failed\n", v.Passed, len(v.Known)+len(v.Unlisted))
}
