package config

import (
	"bytes"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Kinds of declarations, as written in their kind field.
const (
	KindTemplate = "Template"
	KindTenant   = "Tenant"
)

// declaration is a template or a tenant, which is one YAML document of a file.
type declaration struct {
	Kind       string            `yaml:"kind" doc:"Template or Tenant."`
	Name       string            `yaml:"name" doc:"Name of the template or tenant."`
	Template   string            `yaml:"template,omitempty" doc:"Template that a tenant starts from."`
	Parameters map[string]any    `yaml:"parameters,omitempty" doc:"Values for the template's ${placeholders}; in a template, their defaults."`
	Spec       TenantSpec        `yaml:"spec" doc:"Settings; a tenant's replace its template's field by field, lists as a whole."`
	raw        map[string]any    // spec before templates are merged
	checker    *fieldChecker     // holds the lines of the fields
	origin     declarationOrigin // file and line of the start of the document
}

type declarationOrigin struct {
	file string
	line int
}

// LoadPath loads a file, or all .yaml and .yml files below a directory, resolves templates,
// applies defaults and validates the result. Faults in the declarations are returned as
// Problems.
func LoadPath(path string) (*Document, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	if info.IsDir() {
		return LoadFS(os.DirFS(path), path)
	}
	return LoadFS(singleFileFS{os.DirFS(filepath.Dir(path)), filepath.Base(path)}, filepath.Dir(path))
}

// singleFileFS is a file system that lists only one of its files.
type singleFileFS struct {
	fs.FS
	name string
}

// ReadDir implements fs.ReadDirFS.
func (s singleFileFS) ReadDir(string) ([]fs.DirEntry, error) {
	info, err := fs.Stat(s.FS, s.name)
	if err != nil {
		return nil, err
	}
	return []fs.DirEntry{fs.FileInfoToDirEntry(info)}, nil
}

// LoadFS is LoadPath for a file system. displayPath is the path of the file system's root that
// problems show.
func LoadFS(files fs.FS, displayPath string) (*Document, error) {
	names, err := listFiles(files, displayPath)
	if err != nil {
		return nil, err
	}
	var declarations []*declaration
	var problems Problems
	for _, name := range names {
		content, err := fs.ReadFile(files, name)
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", name)
		}
		parsed, found := parseFile(filepath.Join(displayPath, name), content)
		declarations = append(declarations, parsed...)
		problems = append(problems, found...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return resolve(declarations)
}

// ParseDeclarations is LoadPath for the content of one file. file is the name that problems
// show.
func ParseDeclarations(file string, content []byte) (*Document, error) {
	declarations, problems := parseFile(file, content)
	if len(problems) > 0 {
		return nil, problems
	}
	return resolve(declarations)
}

// listFiles returns the names of all YAML files, and a problem if there are none.
func listFiles(files fs.FS, displayPath string) ([]string, error) {
	var names []string
	err := fs.WalkDir(files, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		extension := filepath.Ext(name)
		if !entry.IsDir() && (extension == ".yaml" || extension == ".yml") {
			names = append(names, name)
		}
		return nil
	})
	if err != nil {
		return nil, errors.Wrap(err, "list configuration files")
	}
	if len(names) == 0 {
		return nil, Problems{{File: displayPath, Message: "no .yaml file found", Fix: "give a file or directory that contains declarations"}}
	}
	return names, nil
}

// parseFile parses all declarations of a file.
func parseFile(file string, content []byte) ([]*declaration, Problems) {
	tree, err := parser.ParseBytes(content, 0)
	if err != nil {
		return nil, Problems{syntaxProblem(file, err)}
	}
	var declarations []*declaration
	var problems Problems
	for _, document := range tree.Docs {
		if document.Body == nil {
			continue
		}
		parsed, found := parseDeclaration(file, document.Body)
		problems = append(problems, found...)
		if parsed != nil {
			declarations = append(declarations, parsed)
		}
	}
	return declarations, problems
}

// syntaxProblem returns the problem for an error of the YAML library, with its line if the
// error has one.
func syntaxProblem(file string, err error) *Problem {
	problem := &Problem{File: file, Line: 1, Message: "not valid YAML: " + firstLine(err.Error()), Fix: "correct the syntax"}
	var yamlError yaml.Error
	if errors.As(err, &yamlError) {
		problem.Message = "not valid YAML: " + yamlError.GetMessage()
		if token := yamlError.GetToken(); token != nil {
			problem.Line = token.Position.Line
		}
	}
	return problem
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// parseDeclaration parses one YAML document and checks its fields other than the spec, which
// is decoded once templates are merged.
func parseDeclaration(file string, body ast.Node) (*declaration, Problems) {
	checker := newFieldChecker(file)
	checker.check(body, reflect.TypeFor[declaration](), "")
	if len(checker.problems) > 0 {
		return nil, checker.problems
	}
	var fields struct {
		Kind       string         `yaml:"kind"`
		Name       string         `yaml:"name"`
		Template   string         `yaml:"template"`
		Parameters map[string]any `yaml:"parameters"`
		Spec       map[string]any `yaml:"spec"`
	}
	if err := yaml.NodeToValue(body, &fields); err != nil {
		return nil, Problems{decodeProblem(file, err)}
	}
	parsed := &declaration{
		Kind: fields.Kind, Name: fields.Name, Template: fields.Template, Parameters: fields.Parameters,
		raw: fields.Spec, checker: checker, origin: declarationOrigin{file: file, line: lineOf(body)},
	}
	return parsed, parsed.checkHeader()
}

// decodeProblem returns the problem for a value of the wrong type.
func decodeProblem(file string, err error) *Problem {
	problem := syntaxProblem(file, err)
	problem.Message = strings.TrimPrefix(problem.Message, "not valid YAML: ")
	problem.Fix = "write a value of the right type"
	return problem
}

// checkHeader checks the fields outside the spec.
func (d *declaration) checkHeader() Problems {
	var problems Problems
	addProblem := func(field, message, fix string) {
		line, ok := d.checker.lines[field]
		if !ok {
			line = d.origin.line
		}
		problems = append(problems, &Problem{File: d.origin.file, Line: line, Field: field, Message: message, Fix: fix})
	}
	if d.Kind != KindTemplate && d.Kind != KindTenant {
		addProblem("kind", fmt.Sprintf("unknown kind %q", d.Kind), "write Template or Tenant")
	}
	if !dnsLabel.MatchString(d.Name) {
		addProblem("name", fmt.Sprintf("invalid name %q", d.Name), dnsLabelFix)
	}
	if d.Kind == KindTemplate && d.Template != "" {
		addProblem("template", "a template cannot use a template", "remove the field")
	}
	return problems
}

// resolve merges templates into tenants and validates the result, whose tenants are sorted by
// name.
func resolve(declarations []*declaration) (*Document, error) {
	templates := make(map[string]*declaration)
	tenants := make(map[string]*declaration)
	var problems Problems
	for _, d := range declarations {
		byName := tenants
		if d.Kind == KindTemplate {
			byName = templates
		}
		if existing, ok := byName[d.Name]; ok {
			problems = append(problems, &Problem{
				File: d.origin.file, Line: d.origin.line, Field: "name",
				Message: fmt.Sprintf("%s %q is already declared at %s:%d", d.Kind, d.Name, existing.origin.file, existing.origin.line),
				Fix:     "rename or remove one of the two",
			})
			continue
		}
		byName[d.Name] = d
	}
	document := &Document{}
	for _, name := range sortedKeys(tenants) {
		tenant, found := resolveTenant(tenants[name], templates)
		problems = append(problems, found...)
		document.Tenants = append(document.Tenants, tenant)
	}
	return document, problems.asError()
}

// resolveTenant merges the template of a tenant, substitutes parameters, applies defaults and
// validates the result.
func resolveTenant(tenant *declaration, templates map[string]*declaration) (Tenant, Problems) {
	resolved := Tenant{Name: tenant.Name}
	sources := []*declaration{tenant}
	merged := tenant.raw
	parameters := tenant.Parameters
	if tenant.Template != "" {
		template, ok := templates[tenant.Template]
		if !ok {
			return resolved, Problems{tenant.problemAt("template", fmt.Sprintf("unknown template %q", tenant.Template),
				"known templates are "+strings.Join(sortedKeys(templates), ", ")+"; load the template's file together with the tenant's")}
		}
		if unknown := unknownParameters(tenant, template); len(unknown) > 0 {
			return resolved, unknown
		}
		parameters = maps.Clone(template.Parameters)
		maps.Copy(parameters, tenant.Parameters)
		merged = mergeMaps(template.raw, tenant.raw)
		sources = append(sources, template)
	}
	substituted, missing := substitute(merged, parameters)
	if len(missing) > 0 {
		return resolved, Problems{tenant.problemAt("parameters", "no value for "+strings.Join(missing, ", "), "set each under parameters")}
	}
	content, err := yaml.Marshal(substituted)
	if err != nil {
		return resolved, Problems{tenant.problemAt("spec", err.Error(), "")}
	}
	if err := decodeStrict(content, &resolved.Spec); err != nil {
		return resolved, Problems{typeProblem(err, content, sources)}
	}
	resolved.Spec.applyDefaults()
	return resolved, validateTenant(&resolved, sources)
}

// unknownParameters returns a problem for each parameter of the tenant that the template does
// not use.
func unknownParameters(tenant, template *declaration) Problems {
	var problems Problems
	known := placeholders(template.raw)
	for _, name := range sortedKeys(tenant.Parameters) {
		_, hasDefault := template.Parameters[name]
		if !hasDefault && !slices.Contains(known, name) {
			problems = append(problems, tenant.problemAt("parameters",
				fmt.Sprintf("template %q has no parameter %q", template.Name, name), "known parameters are "+strings.Join(known, ", ")))
		}
	}
	return problems
}

// problemAt returns a problem at the line of a field, or at the start of the declaration if it
// does not set the field.
func (d *declaration) problemAt(field, message, fix string) *Problem {
	line, ok := d.checker.lines[field]
	if !ok {
		line = d.origin.line
	}
	return &Problem{File: d.origin.file, Line: line, Field: "tenant " + d.Name + ": " + field, Message: message, Fix: fix}
}

// mergeMaps returns base overridden by overlay. Mappings are merged field by field; lists and
// scalars are replaced as a whole.
func mergeMaps(base, overlay map[string]any) map[string]any {
	merged := maps.Clone(base)
	if merged == nil {
		merged = make(map[string]any)
	}
	for key, value := range overlay {
		baseMap, baseIsMap := merged[key].(map[string]any)
		overlayMap, overlayIsMap := value.(map[string]any)
		if baseIsMap && overlayIsMap {
			merged[key] = mergeMaps(baseMap, overlayMap)
			continue
		}
		merged[key] = value
	}
	return merged
}

// substitute replaces each scalar "${name}" by the value of the parameter and returns the
// sorted names that have no value.
func substitute(value any, parameters map[string]any) (any, []string) {
	missing := make(map[string]bool)
	replaced := mapScalars(value, func(name string) any {
		replacement, ok := parameters[name]
		if !ok {
			missing[name] = true
		}
		return replacement
	})
	return replaced, sortedKeys(missing)
}

// placeholders returns the sorted parameter names of all "${name}" scalars.
func placeholders(value any) []string {
	names := make(map[string]bool)
	mapScalars(value, func(name string) any {
		names[name] = true
		return nil
	})
	return sortedKeys(names)
}

// mapScalars returns a copy of the value in which replace has replaced each scalar "${name}".
func mapScalars(value any, replace func(name string) any) any {
	switch typed := value.(type) {
	case map[string]any:
		mapped := make(map[string]any, len(typed))
		for key, item := range typed {
			mapped[key] = mapScalars(item, replace)
		}
		return mapped
	case []any:
		mapped := make([]any, 0, len(typed))
		for _, item := range typed {
			mapped = append(mapped, mapScalars(item, replace))
		}
		return mapped
	case string:
		if match := placeholderPattern.FindStringSubmatch(typed); match != nil {
			return replace(match[1])
		}
	}
	return value
}

// decodeStrict decodes YAML and fails for unknown fields.
func decodeStrict(content []byte, target any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	return decoder.Decode(target)
}

// typeProblem returns the problem for a decoding error of the merged content, located in the
// declaration that set the field.
func typeProblem(err error, content []byte, sources []*declaration) *Problem {
	problem := decodeProblem("", err)
	path := pathAtLine(content, problem.Line)
	return locateProblem(path, problem.Message, "write a value of the right type", sources)
}

// pathAtLine returns the path of the deepest field on a line of YAML, or on the nearest line
// above it that has a field.
func pathAtLine(content []byte, line int) string {
	tree, err := parser.ParseBytes(content, 0)
	if err != nil || len(tree.Docs) == 0 {
		return ""
	}
	checker := newFieldChecker("")
	checker.check(tree.Docs[0].Body, reflect.TypeFor[TenantSpec](), "")
	nearest, nearestLine := "", 0
	for path, at := range checker.lines {
		deeper := at == nearestLine && len(path) > len(nearest)
		if at <= line && (at > nearestLine || deeper) {
			nearest, nearestLine = path, at
		}
	}
	return nearest
}

// locateProblem returns a problem of a field of the spec, located at the declaration and line
// that set the field or its nearest enclosing field, or else at the start of the tenant.
func locateProblem(path, message, fix string, sources []*declaration) *Problem {
	problem := &Problem{Field: "tenant " + sources[0].Name + ": spec." + path, Message: message, Fix: fix}
	problem.File, problem.Line = sources[0].origin.file, sources[0].origin.line
	for ancestor := "spec." + path; ancestor != ""; ancestor = parentPath(ancestor) {
		for _, source := range sources {
			if line, ok := source.checker.lines[ancestor]; ok {
				problem.File, problem.Line = source.origin.file, line
				return problem
			}
		}
	}
	return problem
}

// parentPath returns the path without its last field or index, empty if there is none.
func parentPath(path string) string {
	separator := strings.LastIndexAny(path, ".[")
	if separator < 0 {
		return ""
	}
	return path[:separator]
}

func sortedKeys[V any](values map[string]V) []string {
	return slices.Sorted(maps.Keys(values))
}
