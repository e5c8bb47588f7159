package config

import (
	"encoding/json"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
)

// marshalYAML encodes a value with an indentation of two spaces, also for list items.
func marshalYAML(value any) ([]byte, error) {
	return yaml.MarshalWithOptions(value, yaml.Indent(2), yaml.IndentSequence(true))
}

// schemaNode is one node of a JSON Schema (draft 2020-12).
type schemaNode struct {
	Schema               string                 `json:"$schema,omitempty"`
	Title                string                 `json:"title,omitempty"`
	Description          string                 `json:"description,omitempty"`
	Type                 any                    `json:"type,omitempty"`
	Enum                 []string               `json:"enum,omitempty"`
	Pattern              string                 `json:"pattern,omitempty"`
	Properties           map[string]*schemaNode `json:"properties,omitempty"`
	Required             []string               `json:"required,omitempty"`
	Items                *schemaNode            `json:"items,omitempty"`
	AdditionalProperties *bool                  `json:"additionalProperties,omitempty"`
	AnyOf                []*schemaNode          `json:"anyOf,omitempty"`
}

// Schema returns the JSON Schema of a declaration, with which editors can validate and
// complete it.
func Schema() ([]byte, error) {
	root := schemaOf(reflect.TypeFor[declaration]())
	root.Schema = "https://json-schema.org/draft/2020-12/schema"
	root.Title = "pathbend declaration"
	root.Required = []string{"kind", "name"}
	root.Properties["kind"].Enum = []string{KindTemplate, KindTenant}
	return json.MarshalIndent(root, "", "  ")
}

// schemaOf returns the schema of a Go type.
func schemaOf(target reflect.Type) *schemaNode {
	switch {
	case target == durationType:
		return &schemaNode{Type: "string", Pattern: `^[0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h)([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))*$`}
	case target.Kind() == reflect.Struct:
		return schemaOfStruct(target)
	case target.Kind() == reflect.Slice:
		return &schemaNode{Type: "array", Items: schemaOf(target.Elem())}
	case target.Kind() == reflect.Map:
		return &schemaNode{Type: "object"}
	case target.Kind() == reflect.Bool:
		return &schemaNode{Type: "boolean"}
	case target.Kind() == reflect.String:
		return &schemaNode{Type: "string"}
	case target.Kind() == reflect.Float64:
		return &schemaNode{Type: "number"}
	default:
		return &schemaNode{Type: "integer"}
	}
}

// schemaOfStruct returns the schema of a struct from the yaml, doc and validate tags of its
// fields. Fields without a yaml tag are left out.
func schemaOfStruct(target reflect.Type) *schemaNode {
	allowsUnknown := false
	node := &schemaNode{Type: "object", Properties: make(map[string]*schemaNode), AdditionalProperties: &allowsUnknown}
	for i := range target.NumField() {
		field := target.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if name == "" {
			continue
		}
		property := schemaOf(field.Type)
		property.Description = field.Tag.Get("doc")
		property.Enum = enumOf(field.Tag.Get("validate"))
		node.Properties[name] = allowPlaceholder(property)
	}
	return node
}

// enumOf returns the values of the oneof rule in a validate tag, nil if there is none.
func enumOf(rules string) []string {
	for rule := range strings.SplitSeq(rules, ",") {
		if values, ok := strings.CutPrefix(rule, "oneof="); ok {
			return strings.Fields(values)
		}
	}
	return nil
}

// allowPlaceholder makes the schema of a scalar accept a template's "${name}" as well. Mappings
// and lists stay as they are, as do plain strings, which accept it already.
func allowPlaceholder(property *schemaNode) *schemaNode {
	plainString := property.Type == "string" && property.Enum == nil && property.Pattern == ""
	if plainString || property.Type == "object" || property.Type == "array" {
		return property
	}
	description := property.Description
	property.Description = ""
	placeholder := &schemaNode{Type: "string", Pattern: placeholderPattern.String()}
	return &schemaNode{Description: description, AnyOf: []*schemaNode{property, placeholder}}
}
