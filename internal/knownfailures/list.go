package knownfailures

import (
	"bufio"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// Entry is one test that is known to fail.
type Entry struct {
	// Package is the import path of the test's package, relative to the module.
	Package string
	// Test is the full name of the test, subtests included.
	Test string
	// Cause describes the failure and how to reproduce it.
	Cause string
	// Issue is where the failure is tracked.
	Issue string
}

// MaxEntries is the largest number of known failures; with more, the build counts as broken.
const MaxEntries = 3

// An entry has entryFieldCount fields, separated by fieldSeparator: package and test, cause,
// issue.
const (
	entryFieldCount = 3
	fieldSeparator  = " | "
)

// Parse reads a list with one entry per line, "PACKAGE TEST | CAUSE | ISSUE". Empty lines
// and lines that begin with # are ignored.
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
	if len(entries) > MaxEntries {
		return nil, errors.Newf("%d known failures listed, at most %d allowed: fix one first", len(entries), MaxEntries)
	}
	return entries, nil
}

func parseEntry(line string) (Entry, error) {
	fields := strings.Split(line, fieldSeparator)
	if len(fields) != entryFieldCount {
		return Entry{}, errors.Newf("invalid entry: want PACKAGE TEST%sCAUSE%sISSUE", fieldSeparator, fieldSeparator)
	}
	path, test, found := strings.Cut(strings.TrimSpace(fields[0]), " ")
	entry := Entry{Package: path, Test: strings.TrimSpace(test), Cause: strings.TrimSpace(fields[1]), Issue: strings.TrimSpace(fields[2])}
	switch {
	case !found || entry.Test == "":
		return Entry{}, errors.New("invalid entry: want a package and a test, separated by a space")
	case entry.Cause == "":
		return Entry{}, errors.New("invalid entry: missing cause")
	case entry.Issue == "":
		return Entry{}, errors.New("invalid entry: missing issue")
	}
	return entry, nil
}
