// Package knownfailures evaluates a test run against a list of tests that are known to fail.
//
// The list is a text file. Listed tests run like any other; their failures are printed but
// do not fail the run. A listed test that passes does fail the run, so that entries are
// removed once the fault is fixed. Any failure that is not on the list fails the run, and
// so does a listed test that did not run.
package knownfailures
