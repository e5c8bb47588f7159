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

// Kinds of declaration.
const (
	KindTemplate = "Template"
	KindTenant   = "Tenant"
)

// declaration is one YAML document of a file.
type declaration struct {
	Kind       string            `yaml:"kind" doc:"Template or Tenant."`
	Name       string            `yaml:"name" doc:"Name of the template or tenant."`
	Template   string            `yaml:"template,omitempty" doc:"Template that a tenant starts from."`
	Parameters map[string]any    `yaml:"parameters,omitempty" doc:"Values for the template's ${placeholders}; in a template, their defaults."`
	Spec       TenantSpec        `yaml:"spec" doc:"Settings; a tenant's replace its template's field by field, lists as a whole."`
	raw        map[string]any    // spec before merging
	checker    *fieldChecker     // lines of the fields
	origin     declarationOrigin // where the document starts
}

type declarationOrigin struct {
	file string
	line int
}

// LoadPath reads a file or every .yaml and .yml file below a directory,
// resolves templates, applies defaults and validates. The error is Problems.
func LoadPath(path string) (*Document, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	if info.IsDir() {
		return LoadFS(os.DirFS(path), path)
	}
	return LoadFS(singleFile{os.DirFS(filepath.Dir(path)), filepath.Base(path)}, filepath.Dir(path))
}

// singleFile is a file system in which only one file is listed.
type singleFile struct {
	fs.FS
	name string
}

// ReadDir implements fs.ReadDirFS.
func (s singleFile) ReadDir(string) ([]fs.DirEntry, error) {
	info, err := fs.Stat(s.FS, s.name)
	if err != nil {
		return nil, err
	}
	return []fs.DirEntry{fs.FileInfoToDirEntry(info)}, nil
}

// LoadFS does the work of LoadPath for a file system. Problems name files below
// the display path.
func LoadFS(files fs.FS, display string) (*Document, error) {
	names, err := listFiles(files, display)
	if err != nil {
		return nil, err
	}
	var loaded []*declaration
	var problems Problems
	for _, name := range names {
		content, err := fs.ReadFile(files, name)
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", name)
		}
		declarations, found := parseFile(filepath.Join(display, name), content)
		loaded = append(loaded, declarations...)
		problems = append(problems, found...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return resolve(loaded)
}

// ParseDeclarations does the work of LoadPath for one file's content.
func ParseDeclarations(file string, content []byte) (*Document, error) {
	declarations, problems := parseFile(file, content)
	if len(problems) > 0 {
		return nil, problems
	}
	return resolve(declarations)
}

func listFiles(files fs.FS, display string) ([]string, error) {
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
		return nil, Problems{{File: display, Message: "no .yaml file found", Fix: "name a file or directory of declarations"}}
	}
	return names, nil
}

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

func syntaxProblem(file string, err error) *Problem {
	problem := &Problem{File: file, Line: 1, Message: "not valid YAML: " + firstLine(err.Error()), Fix: "correct the syntax"}
	var located yaml.Error
	if errors.As(err, &located) {
		problem.Message = "not valid YAML: " + located.GetMessage()
		if token := located.GetToken(); token != nil {
			problem.Line = token.Position.Line
		}
	}
	return problem
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

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

func decodeProblem(file string, err error) *Problem {
	problem := syntaxProblem(file, err)
	problem.Message = strings.TrimPrefix(problem.Message, "not valid YAML: ")
	problem.Fix = "write a value of the right type"
	return problem
}

func (d *declaration) checkHeader() Problems {
	var problems Problems
	report := func(field, message, fix string) {
		line, ok := d.checker.lines[field]
		if !ok {
			line = d.origin.line
		}
		problems = append(problems, &Problem{File: d.origin.file, Line: line, Field: field, Message: message, Fix: fix})
	}
	if d.Kind != KindTemplate && d.Kind != KindTenant {
		report("kind", fmt.Sprintf("unknown kind %q", d.Kind), "write Template or Tenant")
	}
	if !dnsLabel.MatchString(d.Name) {
		report("name", fmt.Sprintf("invalid name %q", d.Name), dnsLabelFix)
	}
	if d.Kind == KindTemplate && d.Template != "" {
		report("template", "a template cannot use a template", "remove the field")
	}
	return problems
}

// resolve merges templates into tenants and validates the result.
func resolve(declarations []*declaration) (*Document, error) {
	templates := make(map[string]*declaration)
	tenants := make(map[string]*declaration)
	var problems Problems
	for _, d := range declarations {
		index := tenants
		if d.Kind == KindTemplate {
			index = templates
		}
		if former, ok := index[d.Name]; ok {
			problems = append(problems, &Problem{
				File: d.origin.file, Line: d.origin.line, Field: "name",
				Message: fmt.Sprintf("%s %q is already declared at %s:%d", d.Kind, d.Name, former.origin.file, former.origin.line),
				Fix:     "rename or remove one of the two",
			})
			continue
		}
		index[d.Name] = d
	}
	document := &Document{}
	for _, name := range sortedKeys(tenants) {
		tenant, found := resolveTenant(tenants[name], templates)
		problems = append(problems, found...)
		document.Tenants = append(document.Tenants, tenant)
	}
	return document, problems.asError()
}

func resolveTenant(tenant *declaration, templates map[string]*declaration) (Tenant, Problems) {
	resolved := Tenant{Name: tenant.Name}
	sources := []*declaration{tenant}
	merged := tenant.raw
	parameters := tenant.Parameters
	if tenant.Template != "" {
		template, ok := templates[tenant.Template]
		if !ok {
			return resolved, Problems{tenant.problemAt("template", fmt.Sprintf("no template %q", tenant.Template),
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

func (d *declaration) problemAt(field, message, fix string) *Problem {
	line, ok := d.checker.lines[field]
	if !ok {
		line = d.origin.line
	}
	return &Problem{File: d.origin.file, Line: line, Field: "tenant " + d.Name + ": " + field, Message: message, Fix: fix}
}

// mergeMaps returns base with the overlay's fields put over it. Mappings merge
// field by field; lists and scalars are replaced as a whole.
func mergeMaps(base, overlay map[string]any) map[string]any {
	merged := maps.Clone(base)
	if merged == nil {
		merged = make(map[string]any)
	}
	for key, value := range overlay {
		below, belowIsMap := merged[key].(map[string]any)
		above, aboveIsMap := value.(map[string]any)
		if belowIsMap && aboveIsMap {
			merged[key] = mergeMaps(below, above)
			continue
		}
		merged[key] = value
	}
	return merged
}

// substitute replaces every "${name}" scalar and lists the names without value.
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

func placeholders(value any) []string {
	names := make(map[string]bool)
	mapScalars(value, func(name string) any {
		names[name] = true
		return nil
	})
	return sortedKeys(names)
}

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

func decodeStrict(content []byte, target any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	return decoder.Decode(target)
}

// typeProblem translates a decoding error of the merged content to the line of
// the declaration that set the field.
func typeProblem(err error, content []byte, sources []*declaration) *Problem {
	problem := decodeProblem("", err)
	path := pathAtLine(content, problem.Line)
	return locate(path, problem.Message, "write a value of the right type", sources)
}

// pathAtLine finds the path of the field that stands on a line of YAML, or
// else on the nearest line above it.
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

// locate finds the declaration and line that set a field of the spec, or the
// nearest field around it.
func locate(path, message, fix string, sources []*declaration) *Problem {
	problem := &Problem{Field: "tenant " + sources[0].Name + ": spec." + path, Message: message, Fix: fix}
	problem.File, problem.Line = sources[0].origin.file, sources[0].origin.line
	for around := "spec." + path; around != ""; around = parentPath(around) {
		for _, source := range sources {
			if line, ok := source.checker.lines[around]; ok {
				problem.File, problem.Line = source.origin.file, line
				return problem
			}
		}
	}
	return problem
}

func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

func sortedKeys[V any](index map[string]V) []string {
	return slices.Sorted(maps.Keys(index))
}
