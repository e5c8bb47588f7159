// Package explain tells the story of one request, batch job or item from the
// nodes' log lines: what happened to it, in time order, what the nodes believed
// meanwhile, and a verdict of the cause.
//
// The package is pure but for reading lines.
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
	// Fields are the attributes of the line beside those above.
	Fields Fields
}

// Fields are attributes of a line by name.
type Fields map[string]any

// Text returns an attribute that is a text, empty if there is none.
func (f Fields) Text(name string) string {
	text, _ := f[name].(string)
	return text
}

// Count returns an attribute that is a number, 0 if there is none.
func (f Fields) Count(name string) int {
	number, _ := f[name].(float64)
	return int(number)
}

// Flag returns an attribute that is true or false, false if there is none.
func (f Fields) Flag(name string) bool {
	flag, _ := f[name].(bool)
	return flag
}

// maxLineBytes bounds one line.
const maxLineBytes = 1 << 20

// Read reads the lines of one log. What stands before the first brace of a line is
// passed over, so output that a supervisor prefixed can be read too. skipped
// counts the lines that are no log lines of a node.
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

// Names of the attributes that every line carries.
const (
	fieldTime  = "time"
	fieldLevel = "level"
	fieldName  = "msg"
	fieldNode  = "node"
	fieldEvent = "event"
)

func parse(raw []byte) (Line, bool) {
	brace := bytes.IndexByte(raw, '{')
	if brace < 0 {
		return Line{}, false
	}
	var fields Fields
	if json.Unmarshal(raw[brace:], &fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, fields.Text(fieldTime))
	if err != nil || fields.Count(fieldEvent) == 0 {
		return Line{}, false
	}
	line := Line{
		Time: at, Node: fields.Text(fieldNode), Number: event.Number(fields.Count(fieldEvent)),
		Name: fields.Text(fieldName), Fields: fields,
	}
	for _, known := range []string{fieldTime, fieldLevel, fieldName, fieldNode, fieldEvent} {
		delete(fields, known)
	}
	return line, true
}
