package config

import (
	"fmt"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	// Path names the field, such as "tenants.teranga.spec.routes.authorise.deadline".
	Path string `json:"path"`
	// Before and After are the rendered values; empty if absent.
	Before string `json:"before"`
	After  string `json:"after"`
}

// Diff lists the leaf fields in which two documents differ, ordered by path.
// Items of lists are matched by their name.
func Diff(before, after *Document) []Change {
	left, right := flatten(before), flatten(after)
	var changes []Change
	paths := make(map[string]bool)
	for path := range left {
		paths[path] = true
	}
	for path := range right {
		paths[path] = true
	}
	for _, path := range sortedKeys(paths) {
		if left[path] != right[path] {
			changes = append(changes, Change{Path: path, Before: left[path], After: right[path]})
		}
	}
	return changes
}

func flatten(document *Document) map[string]string {
	leaves := make(map[string]string)
	if document == nil {
		return leaves
	}
	content, err := Encode(document)
	if err != nil {
		return leaves
	}
	var tree map[string]any
	if err := decodeStrict(content, &tree); err != nil {
		return leaves
	}
	flattenInto(leaves, "", tree)
	return leaves
}

func flattenInto(leaves map[string]string, path string, value any) {
	switch typed := value.(type) {
	case map[string]any:
		for key, item := range typed {
			flattenInto(leaves, joinPath(path, key), item)
		}
	case []any:
		for i, item := range typed {
			flattenInto(leaves, joinPath(path, itemName(item, i)), item)
		}
	default:
		leaves[path] = strings.TrimSpace(fmt.Sprint(typed))
	}
}

func itemName(item any, index int) string {
	if fields, ok := item.(map[string]any); ok {
		if name, ok := fields["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprintf("[%d]", index)
}
