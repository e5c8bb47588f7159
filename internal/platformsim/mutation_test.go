//go:build mutation

package platformsim

import (
	"testing"

	"github.com/pathbend/pathbend/internal/mutation"
)

// TestEachMechanismIsNeeded expects the simulation to fail with one mechanism
// switched off at a time.
func TestEachMechanismIsNeeded(t *testing.T) {
	simulated := mutation.Simulation{Package: "./internal/platformsim", Arguments: []string{"-seeds", "60", "-faults", "8"}}
	simulated.ExpectCaught(t, mutants)
}
