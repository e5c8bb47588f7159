package config

import (
	"fmt"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var durationType = reflect.TypeFor[time.Duration]()

var placeholderPattern = regexp.MustCompile(`^\$\{([a-z][a-z0-9_]*)\}$`)

// fieldChecker compares a YAML tree with the Go type that it is decoded into. It reports
// unknown and repeated fields with their line, and records the line of each field so that
// problems found later in the merged value can be located too.
type fieldChecker struct {
	file string
	// lines holds the line of each field by path.
	lines    map[string]int
	problems Problems
}

func newFieldChecker(file string) *fieldChecker {
	return &fieldChecker{file: file, lines: make(map[string]int)}
}

// check checks a node against its target type and records the lines of its fields.
func (c *fieldChecker) check(node ast.Node, target reflect.Type, path string) {
	if node == nil {
		return
	}
	if path != "" {
		c.lines[path] = lineOf(node)
	}
	switch {
	case isPlaceholder(node):
		return
	case target.Kind() == reflect.Struct:
		c.checkStruct(node, target, path)
	case target.Kind() == reflect.Slice:
		c.checkSequence(node, target, path)
	}
}

// isPlaceholder reports whether a node is a scalar of the form "${name}".
func isPlaceholder(node ast.Node) bool {
	text, ok := node.(*ast.StringNode)
	return ok && placeholderPattern.MatchString(text.Value)
}

func (c *fieldChecker) checkStruct(node ast.Node, target reflect.Type, path string) {
	entries, ok := mappingEntries(node)
	if !ok {
		c.addProblem(node, path, "expected a mapping, found "+strings.ToLower(node.Type().String()), "write its fields indented below it")
		return
	}
	fields := yamlFields(target)
	seen := make(map[string]bool, len(entries))
	for _, entry := range entries {
		name := entry.Key.GetToken().Value
		fieldPath := joinPath(path, name)
		fieldType, known := fields[name]
		switch {
		case !known:
			c.addProblem(entry.Key, fieldPath, "unknown field", suggestField(name, fields))
		case seen[name]:
			c.addProblem(entry.Key, fieldPath, "field is set twice", "remove one of the two")
		default:
			c.check(entry.Value, fieldType, fieldPath)
			c.lines[fieldPath] = lineOf(entry.Key)
		}
		seen[name] = true
	}
}

func (c *fieldChecker) checkSequence(node ast.Node, target reflect.Type, path string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		c.addProblem(node, path, "expected a list, found "+strings.ToLower(node.Type().String()), "start each item with a dash")
		return
	}
	for i, item := range sequence.Values {
		c.check(item, target.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (c *fieldChecker) addProblem(node ast.Node, path, message, fix string) {
	c.problems = append(c.problems, &Problem{
		File: c.file, Line: lineOf(node), Field: path, Message: message, Fix: fix,
	})
}

// mappingEntries returns the entries of a mapping, none for null, and false for other nodes.
func mappingEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch typed := node.(type) {
	case *ast.MappingNode:
		return typed.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{typed}, true
	case *ast.NullNode:
		return nil, true
	default:
		return nil, false
	}
}

// lineOf returns the line of a node, which for a mapping is that of its first key; 0 if it is
// not known.
func lineOf(node ast.Node) int {
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		return lineOf(mapping.Values[0].Key)
	}
	if token := node.GetToken(); token != nil {
		return token.Position.Line
	}
	return 0
}

// yamlFields returns the types of the fields of a struct by YAML name.
func yamlFields(target reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, target.NumField())
	for i := range target.NumField() {
		field := target.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = field.Type
		}
	}
	return fields
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// suggestField returns a hint with the most similar known field, or with all known fields if
// none is similar.
func suggestField(name string, fields map[string]reflect.Type) string {
	closest, minDistance := "", len(name)/2+1
	for candidate := range fields {
		distance := editDistance(name, candidate)
		if distance < minDistance || distance == minDistance && candidate < closest {
			closest, minDistance = candidate, distance
		}
	}
	if closest != "" {
		return fmt.Sprintf("did you mean %q?", closest)
	}
	return "known fields are " + strings.Join(sortedKeys(fields), ", ")
}

// editDistance returns the Levenshtein distance of two strings, counted in bytes.
func editDistance(a, b string) int {
	previous := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := 1; i <= len(a); i++ {
		current := make([]int, len(b)+1)
		current[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			current[j] = min(previous[j]+1, current[j-1]+1, previous[j-1]+cost)
		}
		previous = current
	}
	return previous[len(b)]
}
