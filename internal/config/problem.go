package config

import (
	"fmt"
	"strings"
)

// Problem is one fault in a declaration.
type Problem struct {
	// File and Line are the location of the fault; empty and 0 if it has no single location.
	File string
	Line int
	// Field is the path of the field, such as "spec.routes[0].deadline".
	Field string
	// Message describes the fault and Fix how to correct it; Fix may be empty.
	Message string
	Fix     string
}

// Error implements error as "file:line: field: message; fix".
func (p *Problem) Error() string {
	var text strings.Builder
	if p.File != "" {
		fmt.Fprintf(&text, "%s:%d: ", p.File, p.Line)
	}
	if p.Field != "" {
		fmt.Fprintf(&text, "%s: ", p.Field)
	}
	text.WriteString(p.Message)
	if p.Fix != "" {
		text.WriteString("; " + p.Fix)
	}
	return text.String()
}

// Problems is a list of faults that are reported together.
type Problems []*Problem

// Error implements error with one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// asError returns the list as an error, and an untyped nil for an empty list, so that callers
// can compare the error with nil.
func (p Problems) asError() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
