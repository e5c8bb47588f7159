//go:build mutation

package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/mutation"
)

// mutants each disable a mechanism whose loss a soak test of about a minute must detect.
// The seed selects the topology: runs with an even seed have two regions.
var mutants = []struct {
	seed uint64
	mutation.Mutant
}{
	{1, mutation.Mutant{Promise: "EVAC: evacuated samplers get no item", Edits: []mutation.Edit{
		mutation.Replace("internal/schedule/sampler.go", "if s.Leaving || s.evacuated ||", "if s.Leaving ||"),
	}}},
	{1, mutation.Mutant{Promise: "EVAC: evacuated back ends get no request", Edits: []mutation.Edit{
		mutation.Replace("internal/routing/not_evacuated.go", "return !endpoint.Evacuated", "return true"),
	}}},
	{2, mutation.Mutant{Promise: "HOME: items go to samplers of their regions", Edits: []mutation.Edit{
		mutation.Replace("internal/schedule/item.go", "if p.Regions.Restricted() && !p.Regions.Allows(p.Topology.Region(sampler.Zone)) {", "if false {"),
	}}},
}

// TestEachMechanismIsNeeded disables one mechanism at a time and requires a soak test of about
// a minute to report violations.
func TestEachMechanismIsNeeded(t *testing.T) {
	for _, mutant := range mutants {
		t.Run(mutant.Promise, func(t *testing.T) {
			report, err := Run(t.Context(), Options{Program: mutant.Build(t, "./cmd/pathbend"), Time: 50 * time.Second, Seed: mutant.seed})
			require.NoError(t, err)
			t.Log(report.Faults, report.Counts, report.MaxWakeDelay)
			require.NotEmpty(t, report.Violations, "the mutant was not detected")
			t.Log(len(report.Violations), "promises broken, the first is", report.Violations[0])
		})
	}
}
