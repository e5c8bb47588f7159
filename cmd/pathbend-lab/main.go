// Command pathbend-lab emulates what surrounds pathbend: engines, back ends,
// the platform, trainers and callers. It runs the demo, load and experiments.
package main

import (
	"os"

	"github.com/pathbend/pathbend/internal/labcommand"
)

func main() {
	os.Exit(labcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
