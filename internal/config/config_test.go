package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathbend/pathbend/internal/result"
)

func TestExamplesLoadAndRoundTrip(t *testing.T) {
	document, err := LoadPath("../../examples")
	require.NoError(t, err)
	require.Len(t, document.Tenants, 2)
	content, err := Encode(document)
	require.NoError(t, err)
	decoded, err := Decode(content)
	require.NoError(t, err)
	require.Equal(t, document, decoded)
	require.Empty(t, Diff(document, decoded))
	authorise := document.FindTenant("teranga").FindRoute("authorise")
	require.True(t, authorise.AtMostOnce)
	require.Equal(t, "card-acquiring", authorise.Pool)
}

const validTenant = `kind: Tenant
name: shop
spec:
  routes:
    - name: lookup
      pool: catalogue
      deadline: 2s
`

func TestEachProblemHasLineFieldAndFix(t *testing.T) {
	cases := []struct {
		name, from, to string
		line           int
		field, fix     string
	}{
		{"unknown field", "deadline: 2s", "dead_line: 2s", 7, "spec.routes[0].dead_line", `did you mean "deadline"?`},
		{"unknown kind", "kind: Tenant", "kind: Tenants", 1, "kind", "write Template or Tenant"},
		{"wrong type", "deadline: 2s", "deadline: [1]", 7, "spec.routes[0].deadline", "right type"},
		{"out of range", "deadline: 2s", "deadline: -2s", 7, "spec.routes[0].deadline", "greater than 0"},
		{"bad label", "name: lookup", "name: Look_Up", 5, "spec.routes[0].name", "lower-case"},
		{"not a list", "    - name: lookup\n      pool: catalogue\n      deadline: 2s", "    name: lookup", 5, "spec.routes", "dash"},
		{"missing template", "spec:", "template: none\nspec:", 3, "template", "known templates are"},
		{"syntax", "name: shop", "name: \"shop", 2, "", "correct the syntax"},
		{"missing parameter", "pool: catalogue", "pool: ${pool_name}", 1, "parameters", "set each under parameters"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			content := strings.Replace(validTenant, test.from, test.to, 1)
			_, err := ParseDeclarations("shop.yaml", []byte(content))
			var problems Problems
			require.ErrorAs(t, err, &problems)
			require.Equal(t, "shop.yaml", problems[0].File)
			require.Equal(t, test.line, problems[0].Line, problems[0].Error())
			require.Contains(t, problems[0].Field, test.field)
			require.Contains(t, problems[0].Fix, test.fix)
		})
	}
}

func TestDiffReturnsChangedScalarFields(t *testing.T) {
	before, err := ParseDeclarations("a.yaml", []byte(validTenant))
	require.NoError(t, err)
	after, err := ParseDeclarations("a.yaml", []byte(strings.Replace(validTenant, "2s", "3s", 1)))
	require.NoError(t, err)
	require.Equal(t, []Change{{Path: "tenants.shop.spec.routes.lookup.deadline", Before: "2s", After: "3s"}}, Diff(before, after))
}

func TestSchemaContainsFieldsOfAllLevels(t *testing.T) {
	schema, err := Schema()
	require.NoError(t, err)
	for _, field := range []string{"at_most_once", "max_versions", "min_serving_percent", "parameters"} {
		require.Contains(t, string(schema), `"`+field+`"`)
	}
}

func TestMergeKeepsOverlayValuesAndUnreplacedBaseValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fieldsGenerator := rapid.MapOf(rapid.StringMatching(`[a-c]`), rapid.Int())
		base := rapid.MapOf(rapid.StringMatching(`[a-c]`), fieldsGenerator).Draw(t, "base")
		overlay := rapid.MapOf(rapid.StringMatching(`[a-c]`), fieldsGenerator).Draw(t, "overlay")
		merged := mergeMaps(anyMap(base), anyMap(overlay))
		for outer, fields := range overlay {
			for inner, value := range fields {
				require.Equal(t, value, merged[outer].(map[string]any)[inner])
			}
		}
		for outer, fields := range base {
			for inner, value := range fields {
				if _, replaced := overlay[outer][inner]; !replaced {
					require.Equal(t, value, merged[outer].(map[string]any)[inner])
				}
			}
		}
	})
}

// anyMap converts a map to the types that the YAML decoder produces.
func anyMap(source map[string]map[string]int) map[string]any {
	converted := make(map[string]any, len(source))
	for outer, fields := range source {
		inner := make(map[string]any, len(fields))
		for key, value := range fields {
			inner[key] = value
		}
		converted[outer] = inner
	}
	return converted
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("tenants:\n  - name: a\n    spec: {}\n"))
	f.Add([]byte(validTenant))
	f.Fuzz(func(t *testing.T, content []byte) {
		document, err := Decode(content)
		if err != nil {
			require.True(t, result.Is(err, result.ConfigInvalid))
			return
		}
		_, err = Encode(document)
		require.NoError(t, err)
	})
}
