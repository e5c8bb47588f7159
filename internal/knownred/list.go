package knownred

import (
	"bufio"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// Entry is one test that is known to fail.
type Entry struct {
	// Package is the import path of the test's package, below the module's.
	Package string
	// Test is its full name, with the names of subtests.
	Test string
	// Cause says what was seen and how to see it again, Issue where it is tracked.
	Cause string
	Issue string
}

// MostEntries is how many tests may be known to fail at once: more are a broken build.
const MostEntries = 3

// entryFields are separated by fieldSeparator: package and test, cause, issue.
const (
	entryFields    = 3
	fieldSeparator = " | "
)

// Parse reads a list: a line for each entry, "PACKAGE TEST | CAUSE | ISSUE". Empty lines
// and those that begin with # are passed over.
func Parse(input io.Reader) ([]Entry, error) {
	var entries []Entry
	scanner := bufio.NewScanner(input)
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		entry, err := parseEntry(line)
		if err != nil {
			return nil, errors.Wrapf(err, "line %d", number)
		}
		entries = append(entries, entry)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read the list of known failures")
	}
	if len(entries) > MostEntries {
		return nil, errors.Newf("%d tests are known to fail, at most %d may: mend one", len(entries), MostEntries)
	}
	return entries, nil
}

func parseEntry(line string) (Entry, error) {
	fields := strings.Split(line, fieldSeparator)
	if len(fields) != entryFields {
		return Entry{}, errors.Newf("want PACKAGE TEST%sCAUSE%sISSUE", fieldSeparator, fieldSeparator)
	}
	path, test, found := strings.Cut(strings.TrimSpace(fields[0]), " ")
	entry := Entry{Package: path, Test: strings.TrimSpace(test), Cause: strings.TrimSpace(fields[1]), Issue: strings.TrimSpace(fields[2])}
	switch {
	case !found || entry.Test == "":
		return Entry{}, errors.New("want a package and a test, separated by a space")
	case entry.Cause == "":
		return Entry{}, errors.New("the cause is missing")
	case entry.Issue == "":
		return Entry{}, errors.New("the issue is missing")
	}
	return entry, nil
}
