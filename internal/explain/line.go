// Package explain analyses the log lines of several nodes. It traces one request, batch
// job, item or reward call, with the lines that name it in time order, the state of the
// nodes involved, the outcome and its cause. It also computes from the lines how long
// each phase of a batch job took.
//
// Apart from reading log lines, the package performs no I/O and keeps no state.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pathbend/pathbend/internal/event"
)

// Line is one log line of a node.
type Line struct {
	Time   time.Time
	Node   string
	Number event.Number
	Name   string
	// Fields holds the remaining attributes of the line.
	Fields Fields
}

// Fields holds attributes of a log line by name.
type Fields map[string]any

// String returns a string attribute, empty if there is none.
func (f Fields) String(name string) string {
	value, _ := f[name].(string)
	return value
}

// Int returns a numeric attribute as an integer, 0 if there is none.
func (f Fields) Int(name string) int {
	value, _ := f[name].(float64)
	return int(value)
}

// Bool returns a boolean attribute, false if there is none.
func (f Fields) Bool(name string) bool {
	value, _ := f[name].(bool)
	return value
}

// maxLineBytes is the maximum length of a log line; a longer one fails the read.
const maxLineBytes = 1 << 20

// Read reads the log lines of one input. Text before the first brace of a line is
// ignored, so that output with prefixes of a supervisor can be read too. skipped is the
// number of lines that are not log lines of a node.
func Read(input io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "read log lines")
}

// Attributes that each log line has. They are removed from Line.Fields.
const (
	fieldTime    = "time"
	fieldLevel   = "level"
	fieldMessage = "msg"
	fieldNode    = "node"
	fieldEvent   = "event"
)

func parse(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields Fields
	if json.Unmarshal(raw[start:], &fields) != nil {
		return Line{}, false
	}
	timestamp, err := time.Parse(time.RFC3339Nano, fields.String(fieldTime))
	if err != nil || fields.Int(fieldEvent) == 0 {
		return Line{}, false
	}
	line := Line{
		Time: timestamp, Node: fields.String(fieldNode), Number: event.Number(fields.Int(fieldEvent)),
		Name: fields.String(fieldMessage), Fields: fields,
	}
	for _, name := range []string{fieldTime, fieldLevel, fieldMessage, fieldNode, fieldEvent} {
		delete(fields, name)
	}
	return line, true
}
