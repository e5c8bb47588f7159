package config

import (
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"github.com/pathbend/pathbend/internal/result"
)

var dnsLabel = regexp.MustCompile(`^[a-z]([a-z0-9-]{0,61}[a-z0-9])?$`)

const dnsLabelFix = "use 1 to 63 lower-case letters, digits and dashes, starting with a letter"

var checker = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		return name
	})
	err := v.RegisterValidation("dns_label", func(level validator.FieldLevel) bool {
		return dnsLabel.MatchString(level.Field().String())
	})
	if err != nil {
		panic(err) // only a malformed tag name can cause it
	}
	return v
}

// validateTenant checks one resolved tenant. sources say where fields stand;
// they may be empty for a document that came from the log.
func validateTenant(tenant *Tenant, sources []*declaration) Problems {
	err := checker.Struct(tenant)
	var found validator.ValidationErrors
	if !errors.As(err, &found) {
		return nil
	}
	var problems Problems
	for _, fault := range found {
		path := strings.TrimPrefix(fault.Namespace(), "Tenant.spec.")
		message := fmt.Sprintf("value %v is not allowed", fault.Value())
		if fault.Tag() == "unique" {
			message = "two items have the same name"
		}
		fix := fixFor(fault.Tag(), fault.Param())
		if len(sources) > 0 {
			problems = append(problems, locate(path, message, fix, sources))
			continue
		}
		problems = append(problems, &Problem{Field: "tenant " + tenant.Name + ": spec." + path, Message: message, Fix: fix})
	}
	return problems
}

func fixFor(tag, parameter string) string {
	switch tag {
	case "required", "required_if":
		return "set the field"
	case "gt":
		return "must be greater than " + parameter
	case "gte":
		return "must be at least " + parameter
	case "lte":
		return "must be at most " + parameter
	case "oneof":
		return "use one of " + strings.ReplaceAll(parameter, " ", ", ")
	case "unique":
		return "rename one of them"
	case "dns_label":
		return dnsLabelFix
	default:
		return "must satisfy " + tag
	}
}

// Encode renders the document as it is published.
func Encode(document *Document) ([]byte, error) {
	return marshalYAML(document)
}

// Decode reads a published document strictly and validates it. The error
// carries result.ConfigInvalid.
func Decode(content []byte) (*Document, error) {
	document := &Document{}
	if err := decodeStrict(content, document); err != nil {
		return nil, result.New(result.ConfigInvalid, "%s", firstLine(err.Error()))
	}
	seen := make(map[string]bool)
	for i := range document.Tenants {
		tenant := &document.Tenants[i]
		if problems := validateTenant(tenant, nil); len(problems) > 0 {
			return nil, result.New(result.ConfigInvalid, "%s", problems[0].Message+"; "+problems[0].Fix).WithField(problems[0].Field)
		}
		if seen[tenant.Name] {
			return nil, result.New(result.ConfigInvalid, "tenant %q is declared twice", tenant.Name).WithField("tenants")
		}
		seen[tenant.Name] = true
	}
	return document, nil
}
