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

var structValidator = newValidator()

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
		panic(err) // fails only for a malformed tag name
	}
	return v
}

// validateTenant validates a resolved tenant. sources are the declarations that set its
// fields and locate the problems; it is empty for a document from the log.
func validateTenant(tenant *Tenant, sources []*declaration) Problems {
	err := structValidator.Struct(tenant)
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return nil
	}
	var problems Problems
	for _, fieldError := range fieldErrors {
		path := strings.TrimPrefix(fieldError.Namespace(), "Tenant.spec.")
		message := fmt.Sprintf("value %v is not allowed", fieldError.Value())
		if fieldError.Tag() == "unique" {
			message = "two items have the same name"
		}
		fix := fixForRule(fieldError.Tag(), fieldError.Param())
		if len(sources) > 0 {
			problems = append(problems, locateProblem(path, message, fix, sources))
			continue
		}
		problems = append(problems, &Problem{Field: "tenant " + tenant.Name + ": spec." + path, Message: message, Fix: fix})
	}
	return problems
}

// fixForRule returns the fix for a violated rule of a validate tag.
func fixForRule(tag, parameter string) string {
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

// Encode returns the document as YAML, in the form in which it is published.
func Encode(document *Document) ([]byte, error) {
	return marshalYAML(document)
}

// Decode strictly decodes a published document and validates it. The error carries
// result.ConfigInvalid.
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
