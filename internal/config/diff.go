package config

import (
	"fmt"
	"strings"
)

// Change is a field whose value differs between two documents.
type Change struct {
	// Path is the path of the field, such as "tenants.teranga.spec.routes.authorise.deadline".
	Path string `json:"path"`
	// Before and After are the formatted values; empty if the field is absent.
	Before string `json:"before"`
	After  string `json:"after"`
}

// Diff returns the scalar fields in which two documents differ, sorted by path. List items
// are matched by their name if they have one, otherwise by their index. A nil document has no
// fields.
func Diff(before, after *Document) []Change {
	beforeValues, afterValues := flatten(before), flatten(after)
	var changes []Change
	paths := make(map[string]bool)
	for path := range beforeValues {
		paths[path] = true
	}
	for path := range afterValues {
		paths[path] = true
	}
	for _, path := range sortedKeys(paths) {
		if beforeValues[path] != afterValues[path] {
			changes = append(changes, Change{Path: path, Before: beforeValues[path], After: afterValues[path]})
		}
	}
	return changes
}

// flatten returns the formatted values of the scalar fields of a document by path. It returns
// none if the document cannot be encoded.
func flatten(document *Document) map[string]string {
	values := make(map[string]string)
	if document == nil {
		return values
	}
	content, err := Encode(document)
	if err != nil {
		return values
	}
	var tree map[string]any
	if err := decodeStrict(content, &tree); err != nil {
		return values
	}
	flattenInto(values, "", tree)
	return values
}

// flattenInto adds the scalar fields below a value to the map.
func flattenInto(values map[string]string, path string, value any) {
	switch typed := value.(type) {
	case map[string]any:
		for key, item := range typed {
			flattenInto(values, joinPath(path, key), item)
		}
	case []any:
		for i, item := range typed {
			flattenInto(values, joinPath(path, itemName(item, i)), item)
		}
	default:
		values[path] = strings.TrimSpace(fmt.Sprint(typed))
	}
}

// itemName returns the path element of a list item.
func itemName(item any, index int) string {
	if fields, ok := item.(map[string]any); ok {
		if name, ok := fields["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprintf("[%d]", index)
}
