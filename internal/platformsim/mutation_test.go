//go:build mutation

package platformsim

import (
	"testing"

	"github.com/pathbend/pathbend/internal/mutation"
)

// TestEachMechanismIsNeeded checks that the simulation, or the test that a mutant names, fails
// when any one mechanism is disabled.
func TestEachMechanismIsNeeded(t *testing.T) {
	simulated := mutation.Simulation{Package: "./internal/platformsim", Arguments: []string{"-seeds", "60", "-faults", "8"}}
	simulated.RequireDetected(t, mutants)
}
