// Package knownred judges a run of the tests by a list of tests that are known to fail.
//
// The list is a text file. A test on it is run like any other and its failure is printed,
// but does not fail the run; one that passes fails it, so that no line outlasts its fault.
// Any failure that is not on the list fails the run, and so does a listed test that did
// not run at all.
package knownred
