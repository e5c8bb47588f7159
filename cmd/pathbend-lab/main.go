// Command pathbend-lab emulates the environment of pathbend: engines, back ends, the
// platform, trainers and callers. It runs the demo, load tests and experiments.
package main

import (
	"os"

	"github.com/pathbend/pathbend/internal/labcommand"
)

func main() {
	os.Exit(labcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
